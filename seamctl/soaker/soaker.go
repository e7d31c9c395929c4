// Package soaker runs instances as processes of their own, disturbs them from
// outside and checks, from callers and endpoints, what must always hold.
//
// A run has a store stand-in behind a proxy for each instance, endpoints behind
// a proxy each, callers that keep their connections, and an operator that
// changes configurations, keys and endpoints. Series of faults overlap: proxies
// delay, reset, cut one way and silence; signals stop, pause, kill and reload
// processes; the store misbehaves. Only processes that the run started are
// signalled, by their id.
//
// # Usage
//
//	report, err := soaker.Run(ctx, "./seamd", soaker.WithSeed(7), soaker.WithDuration(20*time.Second))
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

// Soak is a run.
type Soak struct {
	binary    string
	seed      uint64
	duration  time.Duration
	count     int
	output    io.Writer
	dir       string
	ports     [portCount]string
	rng       *rand.Rand
	keeper    *objectkeeper.FakeStore
	ledger    *ledger
	instances []*instance
	endpoints []*endpoint
	operator  *operator
	cleanups  []func()
}

// Option changes a run.
type Option func(*Soak)

// WithSeed seeds faults and callers.
func WithSeed(seed uint64) Option { return func(s *Soak) { s.seed = seed } }

// WithDuration sets how long faults happen.
func WithDuration(d time.Duration) Option { return func(s *Soak) { s.duration = d } }

// WithInstances sets the number of instances.
func WithInstances(n int) Option { return func(s *Soak) { s.count = n } }

// WithOutput sets where faults and the logs of instances are written.
func WithOutput(w io.Writer) Option { return func(s *Soak) { s.output = w } }

const (
	// callersEach is the number of callers for each instance.
	callersEach = 5
	// settleTime is how long a run goes on after the last fault, so that what
	// must come back can be seen to.
	settleTime = 8 * time.Second
	// readyWithin bounds the start of all instances.
	readyWithin = 10 * time.Second
)

// Run runs a soak with a binary of the daemon. It returns what was violated.
func Run(ctx context.Context, binary string, opts ...Option) (Report, error) {
	s := &Soak{binary: binary, seed: 1, duration: 15 * time.Second, count: 4, output: io.Discard, keeper: objectkeeper.New(), ledger: newLedger()}
	for _, opt := range opts {
		opt(s)
	}
	s.rng = rand.New(rand.NewPCG(s.seed, s.seed))
	defer s.cleanUp()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	callers, stop := context.WithCancel(ctx)
	var working sync.WaitGroup
	for n := range s.count * callersEach {
		c := s.newCaller(n)
		working.Add(1)
		go func() {
			defer working.Done()
			c.run(callers)
		}()
	}
	s.disturb(ctx)
	waiter.Pause(ctx, settleTime)
	stop()
	working.Wait()
	return s.ledger.report(s.seed), ctx.Err()
}

// start starts the store, the endpoints and the instances.
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
	store, err := serve(s.keeper)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, store.close)
	for n := range services * endpointsEach {
		if err := s.startEndpoint(n); err != nil {
			return err
		}
	}
	s.operator = newOperator(s)
	s.operator.configure()
	for n := range s.count {
		if err := s.addInstance(n, store.address); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyWithin)
	for !allReady(s.instances) {
		if time.Now().After(end) {
			return fmt.Errorf("soak: instances are not ready within %v", readyWithin)
		}
		if !waiter.Pause(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

func allReady(list []*instance) bool {
	return !slices.ContainsFunc(list, func(i *instance) bool { return !i.ready() })
}

func (s *Soak) cleanUp() {
	for _, i := range s.instances {
		i.kill()
	}
	slices.Reverse(s.cleanups)
	for _, f := range s.cleanups {
		f()
	}
}

// note writes a line about what is done to the system.
func (s *Soak) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.output, "%s soak: %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// get asks an address and reports whether it answered with 200.
func get(url string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
