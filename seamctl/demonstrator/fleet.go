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
	// shutdownLinger is how long a stopping instance still accepts requests. It is
	// the daemon's default and exceeds the time in which lookups may still return
	// the instance (2 s) plus the time for which callers cache them (7.5 s).
	shutdownLinger = 10 * time.Second
	// shutdownTimeout limits the rest of a graceful stop.
	shutdownTimeout = 10 * time.Second
	// crashListDelay is the time after a crash until the instance is removed from
	// the platform's instance list. The store stand-in adds its own lag to it.
	crashListDelay = time.Second
)

// instance is a daemon of the run, with the link that it dials its peers over.
type instance struct {
	id            string
	region        string
	failureDomain string
	daemon        *daemon.Daemon
	link          *disruptor.Link
	stop          context.CancelFunc
	done          chan struct{}

	mu sync.Mutex
	// stopped means that the instance has crashed or has begun to stop.
	stopped bool
}

// live reports whether the instance has neither crashed nor begun to stop.
func (i *instance) live() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.stopped
}

func (i *instance) markStopped() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}

// record returns the instance's entry for the platform's instance list.
func (i *instance) record(state storer.InstanceState) storer.Instance {
	return storer.Instance{
		ID: i.id, Region: i.region, FailureDomain: i.failureDomain,
		CallerAddress: i.daemon.CallerAddress(), LookupAddress: i.daemon.LookupAddress(),
		PeerAddress: i.daemon.PeerAddress(), State: state,
	}
}

// startInstance starts the daemon with index n and adds it to the platform's
// instance list. The daemon runs until it is stopped or the demo is cleaned up,
// even if ctx is cancelled earlier.
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

// busiestInstance returns the live instance that received the most attempts of
// callers in the last second.
func (d *Demo) busiestInstance() *instance {
	attempts := d.checker.attemptsSince(time.Now().Add(-time.Second))
	return slices.MaxFunc(d.liveInstances(), func(a, b *instance) int {
		return cmp.Compare(attempts[a.daemon.CallerAddress()], attempts[b.daemon.CallerAddress()])
	})
}

// stopInstance stops an instance gracefully and measures how long that takes.
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

// crashInstance kills an instance. The platform's instance list still contains it
// for crashListDelay.
func (d *Demo) crashInstance(ctx context.Context, i *instance) {
	i.markStopped()
	i.daemon.Kill()
	<-i.done
	waiter.Pause(ctx, crashListDelay)
	d.storeServer.RemoveInstance(i.id)
}

// setLinkCut cuts or restores the links between the instances of two regions, in
// both directions.
func (d *Demo) setLinkCut(a, b string, cut bool) {
	for _, from := range d.instances {
		for _, to := range d.instances {
			if (from.region == a && to.region == b) || (from.region == b && to.region == a) {
				from.link.SetCut(to.daemon.PeerAddress(), cut)
			}
		}
	}
}
