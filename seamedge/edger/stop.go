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
	grace := duration(e.settings.Bounds.Grace)
	end := start.Add(time.Duration(stopFraction * float64(grace)))
	e.stopping.Store(true)
	e.update(conductor.StopRequested{End: end.Add(-answerTime)})
	e.log.Info("stop: requested", zap.Int64("requests", e.openRequests.Load()))
	for range leavingHeartbeats {
		e.sendHeartbeat(conductor.SameRegion)
		e.sendHeartbeat(conductor.OtherRegions)
	}
	e.unregister()
	time.Sleep(time.Until(start.Add(time.Duration(drainFraction * float64(grace)))))
	e.refusingRequests.Store(true)
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
