package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
)

// unavailableStore is a store whose calls all fail with the code StoreUnavailable.
type unavailableStore struct{ storer.Store }

var errUnavailable = coder.Errorf(coder.StoreUnavailable, "", "down")

func (unavailableStore) List(context.Context, storer.Kind) (storer.Events, error) {
	return storer.Events{}, errUnavailable
}

func (unavailableStore) Watch(context.Context, storer.Kind, int64, time.Duration) (storer.Events, error) {
	return storer.Events{}, errUnavailable
}

func (unavailableStore) Get(context.Context, storer.Kind, string) (storer.Object, error) {
	return storer.Object{}, errUnavailable
}

func (unavailableStore) Put(context.Context, storer.Object) (storer.Object, error) {
	return storer.Object{}, errUnavailable
}

func (unavailableStore) Instances(context.Context) ([]storer.Instance, error) {
	return nil, errUnavailable
}

// runningDaemon is a daemon on which Run was called. stop ends the context of Run, and
// runResult receives its result.
type runningDaemon struct {
	*daemon.Daemon
	id        string
	stop      context.CancelFunc
	runResult chan error
}

func startWithoutStore(t testing.TB, id string, peers ...string) *runningDaemon {
	t.Helper()
	return start(t, id, daemon.WithStore(unavailableStore{}), peers...)
}

// start runs a daemon until the test ends. store is the option that sets the daemon's
// store; peers are the addresses of instances through which it joins the fleet.
func start(t testing.TB, id string, store daemon.Option, peers ...string) *runningDaemon {
	t.Helper()
	const loopback = "127.0.0.1:0"
	d, err := daemon.New(loader.Settings{
		Instance: loader.Instance{ID: id, Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Peers:    peers,
		Shutdown: loader.Shutdown{Linger: configurer.Duration(2 * time.Second), Timeout: configurer.Duration(time.Second)},
	}, store)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := &runningDaemon{Daemon: d, id: id, stop: cancel, runResult: make(chan error, 1)}
	go func() { r.runResult <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-r.runResult; err != nil && !errors.Is(err, context.Canceled) {
			t.Logf("%s: %v", id, err)
		}
	})
	return r
}

// awaitPeerIDs waits until each of the observers lists exactly the instances with the
// given ids. The test fails if that takes longer than limit.
func awaitPeerIDs(t *testing.T, limit time.Duration, observers []*runningDaemon, ids ...string) {
	t.Helper()
	started := time.Now()
	for _, o := range observers {
		for !slices.Equal(o.PeerIDs(), ids) {
			if time.Since(started) > limit {
				t.Fatalf("%s lists %v instead of %v after %v", o.id, o.PeerIDs(), ids, limit)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("%d instances list %v after %v", len(observers), ids, time.Since(started).Round(time.Millisecond))
}

// TestInstancesFindEachOtherWithoutTheStore starts four instances without a store. The
// others have only the address of the first one. All must find each other, and remove an
// instance from their lists after its graceful shutdown and another one after its crash.
func TestInstancesFindEachOtherWithoutTheStore(t *testing.T) {
	first := startWithoutStore(t, "i0")
	fleet := []*runningDaemon{first}
	for i := 1; i < 4; i++ {
		fleet = append(fleet, startWithoutStore(t, fmt.Sprintf("i%d", i), first.PeerAddress()))
	}
	awaitPeerIDs(t, 3*time.Second, fleet, "i0", "i1", "i2", "i3")
	fleet[3].stop()
	awaitPeerIDs(t, time.Second, fleet[:3], "i0", "i1", "i2")
	fleet[2].Kill()
	awaitPeerIDs(t, 10*time.Second, fleet[:2], "i0", "i1")
}
