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
	// lingerPart is the part of the grace for which a stopping instance still
	// takes requests: callers use a look-up answer for some time.
	lingerPart = 0.5
	// endPart is the part of the grace after which what is left is given up.
	endPart = 0.94
	// endCheck is how often a stopping instance looks whether it has finished.
	endCheck = 50 * time.Millisecond
	// goodbyes is the number of heartbeats that tell of the stop.
	goodbyes = 3
)

// stop stops the instance: first it leaves look-ups and says that it isn't
// ready, then it serves callers who follow older look-ups, then it refuses, and
// it ends when the last answer is given.
func (e *Edge) stop() {
	start := time.Now()
	grace := duration(e.settings.Bounds.Grace)
	e.stopping.Store(true)
	e.update(conductor.StopRequested{})
	e.log.Info("stop: requested", zap.Int64("requests", e.serving.Load()))
	for range goodbyes {
		e.sendBeat(conductor.SameRegion)
		e.sendBeat(conductor.OtherRegions)
	}
	e.unregister()
	time.Sleep(time.Until(start.Add(time.Duration(lingerPart * float64(grace)))))
	e.closing.Store(true)
	end := start.Add(time.Duration(endPart * float64(grace)))
	for e.serving.Load() > 0 && time.Now().Before(end) {
		time.Sleep(endCheck)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(endCheck))
	defer cancel()
	for _, s := range e.servers {
		if err := s.close(ctx); err != nil {
			e.log.Info("stop: connections were still busy", zap.Error(err))
		}
	}
	e.log.Info("stop: ends", zap.Int64("requests", e.serving.Load()), zap.Duration("took", time.Since(start)))
}

// close closes the listener, and then the connections when they have their
// answers.
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

// unregister takes this instance out of the store.
func (e *Edge) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := e.store.Delete(ctx, platform.KindInstances, e.settings.Instance.ID)
	if err != nil && !errors.Is(err, follower.ErrNotFound) {
		e.log.Info("instance: still in the store", zap.Error(err))
	}
}
