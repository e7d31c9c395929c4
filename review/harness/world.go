package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is heartbeat-s of DEPLOY.md.
const heartbeat = 1500 * time.Millisecond

// world holds the stand-ins, the project's processes and the record of a case.
type world struct {
	root, dir string
	start     time.Time
	store     *store
	edges     []*edge
	ports     map[string]string
	network   string

	mu       sync.Mutex
	out      *bufio.Writer
	requests map[string]*request
	order    []*request
	lastID   int
	// crashes is false if TROUBLE is 0. With TROUBLE=crash, only the crashes are left in.
	crashes bool
}

// request is one client attempt as the client and the endpoints saw it.
type request struct {
	id         string
	idempotent bool
	status     int
	signed     bool
	err        error
	runs       []string
	tenant     string
	sentAt     time.Duration
	ranAt      time.Duration
	ranTimes   []time.Duration
}

func newWorld(root, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, start: time.Now(), out: bufio.NewWriter(f), requests: map[string]*request{}}
	if w.store, err = startStore(); err != nil {
		return nil, err
	}
	return w, w.choosePorts()
}

// choosePorts picks a network of loopback addresses, and ports that are free on the
// addresses of it that a case uses. Each port is the same on all machines. The ports are
// below the range from which the system takes those of outgoing connections.
func (w *world) choosePorts() error {
	w.ports = map[string]string{}
	w.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for _, name := range []string{"front", "ready", "directory", "internal", "second", "third", "fourth", "fifth", "sixth", "metrics", "control"} {
		for tries := 0; w.ports[name] == ""; tries++ {
			port := fmt.Sprint(12000 + rand.IntN(18000))
			if w.isFree(port) {
				w.ports[name] = port
			}
			if tries > 100 {
				return fmt.Errorf("no free ports")
			}
		}
	}
	return nil
}

// isFree reports whether a port is free, for TCP and UDP, on all addresses that a case uses.
func (w *world) isFree(port string) bool {
	for _, taken := range w.ports {
		if taken == port {
			return false
		}
	}
	addresses := []string{"127.0.0.1"}
	for last := 20; last < 160; last++ {
		addresses = append(addresses, w.ip(last))
	}
	for _, address := range addresses {
		at := net.JoinHostPort(address, port)
		l, err := net.Listen("tcp4", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", at)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// ip returns an address of the network of this run.
func (w *world) ip(last int) string { return w.network + strconv.Itoa(last) }

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// newRequest returns a new request with an id of its own.
func (w *world) newRequest(idempotent bool) *request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	r := &request{id: fmt.Sprintf("%08x%08x", w.lastID, w.start.UnixNano()&0xffffffff), idempotent: idempotent}
	r.sentAt = time.Since(w.start)
	w.requests[r.id] = r
	w.order = append(w.order, r)
	return r
}

// ran records that an endpoint began to work on a request.
func (w *world) ran(id string, e *endpoint, r *http.Request, _ []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f run %s at %s\n", time.Since(w.start).Seconds(), id, e.id)
	if q, ok := w.requests[id]; ok {
		q.runs = append(q.runs, e.id)
		q.tenant = r.Header.Get("X-Tenant")
		q.ranAt = time.Since(w.start)
		q.ranTimes = append(q.ranTimes, q.ranAt)
	}
}

func signature(id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+" "), body...))
	return hex.EncodeToString(sum[:8])
}

// edge is a process of the project.
type edge struct {
	w        *world
	name     string
	ip       string
	settings string
	process  *exec.Cmd
	done     chan struct{}
}

// addEdge adds a machine and writes its settings from the project's template.
func (w *world) addEdge(name, ip, zone string, zones map[string]string, seeds []string) (*edge, error) {
	fields := map[string]any{
		"node-name": name, "role": "edge", "machine-class": "front", "serves": []string{"front", "directory", "control"},
		"ip": ip, "zone": zone, "region": zones[zone], "internal-ports": []string{w.ports["internal"], w.ports["internal"]}, "seeds": seeds,
		"first-start": true, "heartbeat-s": heartbeat.Seconds(), "zones": zones,
		"listen": map[string]any{
			"front": ip + ":" + w.ports["front"], "ready": ip + ":" + w.ports["ready"], "control": ip + ":" + w.ports["control"],
			"directory": ip + ":" + w.ports["directory"],
		},
		"limits":   map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0},
		"bounds":   bounds,
		"platform": map[string]any{"address": w.store.address, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20},
	}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/settings.json"))
	if err != nil {
		return nil, err
	}
	text := render(string(template), fields)
	// The port of the project's own metrics is fixed in the template. Here it is a free one.
	text = strings.ReplaceAll(text, ":9464", ":"+w.ports["metrics"])
	e := &edge{w: w, name: name, ip: ip, settings: filepath.Join(w.dir, name+".json")}
	w.edges = append(w.edges, e)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// bounds are those of the site lspst-edge.
var bounds = map[string]any{
	"contact-s": 3, "drain-s": 2, "grace-s": 6, "config-apply-s": 2, "budget-ratio": 0.2, "budget-extra": 62, "evacuate-s": 5, "ttl_max_s": 5,
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills in the plain placeholders of a template, as DEPLOY.md describes them.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		var v any = fields
		for _, key := range strings.Split(m[1], ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[key]
			case []string:
				n, _ := strconv.Atoi(key)
				v = t[n]
			}
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
}

// run starts the process with the command of the deploy file, in the repository's root.
func (e *edge) run() error {
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/seamedge", "run")
	cmd.Dir = e.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSESEAM_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.process, e.done = cmd, make(chan struct{})
	done := e.done
	go func() {
		err := cmd.Wait()
		e.w.log("process of %s ends: %v", e.name, err)
		close(done)
	}()
	e.w.log("process of %s starts", e.name)
	return nil
}

// replaceSetting changes the settings file.
func (e *edge) replaceSetting(before, after string) error {
	data, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, []byte(strings.Replace(string(data), before, after, 1)), 0o600)
}

// awaitReady waits until the platform's check finds the machine ready.
func (e *edge) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + e.ip + ":" + e.w.ports["ready"] + "/readiness")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				e.w.log("%s is ready", e.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready within %v", e.name, limit)
}

func (e *edge) front() string { return e.ip + ":" + e.w.ports["front"] }

// stop ends all processes that were started and closes the record.
func (w *world) stop() {
	for _, e := range w.edges {
		if e.process != nil {
			_ = e.process.Process.Kill()
			<-e.done
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
