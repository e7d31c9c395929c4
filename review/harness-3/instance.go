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
	"syscall"
	"time"
)

// instance is a process of seamedge, started with the command of the deploy file and with settings
// as the platform fills them into deploy/settings.json.
type instance struct {
	name, zone, ip, directory string
	listen                    map[string]string
	cmd                       *exec.Cmd
	exited                    chan struct{}
	log                       *os.File
}

// listeners are the sockets of an instance. As on the platform, each has the same port on all
// machines.
var listeners = []string{"callers", "ready", "lookups", "peers", "metrics"}

// freePorts returns a port for each listener that is free on 127.0.0.1 now.
func freePorts() (map[string]string, error) {
	ports := map[string]string{}
	for _, name := range listeners {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		_, ports[name], _ = net.SplitHostPort(l.Addr().String())
	}
	return ports, nil
}

// newInstance returns an instance on a machine with a loopback address of its own.
func newInstance(name, zone, ip, directory string, ports map[string]string) *instance {
	i := &instance{name: name, zone: zone, ip: ip, directory: directory, listen: map[string]string{}}
	for listener, port := range ports {
		i.listen[listener] = net.JoinHostPort(ip, port)
	}
	return i
}

// start writes the settings and starts the process. zones maps zones to regions, and seeds lists
// the addresses of some machines.
func (i *instance) start(storeAddress string, zones map[string]string, seeds []string, bounds map[string]any) error {
	settings, _ := json.Marshal(map[string]any{
		"instance": map[string]any{"id": i.name, "zone": i.zone}, "zones": zones, "listen": i.listen,
		"store": storeAddress, "seeds": seeds, "bounds": bounds,
		"memory": map[string]any{"limitMb": 284}, "descriptors": 4100,
	})
	path := filepath.Join(i.directory, i.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	command, err := deployCommand()
	if err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(i.directory, i.name+".log")); err != nil {
		return err
	}
	i.cmd = exec.Command(command[0], command[1:]...)
	i.cmd.Env = append(os.Environ(), "PRIMROSESEAM_SETTINGS="+path)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(i.exited)
	}()
	return nil
}

// deployCommand returns the command of the role in deploy/system.toml.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + i.listen["ready"] + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, timeout)
}

// hasExited reports whether the process has ended.
func (i *instance) hasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// end ends the process.
func (i *instance) end() {
	if i.cmd == nil || i.hasExited() {
		return
	}
	_ = i.cmd.Process.Signal(syscall.SIGKILL)
	<-i.exited
}
