// Package soaker is a soak test with fault injection. It runs several instances
// of seamedge as separate processes, injects faults from outside, and checks a
// set of rules against what callers and endpoints observed. The command "seamctl
// soak" uses it.
//
// A test consists of these parts:
//   - an in-memory store, which each instance reaches through a proxy of its own;
//   - endpoints, which run requests; each is behind a proxy of its own;
//   - callers, which look up instances, reuse their connections and send requests;
//   - an operator, which changes the configuration, withdraws an API key, drains
//     endpoints and evacuates zones.
//
// Each instance and each endpoint is in a zone; an evacuated zone must get no requests.
//
// Several series of faults run at the same time. Proxies delay bytes, reset
// connections and drop traffic in one or both directions. Signals stop, pause, kill
// and reload processes. The store returns errors or doesn't answer. Only processes
// that the test started are signalled, by their process id.
//
// The history records every request, fault and operator action. At the end of the test,
// the rules are checked against it.
//
// # Usage
//
//	report, err := soaker.Run(ctx, "./seamedge", soaker.WithSeed(7), soaker.WithDuration(20*time.Second))
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"primroseseam.org/seam/waiter"
	"primroseseam.org/standin/objectkeeper"
)

// Soak is one soak test.
type Soak struct {
	binary        string
	seed          uint64
	duration      time.Duration
	instanceCount int
	// crowdSize is the number of clients in a crowd, and memoryMB the memory of an instance.
	crowdSize int
	memoryMB  int
	output    io.Writer
	dir       string
	ports     [portCount]string
	rng       *rand.Rand
	fakeStore *objectkeeper.FakeStore
	history   *history
	instances []*instance
	endpoints []*endpoint
	operator  *operator
	cleanups  []func()
	// uploadCount is the number of uploads that were sent.
	uploadCount int
}

// Option configures a soak test.
type Option func(*Soak)

// WithSeed sets the seed of the random generators for faults and callers. The eight lowest
// bits of the seed also select which of the optional series of faults run.
func WithSeed(seed uint64) Option { return func(s *Soak) { s.seed = seed } }

// WithDuration sets how long faults are injected.
func WithDuration(d time.Duration) Option { return func(s *Soak) { s.duration = d } }

// WithInstances sets the number of seamedge instances.
func WithInstances(n int) Option { return func(s *Soak) { s.instanceCount = n } }

// WithCrowd sets the number of clients in a crowd that misbehaves.
func WithCrowd(n int) Option { return func(s *Soak) { s.crowdSize = n } }

// WithMemory sets the memory of each instance in megabytes.
func WithMemory(megabytes int) Option { return func(s *Soak) { s.memoryMB = megabytes } }

// WithOutput sets where the log of injected faults and the output of the instances
// are written.
func WithOutput(w io.Writer) Option { return func(s *Soak) { s.output = w } }

const (
	// callersPerInstance is the number of callers divided by the number of instances. A
	// caller may send requests to any instance.
	callersPerInstance = 5
	// settleTime is how long callers go on sending requests after the injection of
	// faults has ended, so that the recovery can be checked. It must exceed
	// maxFaultTime plus recoveredAfter, or the check of the recovery has no requests.
	settleTime = 8 * time.Second
	// defaultCrowdSize and defaultMemoryMB apply if none is set.
	defaultCrowdSize = 300
	defaultMemoryMB  = 128
	// readyTimeout is how long Run waits until every instance reports that it is ready.
	readyTimeout = 10 * time.Second
)

// Run runs a soak test with the seamedge executable at the path binary, and returns the
// report with the rules that were violated. It returns an error if the test couldn't be
// started or ctx has ended.
func Run(ctx context.Context, binary string, opts ...Option) (Report, error) {
	s := &Soak{binary: binary, seed: 1, duration: 15 * time.Second, instanceCount: 4, crowdSize: defaultCrowdSize, memoryMB: defaultMemoryMB, output: io.Discard, fakeStore: objectkeeper.New(), history: newHistory()}
	for _, opt := range opts {
		opt(s)
	}
	s.rng = rand.New(rand.NewPCG(s.seed, s.seed))
	defer s.cleanUp()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for n := range s.instanceCount * callersPerInstance {
		c := s.newCaller(n)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(callersCtx)
		}()
	}
	s.injectFaults(ctx)
	waiter.Pause(ctx, settleTime)
	stopCallers()
	wg.Wait()
	return s.history.report(s.seed), ctx.Err()
}

// start starts the store, the endpoints and the instances, and waits until every instance
// is ready. It returns an error if one can't be started or isn't ready after readyTimeout.
func (s *Soak) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "seam-soak-")
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	s.dir = dir
	s.cleanups = append(s.cleanups, func() { _ = os.RemoveAll(dir) })
	if err := s.choosePorts(); err != nil {
		return err
	}
	store, err := startServer(s.fakeStore)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, store.close)
	for n := range serviceCount * endpointsPerService {
		if err := s.startEndpoint(n); err != nil {
			return err
		}
	}
	s.operator = newOperator(s)
	s.operator.writeConfig()
	for n := range s.instanceCount {
		if err := s.addInstance(n, store.address); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for !allReady(s.instances) {
		if time.Now().After(deadline) {
			return fmt.Errorf("soak: not all instances are ready after %v", readyTimeout)
		}
		if !waiter.Pause(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func allReady(instances []*instance) bool {
	return !slices.ContainsFunc(instances, func(i *instance) bool { return !i.ready() })
}

// cleanUp kills the instances, then runs the cleanups in reverse order.
func (s *Soak) cleanUp() {
	for _, i := range s.instances {
		i.kill()
	}
	slices.Reverse(s.cleanups)
	for _, f := range s.cleanups {
		f()
	}
}

// logf writes a line about an injected fault or an operator action to the output.
func (s *Soak) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.output, "%s soak: %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// respondsOK reports whether a GET of the URL returns status 200 within a second.
func respondsOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
