package edger

import (
	"context"
	"errors"
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
	// listInterval is the pause between two calls that list the registered instances.
	listInterval = 15 * time.Second
)

// register registers this instance in the store. If this fails, it retries until it
// succeeds. After that it lists the registered instances periodically until ctx ends.
func (e *Edge) register(ctx context.Context) {
	self := platform.EncodeInstance(follower.Instance{
		Region: e.region(), Zone: e.settings.Instance.Zone,
		CallerAddress: e.settings.Listen.Callers, PeerAddress: e.settings.Listen.Peers, StartedAtMs: e.startedAtMs,
	})
	for ctx.Err() == nil {
		err := e.store.Create(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		if errors.Is(err, follower.ErrConflict) {
			err = e.store.Replace(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		}
		if err == nil {
			break
		}
		e.log.Warn("instance: registration failed; will retry", zap.Error(err))
		waiter.Pause(ctx, registerRetryDelay)
	}
	for ctx.Err() == nil {
		e.listInstances(ctx)
		waiter.Pause(ctx, listInterval)
	}
}

// listInstances lists the instances that are registered in the store. It adds their
// addresses to the peer table and passes their IDs to the model.
func (e *Edge) listInstances(ctx context.Context) {
	objects, _, err := e.store.List(ctx, platform.KindInstances)
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
		e.peers.add(i.PeerAddress, i.Region, time.Time{}, false)
	}
	e.update(conductor.InstancesReceived{IDs: ids})
}
