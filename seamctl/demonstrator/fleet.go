package demonstrator

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/disruptor"
)

const (
	// shutdownLinger is how long a stopping instance still accepts requests. This is
	// the daemon's default. Other instances may return the stopping instance in
	// lookups for 2 s, and callers may cache such a lookup for 7.5 s; shutdownLinger
	// exceeds the sum of both.
	shutdownLinger = 10 * time.Second
	// shutdownTimeout limits the part of a graceful stop after shutdownLinger.
	shutdownTimeout = 10 * time.Second
	// crashListDelay is the time after a crash until the instance is removed from
	// the platform's instance list. The daemons get the new list later, since the
	// store stand-in delays changes of the list as well.
	crashListDelay = time.Second
)

// instance is a daemon of the run. Its connections to its peers, the other instances, are
// opened through link, which can interrupt them.
type instance struct {
	id            string
	region        string
	failureDomain string
	daemon        *daemon.Daemon
	link          *disruptor.Link
	stop          context.CancelFunc
	done          chan struct{}

	mu sync.Mutex
	// stoppingOrCrashed means that the instance has begun to stop or was killed.
	stoppingOrCrashed bool
}

// live reports whether the instance has neither crashed nor begun to stop.
func (i *instance) live() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stoppingOrCrashed
}

func (i *instance) markStopped() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stoppingOrCrashed = true
}

// record returns the entry of the platform's instance list that describes the instance,
// with the given state.
func (i *instance) record(state storer.InstanceState) storer.Instance {
	return storer.Instance{
		ID: i.id, Region: i.region, FailureDomain: i.failureDomain,
		CallerAddress: i.daemon.CallerAddress(), LookupAddress: i.daemon.LookupAddress(),
		PeerAddress: i.daemon.PeerAddress(), State: state,
	}
}

// startInstance starts the instance with index n and adds it to the platform's instance
// list. Its daemon runs until a step stops it or the run is cleaned up. The end of ctx
// doesn't stop it.
func (d *Demo) startInstance(ctx context.Context, n int) error {
	region := d.shape.Regions[n%len(d.shape.Regions)]
	i := &instance{
		id: fmt.Sprintf("seamd-%d", n+1), region: region, failureDomain: failureDomainName(region, n/len(d.shape.Regions)),
		link: disruptor.NewLink((&net.Dialer{}).DialContext), done: make(chan struct{}),
	}
	settings := loader.Settings{
		Instance: loader.Instance{ID: i.id, Region: region, FailureDomain: i.failureDomain},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: d.storeURL},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(shutdownLinger), Timeout: configurer.Duration(shutdownTimeout)},
		Seed:     d.seed + uint64(n),
	}
	opts := []daemon.Option{daemon.WithLogger(d.log), daemon.WithPeerDial(i.link.Dial)}
	if d.disabled != 0 {
		opts = append(opts, daemon.WithoutMechanism(d.disabled))
	}
	var err error
	if i.daemon, err = daemon.New(settings, opts...); err != nil {
		return err
	}
	ctx, i.stop = context.WithCancel(context.WithoutCancel(ctx))
	d.instances = append(d.instances, i)
	d.storeServer.SetInstance(i.record(storer.InstanceLive))
	go func() {
		defer close(i.done)
		_ = i.daemon.Run(ctx)
	}()
	d.cleanups = append(d.cleanups, func() {
		i.daemon.Kill()
		i.stop()
		<-i.done
	})
	return nil
}

// liveInstances returns the instances that have neither crashed nor begun to stop.
func (d *Demo) liveInstances() []*instance {
	var live []*instance
	for _, i := range d.instances {
		if i.live() {
			live = append(live, i)
		}
	}
	return live
}

// busiestInstance returns the live instance to which callers sent the most attempts that
// have ended, of those sent in the last second.
func (d *Demo) busiestInstance() *instance {
	attempts := d.checker.attemptsSince(time.Now().Add(-time.Second))
	return slices.MaxFunc(d.liveInstances(), func(a, b *instance) int {
		return cmp.Compare(attempts[a.daemon.CallerAddress()], attempts[b.daemon.CallerAddress()])
	})
}

// stopInstance stops an instance gracefully, waits until its daemon has ended, and records
// how long that took.
func (d *Demo) stopInstance(i *instance) {
	i.markStopped()
	d.storeServer.SetInstance(i.record(storer.InstanceLeaving))
	startedAt := time.Now()
	d.checker.recordStopStart(i.daemon.CallerAddress(), startedAt)
	i.stop()
	<-i.done
	d.storeServer.RemoveInstance(i.id)
	d.checker.recordStopEnd(time.Since(startedAt))
}

// crashInstance kills an instance. The platform's instance list still contains the
// instance for crashListDelay.
func (d *Demo) crashInstance(ctx context.Context, i *instance) {
	i.markStopped()
	i.daemon.Kill()
	<-i.done
	waiter.Pause(ctx, crashListDelay)
	d.storeServer.RemoveInstance(i.id)
}

// setLinkCut interrupts (cut is true) or restores (cut is false) the connections between
// the instances of regions a and b, in both directions.
func (d *Demo) setLinkCut(a, b string, cut bool) {
	for _, from := range d.instances {
		for _, to := range d.instances {
			if (from.region == a && to.region == b) || (from.region == b && to.region == a) {
				from.link.SetCut(to.daemon.PeerAddress(), cut)
			}
		}
	}
}
