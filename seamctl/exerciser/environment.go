package exerciser

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/standin/objectkeeper"
)

const (
	host = "exchange.example"
	// idleTimeout is the limit on clients that move no bytes. One of the two pauses is longer.
	idleTimeout = time.Second
	shortPause  = 300 * time.Millisecond
	longPause   = 1700 * time.Millisecond
	// routeTimeout is the timeout of all routes, and clientTimeout the time that clients state.
	routeTimeout  = 6 * time.Second
	clientTimeout = 5 * time.Second
	maxBodyBytes  = 8 << 20
	// readyTimeout limits the time until the instance is ready.
	readyTimeout = 10 * time.Second
	// key is the API key of all clients. Their team has no rate limit.
	key = "key-exchange"
	// endpointSlots is the number of requests that an endpoint runs at the same time.
	endpointSlots = 30
)

// environment is an instance with a store and endpoints.
type environment struct {
	store   *objectkeeper.FakeStore
	process *exec.Cmd
	exited  chan struct{}
	// callers and readiness are addresses of the instance.
	callers, readiness string
	cleanups           []func()

	mu sync.Mutex
	// free holds the routes that no scenario has used, by how often their requests may run.
	free   map[string][]*route
	lastID int
}

// newEnvironment starts an instance with a number of routes and waits until it is ready.
func newEnvironment(ctx context.Context, binary string, routes int, output io.Writer) (*environment, error) {
	e := &environment{store: objectkeeper.New(), exited: make(chan struct{}), free: map[string][]*route{}}
	if err := e.start(ctx, binary, routes, output); err != nil {
		e.close()
		return nil, fmt.Errorf("exchanges: %w", err)
	}
	return e, nil
}

func (e *environment) start(ctx context.Context, binary string, routes int, output io.Writer) error {
	dir, err := os.MkdirTemp("", "seam-exchanges-")
	if err != nil {
		return err
	}
	e.cleanups = append(e.cleanups, func() { _ = os.RemoveAll(dir) })
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	e.cleanups = append(e.cleanups, func() { _ = server.Close() })
	if err := e.addRoutes(routes); err != nil {
		return err
	}
	settings, err := e.writeSettings(dir, listener.Addr().String())
	if err != nil {
		return err
	}
	e.process = exec.Command(binary, "run", "--settings", settings)
	e.process.Stdout, e.process.Stderr = output, output
	if err := e.process.Start(); err != nil {
		return err
	}
	go func() {
		defer close(e.exited)
		_ = e.process.Wait()
	}()
	return e.await(ctx, "instance is not ready", func() bool { return e.answers(e.readiness, platform.PathReady) && e.runs(ctx) })
}

// writeSettings chooses the addresses of the instance and writes its settings.
func (e *environment) writeSettings(dir, store string) (string, error) {
	var addresses [5]string
	for n := range addresses {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = l.Close() }()
		addresses[n] = l.Addr().String()
	}
	e.callers, e.readiness = addresses[0], addresses[1]
	data := fmt.Sprintf(`{"instance":{"id":"edge-1","zone":"zone-0"},"zones":{"zone-0":"region-0"},
"listen":{"callers":%q,"ready":%q,"lookups":%q,"peers":%q,"metrics":%q},"store":%q,"seeds":[%q],
"bounds":{"retryRatio":0.2,"retryExtra":60,"grace":4},"memory":{"limitMb":256}}`,
		addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], store, addresses[3])
	path := filepath.Join(dir, "settings.json")
	return path, os.WriteFile(path, []byte(data), 0o600)
}

// await waits until a condition is met.
func (e *environment) await(ctx context.Context, failure string, met func() bool) error {
	for end := time.Now().Add(readyTimeout); !met(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s after %v", failure, readyTimeout)
		}
		if !waiter.Pause(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

// answers reports whether an address answers a GET with status 200.
func (e *environment) answers(address, path string) bool {
	q, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	q.Host = host
	q.Header.Set(platform.HeaderRequestID, e.newID())
	q.Header.Set(platform.HeaderKey, key)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runs reports whether the instance runs and answers an ordinary request.
func (e *environment) runs(ctx context.Context) bool {
	select {
	case <-e.exited:
		return false
	case <-ctx.Done():
		return true
	default:
		return e.answers(e.callers, "/route-0/x")
	}
}

// newID returns an ID that no other request has.
func (e *environment) newID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	return "exchange-" + strconv.Itoa(e.lastID)
}

// addRoutes adds routes, each with an endpoint of its own, and writes the configuration.
func (e *environment) addRoutes(count int) error {
	routes := map[string]objectkeeper.Route{}
	for n := range count {
		r, err := newRoute(n)
		if err != nil {
			return err
		}
		e.cleanups = append(e.cleanups, r.close)
		routes[r.name] = objectkeeper.Route{
			Host: host, PathPrefix: "/" + r.name + "/", Service: "service-" + r.name, Idempotent: r.runs == many,
			Timeout: routeTimeout, TargetLatency: routeTimeout / 2,
		}
		e.store.PutEndpoint(objectkeeper.Endpoint{ID: r.name, Address: r.address(), Service: "service-" + r.name, Zone: "zone-0", Slots: endpointSlots})
		e.free[r.runs] = append(e.free[r.runs], r)
	}
	e.store.PutConfig(objectkeeper.Config{
		Version: 1, Routes: routes, Teams: map[string]objectkeeper.Team{"team": {Keys: []string{key}}},
		Limits: objectkeeper.Limits{BodyBytes: maxBodyBytes, IdleTimeout: idleTimeout},
	})
	return nil
}

// takeRoute returns a route that no scenario has used. It returns false if none is left.
func (e *environment) takeRoute(runs string) (*route, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.free[runs]
	if len(list) == 0 {
		return nil, false
	}
	e.free[runs] = list[1:]
	return list[0], true
}

// close ends the instance and everything that was started for it.
func (e *environment) close() {
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Signal(syscall.SIGKILL)
		<-e.exited
	}
	for n := len(e.cleanups) - 1; n >= 0; n-- {
		e.cleanups[n]()
	}
}
