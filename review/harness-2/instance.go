package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// started holds all instances that were started, so that none outlives this program.
var started instances

type instances struct {
	mu   sync.Mutex
	list []*instance
}

func (s *instances) add(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, i)
}

// killAll ends the processes of all instances.
func (s *instances) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.list {
		i.kill()
	}
}

// program is the program of the deploy file's role, as its build command leaves it.
const program = "target/seamedge"

// instance is a machine of the system: an address of its own and one process at a time.
type instance struct {
	name, zone   string
	settingsPath string
	logPath      string
	settings     map[string]any
	front        string
	ready        string
	directory    string
	process      *exec.Cmd
	ended        chan struct{}
}

// settingsOf returns the settings of an instance as deploy/settings.json has them.
func settingsOf(name, zone, ip string, ports map[string]int, zones map[string]string, storeAddress string, seeds []string, grace float64) map[string]any {
	at := func(p string) string { return fmt.Sprintf("%s:%d", ip, ports[p]) }
	return map[string]any{
		"instance": map[string]any{"id": name, "zone": zone},
		"zones":    zones,
		"listen":   map[string]any{"callers": at("front"), "ready": at("ready"), "lookups": at("directory"), "peers": at("peers"), "metrics": at("metrics")},
		"store":    storeAddress,
		"seeds":    seeds,
		"bounds":   map[string]any{"retryRatio": 0.2, "retryExtra": 60, "regionShift": []float64{0.15}, "grace": grace, "lookupTtl": 5},
		"memory":   map[string]any{"limitMb": 284}, "descriptors": 4100,
	}
}

// freePorts returns a port for each listener that is free on all of the addresses.
func freePorts(ips []string) (map[string]int, error) {
	ports := map[string]int{}
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for _, name := range []string{"front", "ready", "directory", "control", "peers", "metrics"} {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// writeSettings writes the settings file in one step.
func (i *instance) writeSettings() error {
	data, err := json.MarshalIndent(i.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settingsPath+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(i.settingsPath+".new", i.settingsPath)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	if err := i.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSESEAM_SETTINGS=" + i.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = cmd, ended
	started.add(i)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this program started.
func (i *instance) signal(s syscall.Signal) { _ = i.process.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (i *instance) kill() {
	if i.process != nil && !i.hasEnded() {
		i.signal(syscall.SIGKILL)
		<-i.ended
	}
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + i.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}

// deployment is a small installation: a store, instances and endpoints.
type deployment struct {
	record    *record
	folder    string
	store     *store
	instances []*instance
	ports     map[string]int
	zones     map[string]string
}

// newDeployment starts the store. zones maps the zones to their regions.
func newDeployment(r *record, zones map[string]string, ips []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, zones: zones}
	if d.store, err = startStore(); err != nil {
		return nil, err
	}
	d.ports, err = freePorts(ips)
	return d, err
}

// add adds an instance without starting it.
func (d *deployment) add(name, zone, ip string, seeds []string, grace float64) *instance {
	at := func(p string) string { return fmt.Sprintf("%s:%d", ip, d.ports[p]) }
	i := &instance{
		name: name, zone: zone, settingsPath: filepath.Join(d.folder, name+".json"), logPath: filepath.Join(d.folder, name+".log"),
		front: at("front"), ready: at("ready"), directory: at("directory"),
	}
	for n := range seeds {
		seeds[n] = fmt.Sprintf("%s:%d", seeds[n], d.ports["control"])
	}
	i.settings = settingsOf(name, zone, ip, d.ports, d.zones, d.store.address, seeds, grace)
	d.instances = append(d.instances, i)
	return i
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
	}
	d.store.close()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// logLines returns the lines of an instance's log that contain all of the words.
func (i *instance) logLines(words ...string) []string {
	data, _ := os.ReadFile(i.logPath)
	var found []string
	for line := range strings.Lines(string(data)) {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
