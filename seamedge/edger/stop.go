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
	// drainFraction is the fraction of the grace period in which a stopping instance
	// still accepts requests, since callers keep using look-up answers for some time.
	drainFraction = 0.5
	// stopFraction is the fraction of the grace period after which remaining requests
	// are abandoned.
	stopFraction = 0.94
	// stopPollInterval is how often a stopping instance checks whether all requests
	// have ended.
	stopPollInterval = 50 * time.Millisecond
	// leavingHeartbeats is the number of heartbeats to each audience that announce
	// the stop. Heartbeats are datagrams, and one may be lost.
	leavingHeartbeats = 3
)

// stop stops the instance gracefully. First the instance reports that it isn't ready,
// removes itself from its look-up answers and from the store, and announces the stop
// in heartbeats, but still serves callers that use older look-up answers. Then it
// refuses new requests, and it ends when all open requests have ended or the grace
// period is nearly over.
func (e *Edge) stop() {
	start := time.Now()
	grace := duration(e.settings.Bounds.Grace)
	e.stopping.Store(true)
	e.update(conductor.StopRequested{})
	e.log.Info("stop: requested", zap.Int64("requests", e.openRequests.Load()))
	for range leavingHeartbeats {
		e.sendHeartbeat(conductor.SameRegion)
		e.sendHeartbeat(conductor.OtherRegions)
	}
	e.unregister()
	time.Sleep(time.Until(start.Add(time.Duration(drainFraction * float64(grace)))))
	e.refusing.Store(true)
	end := start.Add(time.Duration(stopFraction * float64(grace)))
	for e.openRequests.Load() > 0 && time.Now().Before(end) {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(stopPollInterval))
	defer cancel()
	for _, s := range e.servers {
		if err := s.close(ctx); err != nil {
			e.log.Info("stop: server did not close cleanly", zap.Error(err))
		}
	}
	e.log.Info("stop: finished", zap.Int64("requests", e.openRequests.Load()), zap.Duration("took", time.Since(start)))
}

// close closes the listener, and then the connections as soon as their requests have
// ended.
func (s server) close(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return err
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

// unregister removes this instance from the store.
func (e *Edge) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.store.Delete(ctx, platform.KindInstances, e.settings.Instance.ID)
	if err != nil && !errors.Is(err, follower.ErrNotFound) {
		e.log.Info("instance: removal from the store failed", zap.Error(err))
	}
}
