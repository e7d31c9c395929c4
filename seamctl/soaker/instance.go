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

// port is what an instance listens for. All instances use the same ports, each
// on a loopback address of its own.
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
	// firstHost is the last part of the first instance's loopback address.
	firstHost = 11
	// graceSeconds is how long an instance may run on after SIGTERM.
	graceSeconds = 4
)

// instance is a process of the daemon, over several lifetimes.
type instance struct {
	soak     *Soak
	id       string
	number   int
	settings string
	store    *disruptor.Proxy

	mu       sync.Mutex
	process  *exec.Cmd
	lifetime int
	stopping bool
	paused   bool
}

func (s *Soak) addInstance(n int, store string) error {
	proxy, err := disruptor.NewProxy("127.0.0.1:0", store)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.cleanups = append(s.cleanups, proxy.Close)
	i := &instance{soak: s, id: fmt.Sprintf("edge-%d", n+1), number: n, store: proxy}
	i.settings = filepath.Join(s.dir, i.id+".json")
	data := fmt.Sprintf(`{"instance":{"id":%q,"zone":%q},"zones":{"zone-0":"region-0","zone-1":"region-1"},
"listen":{"callers":%q,"ready":%q,"lookups":%q,"peers":%q,"metrics":%q},"store":%q,"seeds":[%q],
"bounds":{"retryRatio":0.2,"retryExtra":60,"grace":%d,"lookupTtl":2},"memory":{"limitMb":128}}`,
		i.id, zoneOf(n), i.at(portCallers), i.at(portReady), i.at(portLookups), i.at(portPeers), i.at(portMetrics),
		proxy.Address(), s.at(0, portPeers), graceSeconds)
	s.instances = append(s.instances, i)
	return os.WriteFile(i.settings, []byte(data), 0o600)
}

// zoneOf spreads instances and endpoints over two zones.
func zoneOf(n int) string { return "zone-" + strconv.Itoa(n%2) }

// at returns where an instance listens.
func (s *Soak) at(instance int, p port) string {
	return net.JoinHostPort("127.0.0."+strconv.Itoa(firstHost+instance), s.ports[p])
}

func (i *instance) at(p port) string { return i.soak.at(i.number, p) }

// choosePorts takes ports that are free now.
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

func (i *instance) ready() bool { return get("http://" + i.at(portReady) + platform.PathReady) }

// start starts a lifetime unless one goes on.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	cmd := exec.Command(i.soak.binary, "run", "--settings", i.settings)
	cmd.Stdout = i.soak.output
	cmd.Stderr = i.soak.output
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", i.id, err)
	}
	i.process = cmd
	i.lifetime++
	i.stopping = false
	i.paused = false
	go i.wait(cmd)
	return nil
}

// wait notes when a process ends. One that ends by itself is a violation.
func (i *instance) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == cmd {
		i.process = nil
		if !i.stopping {
			i.soak.ledger.violate(ruleRunsOn, "%s ended by itself: %v", i.id, err)
		}
	}
}

// signal sends a signal to the process that runs, if one does.
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
	// A process that has just ended needs no signal.
	_ = i.process.Process.Signal(sig)
}

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.ended(time.Second)
}

// ended waits for the end of the process and reports whether it came.
func (i *instance) ended(within time.Duration) bool {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		i.mu.Lock()
		gone := i.process == nil
		i.mu.Unlock()
		if gone {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// life returns the number of the lifetime.
func (i *instance) life() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lifetime
}
