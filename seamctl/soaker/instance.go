package soaker

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/standin/disruptor"
)

// port identifies one of an instance's listeners. All instances use the same port
// numbers, each on its own loopback address.
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
	// firstHostByte is the last byte of the first instance's loopback address,
	// 127.0.0.11; the others follow it.
	firstHostByte = 11
	// graceSeconds is how long an instance may continue to run after SIGTERM.
	graceSeconds = 4
)

// instance is an instance of seamedge. It is restarted during the test, so that several
// processes run it one after the other.
type instance struct {
	soak         *Soak
	id           string
	index        int
	settingsPath string
	store        *disruptor.Proxy

	mu            sync.Mutex
	process       *exec.Cmd
	lifetimeCount int
	stopping      bool
	paused        bool
}

func (s *Soak) addInstance(n int, store string) error {
	proxy, err := disruptor.NewProxy("127.0.0.1:0", store)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.cleanups = append(s.cleanups, proxy.Close)
	i := &instance{soak: s, id: fmt.Sprintf("edge-%d", n+1), index: n, store: proxy}
	i.settingsPath = filepath.Join(s.dir, i.id+".json")
	data := fmt.Sprintf(`{"instance":{"id":%q,"zone":%q},"zones":{"zone-0":"region-0","zone-1":"region-1"},
"listen":{"callers":%q,"ready":%q,"lookups":%q,"peers":%q,"metrics":%q},"store":%q,"seeds":[%q],
"bounds":{"retryRatio":0.2,"retryExtra":60,"grace":%d,"lookupTtl":2},"memory":{"limitMb":128}}`,
		i.id, zoneOf(n), i.address(portCallers), i.address(portReady), i.address(portLookups), i.address(portPeers), i.address(portMetrics),
		proxy.Address(), s.address(0, portPeers), graceSeconds)
	s.instances = append(s.instances, i)
	return os.WriteFile(i.settingsPath, []byte(data), 0o600)
}

// zoneOf returns the zone of the nth instance or endpoint; they alternate between two
// zones.
func zoneOf(n int) string { return "zone-" + strconv.Itoa(n%2) }

// address returns the address of an instance's listener.
func (s *Soak) address(instance int, p port) string {
	return net.JoinHostPort("127.0.0."+strconv.Itoa(firstHostByte+instance), s.ports[p])
}

func (i *instance) address(p port) string { return i.soak.address(i.index, p) }

// choosePorts chooses the port numbers. They are free on 127.0.0.1 at this time, and not
// reserved: the listeners that find them are closed on return.
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

func (i *instance) ready() bool {
	return respondsOK("http://" + i.address(portReady) + platform.PathReady)
}

// start starts a process unless one runs.
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

// recordExit waits for a process to exit. Unless the test stopped or killed it, that is a
// violation.
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

// exitsWithin waits for the process to exit and reports whether it did before the timeout.
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

// lifetime returns how many times the process was started.
func (i *instance) lifetime() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lifetimeCount
}
