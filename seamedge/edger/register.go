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
	// registerRetry is the pause between two tries to tell the store of this
	// instance.
	registerRetry = 2 * time.Second
	// instancesEvery is how often the instances in the store are listed.
	instancesEvery = 15 * time.Second
)

// register tells the store of this instance and learns of the others.
func (e *Edge) register(ctx context.Context) {
	self := platform.EncodeInstance(follower.Instance{
		Region: e.region(), Zone: e.settings.Instance.Zone,
		Callers: e.settings.Listen.Callers, Peers: e.settings.Listen.Peers, Started: e.started,
	})
	for ctx.Err() == nil {
		err := e.store.Create(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		if errors.Is(err, follower.ErrConflict) {
			err = e.store.Replace(ctx, platform.KindInstances, e.settings.Instance.ID, self)
		}
		if err == nil {
			break
		}
		e.log.Warn("instance: not registered", zap.Error(err))
		waiter.Pause(ctx, registerRetry)
	}
	for ctx.Err() == nil {
		e.listInstances(ctx)
		waiter.Pause(ctx, instancesEvery)
	}
}

// listInstances learns of the instances in the store.
func (e *Edge) listInstances(ctx context.Context) {
	objects, _, err := e.store.List(ctx, platform.KindInstances)
	if err != nil {
		e.log.Warn("instances: not listed", zap.Error(err))
		return
	}
	var ids []string
	for _, o := range objects {
		i, err := platform.DecodeInstance(o.Name, o.Spec)
		if err != nil {
			e.log.Warn("instance: entry not used", zap.Error(err))
			continue
		}
		ids = append(ids, i.ID)
		e.peers.add(i.Peers, i.Region, time.Time{}, false)
	}
	e.update(conductor.InstancesSeen{IDs: ids})
}
