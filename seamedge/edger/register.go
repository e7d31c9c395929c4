package edger

import (
	"context"
	"encoding/json"
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
	// listInterval is the pause between two calls that list the registered instances while none is
	// missing.
	listInterval = 15 * time.Second
)

// register registers this instance in the store. Until ctx ends, it then lists the registered
// instances periodically, and writes this instance's entry again when that is due. When the store
// has come back from an older copy, it registers the instance again, after a random part of
// registerSpread.
func (e *Edge) register(ctx context.Context) {
	e.writeRegistration(ctx)
	e.listInstances(ctx, e.listRegistered)
	listedAt := time.Now()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-e.registerAgain:
			waiter.Pause(ctx, rand.N(registerSpread))
			e.writeRegistration(ctx)
		case <-time.After(conductor.RegistrationInterval):
		}
		e.mu.Lock()
		duties := e.model.RegistrationDuties(time.Now())
		e.mu.Unlock()
		if duties.Renew {
			e.renewRegistration(ctx)
		}
		switch {
		case duties.List:
			e.listInstances(ctx, e.listRegistered)
		case time.Since(listedAt) >= listInterval:
			e.listInstances(ctx, e.listStale)
		default:
			continue
		}
		listedAt = time.Now()
	}
}

// registrationList is a list of the entries of instances. current means that it was read just now.
type registrationList struct {
	objects []follower.Object
	current bool
}

// listRegistered lists the entries as they are now.
func (e *Edge) listRegistered(ctx context.Context) (registrationList, error) {
	objects, _, err := e.store.List(ctx, platform.KindInstances)
	return registrationList{objects, true}, err
}

// listStale lists the entries as they were some seconds ago, which costs less.
func (e *Edge) listStale(ctx context.Context) (registrationList, error) {
	objects, err := e.store.ListStale(ctx, platform.KindInstances)
	return registrationList{objects, false}, err
}

// writeRegistration writes this instance's entry to the store. If this fails, it retries
// until it succeeds, ctx ends or the instance stops.
func (e *Edge) writeRegistration(ctx context.Context) {
	for ctx.Err() == nil && !e.stopping.Load() {
		if e.renewRegistration(ctx) {
			return
		}
		waiter.Pause(ctx, registerRetryDelay)
	}
}

// renewRegistration writes this instance's entry, unless the instance stops. It returns false if that
// failed.
func (e *Edge) renewRegistration(ctx context.Context) bool {
	if e.stopping.Load() {
		return true
	}
	e.mu.Lock()
	live := e.model.LiveHashes()
	e.mu.Unlock()
	entry := platform.EncodeInstance(follower.Instance{
		Region: e.region(), Zone: e.settings.Instance.Zone,
		CallerAddress: e.settings.Listen.Callers, PeerAddress: e.settings.Listen.Peers, StartedAtMs: e.startedAtMs,
		Renewals: e.renewals, Live: live,
	})
	err := e.putRegistration(ctx, entry)
	e.renewals++
	e.registrationFailed.Store(err != nil)
	if err != nil {
		e.log.Warn("instance: registration failed; will retry", zap.Error(err))
	}
	return err == nil
}

// putRegistration writes this instance's entry, whether there is one or not. It expects one if the
// instance has written it before.
func (e *Edge) putRegistration(ctx context.Context, entry json.RawMessage) error {
	id := e.settings.Instance.ID
	if e.renewals == 0 {
		err := e.store.Create(ctx, platform.KindInstances, id, entry)
		if errors.Is(err, follower.ErrConflict) {
			err = e.store.Replace(ctx, platform.KindInstances, id, entry)
		}
		return err
	}
	err := e.store.Replace(ctx, platform.KindInstances, id, entry)
	if errors.Is(err, follower.ErrNotFound) {
		err = e.store.Create(ctx, platform.KindInstances, id, entry)
	}
	return err
}

// listInstances lists the instances that are registered in the store. It adds their
// addresses to the peer table and passes the list to the model. After the first list, data
// that is some seconds old will do while no instance is missing, since heartbeats make newer
// instances known.
func (e *Edge) listInstances(ctx context.Context, list func(context.Context) (registrationList, error)) {
	l, err := list(ctx)
	if err == nil || l.current {
		e.registrationFailed.Store(err != nil)
	}
	if err != nil {
		e.log.Warn("instances: listing failed", zap.Error(err))
		return
	}
	msg := conductor.InstancesReceived{Current: l.current}
	for _, o := range l.objects {
		i, err := platform.DecodeInstance(o.Name, o.Spec)
		if err != nil {
			e.log.Warn("instance: invalid store entry ignored", zap.Error(err))
			continue
		}
		msg.Registrations = append(msg.Registrations, conductor.Registration{ID: i.ID, Revision: o.Revision, Live: i.Live})
		e.peers.add(i.PeerAddress, i.Region, time.Time{})
	}
	for _, cmd := range e.update(msg) {
		if gone, ok := cmd.(conductor.RemoveRegistration); ok {
			e.removeRegistration(ctx, gone)
		}
	}
}

// removeRegistration deletes the entry of an instance that is gone.
func (e *Edge) removeRegistration(ctx context.Context, gone conductor.RemoveRegistration) {
	err := e.store.DeleteRevision(ctx, platform.KindInstances, gone.ID, gone.Revision)
	switch {
	case errors.Is(err, follower.ErrNotFound):
		// Another instance was faster.
	case err != nil:
		e.log.Warn("instance: removal of the entry of one that is gone failed", zap.String("gone", gone.ID), zap.Error(err))
	default:
		e.log.Warn("instance: gone; its entry in the store was removed", zap.String("gone", gone.ID))
	}
}
