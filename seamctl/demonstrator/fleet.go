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
	// stopLinger is the daemon's default: longer than look-ups may still name a
	// leaving instance (2 s) plus the life of such an answer (7.5 s).
	stopLinger = 10 * time.Second
	// stopTimeout bounds the rest of a planned stop.
	stopTimeout = 10 * time.Second
	// listLag is how far the platform's instance list is behind a crash.
	listLag = time.Second
)

// instance is an entry instance of the run.
type instance struct {
	id     string
	region string
	domain string
	daemon *daemon.Daemon
	link   *disruptor.Link
	stop   context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	ended bool
}

// live reports whether the instance is neither stopping nor gone.
func (i *instance) live() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.ended
}

func (i *instance) markEnded() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}

// record describes the instance in the platform's list.
func (i *instance) record(state storer.InstanceState) storer.Instance {
	return storer.Instance{
		ID: i.id, Region: i.region, FailureDomain: i.domain,
		CallerAddress: i.daemon.CallerAddress(), LookupAddress: i.daemon.LookupAddress(),
		PeerAddress: i.daemon.PeerAddress(), State: state,
	}
}

func (d *Demo) startInstance(ctx context.Context, n int) error {
	region := d.shape.Regions[n%len(d.shape.Regions)]
	i := &instance{
		id: fmt.Sprintf("seamd-%d", n+1), region: region, domain: domainName(region, n/len(d.shape.Regions)),
		link: disruptor.NewLink((&net.Dialer{}).DialContext), done: make(chan struct{}),
	}
	settings := loader.Settings{
		Instance: loader.Instance{ID: i.id, Region: region, FailureDomain: i.domain},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: d.storeURL},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(stopLinger), Timeout: configurer.Duration(stopTimeout)},
		Seed:     d.seed + uint64(n),
	}
	opts := []daemon.Option{daemon.WithLogger(d.log), daemon.WithPeerDial(i.link.Dial)}
	if d.broken != 0 {
		opts = append(opts, daemon.WithoutMechanism(d.broken))
	}
	var err error
	if i.daemon, err = daemon.New(settings, opts...); err != nil {
		return err
	}
	ctx, i.stop = context.WithCancel(context.WithoutCancel(ctx))
	d.instances = append(d.instances, i)
	d.keeper.SetInstance(i.record(storer.InstanceLive))
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

// liveInstances returns the instances that neither stop nor are gone.
func (d *Demo) liveInstances() []*instance {
	var live []*instance
	for _, i := range d.instances {
		if i.live() {
			live = append(live, i)
		}
	}
	return live
}

// busiest returns the live instance that callers used most lately.
func (d *Demo) busiest() *instance {
	used := d.checker.usedSince(time.Now().Add(-time.Second))
	return slices.MaxFunc(d.liveInstances(), func(a, b *instance) int {
		return cmp.Compare(used[a.daemon.CallerAddress()], used[b.daemon.CallerAddress()])
	})
}

// stopInstance stops an instance as planned and measures how long it takes.
func (d *Demo) stopInstance(i *instance) {
	i.markEnded()
	d.keeper.SetInstance(i.record(storer.InstanceLeaving))
	started := time.Now()
	d.checker.stopBegan(i.daemon.CallerAddress(), started)
	i.stop()
	<-i.done
	d.keeper.RemoveInstance(i.id)
	d.checker.stopEnded(time.Since(started))
}

// crashInstance ends an instance at once; the platform notices late.
func (d *Demo) crashInstance(ctx context.Context, i *instance) {
	i.markEnded()
	i.daemon.Kill()
	<-i.done
	waiter.Pause(ctx, listLag)
	d.keeper.RemoveInstance(i.id)
}

// setLinkCut cuts or mends the links between the instances of two regions.
func (d *Demo) setLinkCut(a, b string, on bool) {
	for _, from := range d.instances {
		for _, to := range d.instances {
			if (from.region == a && to.region == b) || (from.region == b && to.region == a) {
				from.link.SetCut(to.daemon.PeerAddress(), on)
			}
		}
	}
}
