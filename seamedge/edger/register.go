package edger

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/waiter"
)

const (
	// registerRetryDelay is the pause after a failed registration in the store.
	registerRetryDelay = 2 * time.Second
	// registerSpread is the time over which the instances register themselves again after
	// the store has come back from an older copy.
	registerSpread = 2 * time.Second
	// listInterval is the pause between two calls that list the registered instances.
	listInterval = 15 * time.Second
)

// register registers this instance in the store and then lists the registered instances
// periodically until ctx ends. When the store has come back from an older copy, it
// registers the instance again, after a random part of registerSpread.
func (e *Edge) register(ctx context.Context) {
	e.writeRegistration(ctx)
	e.listInstances(ctx, e.listRegistered)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.registerAgain:
			waiter.Pause(ctx, rand.N(registerSpread))
			e.writeRegistration(ctx)
		case <-time.After(listInterval):
		}
		e.listInstances(ctx, e.store.ListStale)
	}
}

// listRegistered lists the objects of a kind as they are now.
func (e *Edge) listRegistered(ctx context.Context, kind string) ([]follower.Object, error) {
	objects, _, err := e.store.List(ctx, kind)
	return objects, err
}

// writeRegistration writes this instance's entry to the store. If this fails, it retries
// until it succeeds, ctx ends or the instance stops.
func (e *Edge) writeRegistration(ctx context.Context) {
	self := platform.EncodeInstance(follower.Instance{
		Region: e.region(), Zone: e.settings.Instance.Zone,
		CallerAddress: e.settings.Listen.Callers, PeerAddress: e.settings.Listen.Peers, StartedAtMs: e.startedAtMs,
	})
	for ctx.Err() == nil && !e.stopping.Load() {
		err := e.store.Create(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		if errors.Is(err, follower.ErrConflict) {
			err = e.store.Replace(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		}
		if err == nil {
			return
		}
		e.log.Warn("instance: registration failed; will retry", zap.Error(err))
		waiter.Pause(ctx, registerRetryDelay)
	}
}

// listInstances lists the instances that are registered in the store. It adds their
// addresses to the peer table and passes their IDs to the model. After the first list, data
// that is some seconds old will do, since heartbeats make newer instances known.
func (e *Edge) listInstances(ctx context.Context, list func(context.Context, string) ([]follower.Object, error)) {
	objects, err := list(ctx, platform.KindInstances)
	if err != nil {
		e.log.Warn("instances: listing failed", zap.Error(err))
		return
	}
	var ids []string
	for _, o := range objects {
		i, err := platform.DecodeInstance(o.Name, o.Spec)
		if err != nil {
			e.log.Warn("instance: invalid store entry ignored", zap.Error(err))
			continue
		}
		ids = append(ids, i.ID)
		e.peers.add(i.PeerAddress, i.Region, time.Time{})
	}
	e.update(conductor.InstancesReceived{IDs: ids})
}
