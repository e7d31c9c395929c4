package edger

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
)

const (
	// drainFraction is the fraction of the grace period after which a stopping instance
	// refuses new requests. Before that it still accepts them, since callers use earlier
	// look-up answers for some time.
	drainFraction = 0.5
	// stopFraction is the fraction of the grace period after which the instance no longer
	// waits for open requests.
	stopFraction = 0.94
	// answerTime is left before the end of the grace period for the last answers to be sent.
	answerTime = 100 * time.Millisecond
	// stopPollInterval is how often a stopping instance checks whether all open requests
	// have ended.
	stopPollInterval = 50 * time.Millisecond
	// leavingHeartbeats is the number of heartbeats that announce the stop to each
	// audience. It is more than 1 because heartbeats are datagrams and may be lost.
	leavingHeartbeats = 3
)

// stop stops the instance gracefully within the grace period:
//
//   - First the instance reports that it isn't ready, leaves itself out of its look-up
//     answers, announces the stop in heartbeats, and removes its entry from the store. It
//     still serves requests, since callers may use older look-up answers, but refuses those
//     that may take longer than it has left.
//   - After drainFraction of the grace period it refuses new requests.
//   - When all open requests have ended, or after stopFraction of the grace period, it
//     closes the servers.
func (e *Edge) stop() {
	start := time.Now()
	e.stopping.Store(true)
	plan := e.planStop(start, stopPlan{})
	e.log.Info("stop: requested", zap.Int64("requests", e.openRequests.Load()), zap.Duration("grace", plan.grace))
	for range leavingHeartbeats {
		e.sendHeartbeat(conductor.SameRegion)
		e.sendHeartbeat(conductor.OtherRegions)
	}
	e.unregister()
	for time.Now().Before(plan.refuseAt) {
		time.Sleep(min(stopPollInterval, time.Until(plan.refuseAt)))
		plan = e.planStop(start, plan)
	}
	e.refusingRequests.Store(true)
	for e.openRequests.Load() > 0 && time.Now().Before(plan.end) {
		time.Sleep(stopPollInterval)
		plan = e.planStop(start, plan)
	}
	ctx, cancel := context.WithDeadline(context.Background(), plan.end.Add(stopPollInterval))
	defer cancel()
	for _, s := range e.servers {
		if err := s.close(ctx); err != nil {
			e.log.Info("stop: server did not close cleanly", zap.Error(err))
		}
	}
	e.log.Info("stop: finished", zap.Int64("requests", e.openRequests.Load()), zap.Duration("took", time.Since(start)))
}

// stopPlan holds the times of a graceful stop: when the instance begins to refuse all new requests,
// and when it no longer waits for open ones.
type stopPlan struct {
	grace         time.Duration
	refuseAt, end time.Time
}

// planStop returns the plan of a stop that began at start, by the grace period that the settings
// have now. If that is not the one of the plan before, it informs the model of the new end.
func (e *Edge) planStop(start time.Time, before stopPlan) stopPlan {
	grace := duration(e.current.Load().Bounds.Grace)
	if grace == before.grace {
		return before
	}
	plan := stopPlan{
		grace:    grace,
		refuseAt: start.Add(time.Duration(drainFraction * float64(grace))),
		end:      start.Add(time.Duration(stopFraction * float64(grace))),
	}
	e.update(conductor.StopRequested{End: plan.end.Add(-answerTime)})
	return plan
}

// close closes the listener and waits until the server accepts no more connections. Then it
// closes each connection as soon as its request has ended. It stops waiting when ctx ends.
func (s server) close(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.serveEnded:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

// unregister removes this instance's entry from the store.
func (e *Edge) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.store.Delete(ctx, platform.KindInstances, e.settings.Instance.ID)
	if err != nil && !errors.Is(err, follower.ErrNotFound) {
		e.log.Info("instance: removal from the store failed", zap.Error(err))
	}
}
