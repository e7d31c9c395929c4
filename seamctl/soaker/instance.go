package soaker

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/standin/disruptor"
)

// port identifies a listener of an instance. A listener has the same port number on every
// instance, since each instance has its own loopback address.
type port int

const (
	portCallers port = iota
	portReady
	portLookups
	portPeers
	portMetrics
	portCount
)

const (
	// firstHostByte is the last byte of the first instance's loopback address, which is
	// 127.0.0.11. The second instance has 127.0.0.12, and so on.
	firstHostByte = 11
	// graceSeconds is how long an instance may continue to run after SIGTERM.
	graceSeconds = 4
)

// instance is an instance of seamedge. It may be restarted during the test, so it may have
// several processes, one after the other.
type instance struct {
	soak *Soak
	id   string
	// index is the instance's position in Soak.instances.
	index        int
	settingsPath string
	// store is the proxy through which the instance reaches the store.
	store *disruptor.Proxy

	mu sync.Mutex
	// process is the running process, or nil.
	process *exec.Cmd
	// lifetimeCount is how many times the instance was started.
	lifetimeCount int
	// stopping is true once the process was sent SIGTERM or SIGKILL.
	stopping bool
	// paused is true between SIGSTOP and SIGCONT.
	paused bool
}

// addInstance adds the nth instance with its settings file and its proxy to the store,
// which has the address store. It doesn't start the instance.
func (s *Soak) addInstance(n int, store string) error {
	proxy, err := disruptor.NewProxy("127.0.0.1:0", store)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.cleanups = append(s.cleanups, proxy.Close)
	i := &instance{soak: s, id: fmt.Sprintf("edge-%d", n+1), index: n, store: proxy}
	i.settingsPath = filepath.Join(s.dir, i.id+".json")
	s.instances = append(s.instances, i)
	return i.writeSettings(defaultReloadable(s.memoryMB))
}

// zoneOf returns the zone of the nth instance or the nth endpoint: zone-0 if n is even,
// otherwise zone-1.
func zoneOf(n int) string { return "zone-" + strconv.Itoa(n%2) }

// address returns the IP address and port of a listener of the instance with an index.
func (s *Soak) address(instance int, p port) string {
	return net.JoinHostPort("127.0.0."+strconv.Itoa(firstHostByte+instance), s.ports[p])
}

func (i *instance) address(p port) string { return i.soak.address(i.index, p) }

// choosePorts chooses a port number for each listener of an instance. The port numbers are
// free on 127.0.0.1 at this time, but another process may take them before the instances
// start.
func (s *Soak) choosePorts() error {
	for p := range s.ports {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer func() { _ = listener.Close() }()
		_, s.ports[p], _ = net.SplitHostPort(listener.Addr().String())
	}
	return nil
}

// ready reports whether the instance responds that it is ready.
func (i *instance) ready() bool {
	return respondsOK("http://" + i.address(portReady) + platform.PathReady)
}

// start starts the instance's process. It does nothing if the process runs already.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	cmd := exec.Command(i.soak.binary, "run", "--settings", i.settingsPath)
	cmd.Stdout = i.soak.output
	cmd.Stderr = i.soak.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", i.id, err)
	}
	i.process = cmd
	i.lifetimeCount++
	i.stopping = false
	i.paused = false
	go i.recordExit(cmd)
	return nil
}

// recordExit waits until a process exits. The exit is a violation unless the test stopped
// or killed the process.
func (i *instance) recordExit(cmd *exec.Cmd) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == cmd {
		i.process = nil
		if !i.stopping {
			i.soak.history.recordViolation(ruleRunsOn, "%s exited without being stopped: %v", i.id, err)
		}
	}
}

// peakMemory returns the most memory in megabytes that the process has used, or 0 if none
// runs.
func (i *instance) peakMemory() float64 {
	i.mu.Lock()
	process := i.process
	i.mu.Unlock()
	if process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		return 0
	}
	return kilobytes / 1024
}

// signal sends a signal to the process if it runs.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		i.stopping = true
	case syscall.SIGSTOP:
		i.paused = true
	case syscall.SIGCONT:
		i.paused = false
	}
	// An error means that the process has just exited, so it needs no signal.
	_ = i.process.Process.Signal(sig)
}

// kill kills the process and waits up to a second for it to exit.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.exitsWithin(time.Second)
}

// exitsWithin waits until the process has exited, but not longer than the timeout. It
// reports whether the process has exited.
func (i *instance) exitsWithin(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		i.mu.Lock()
		exited := i.process == nil
		i.mu.Unlock()
		if exited {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// lifetime returns how many times the instance was started. The number identifies the
// process that runs now.
func (i *instance) lifetime() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lifetimeCount
}
