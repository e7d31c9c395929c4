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
	name, zone, directory string
	listen                map[string]string
	cmd                   *exec.Cmd
	exited                chan struct{}
	log                   *os.File
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newInstance(name, zone, directory string) (*instance, error) {
	i := &instance{name: name, zone: zone, directory: directory, listen: map[string]string{}}
	for _, l := range []string{"callers", "ready", "lookups", "peers", "metrics"} {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		i.listen[l] = a
	}
	return i, nil
}

// start writes the settings and starts the process. zones maps zones to regions.
func (i *instance) start(storeAddress string, zones map[string]string, bounds map[string]any) error {
	settings, _ := json.Marshal(map[string]any{
		"instance": map[string]any{"id": i.name, "zone": i.zone}, "zones": zones, "listen": i.listen,
		"store": storeAddress, "seeds": []string{i.listen["peers"]}, "bounds": bounds,
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
