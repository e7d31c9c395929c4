package edger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seamedge/exchanger"
)

const (
	// probeInterval is the time between two checks for connections to probe.
	probeInterval = 500 * time.Millisecond
	// probeTimeout limits the time for the response to a probe. An endpoint that is busy answers
	// late; requests then open connections of their own.
	probeTimeout = 2 * time.Second
	// maxProbes limits the probes in progress.
	maxProbes = 16
)

// runProbes keeps connections to far endpoints open until ctx ends: a new one would cost a
// request a round trip more, which may make its answer late.
func (e *Edge) runProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	turns := make(chan struct{}, maxProbes)
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, t := range e.probeTargets() {
			select {
			case turns <- struct{}{}:
			default:
				// The others are still due at the next check.
				continue
			}
			probes.Go(func() {
				e.probe(ctx, t)
				<-turns
			})
		}
	}
}

// probeTargets returns the endpoints that are to be probed now.
func (e *Edge) probeTargets() []placer.ProbeTarget {
	due := e.exchanger.DueProbes()
	if len(due) == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.ProbeTargets(time.Now(), due)
}

// probe sends a probe to an endpoint on an idle connection.
func (e *Edge) probe(ctx context.Context, t placer.ProbeTarget) {
	e.metrics.probes.Inc()
	err := e.exchanger.KeepAlive(ctx, exchanger.Probe{
		Address: t.Address, URI: t.Path, IDHeader: platform.HeaderInstance, ID: t.ID, Deadline: time.Now().Add(probeTimeout),
	})
	if err != nil {
		e.metrics.probesFailed.Inc()
		e.log.Debug("endpoint: connection closed after a probe", zap.String("endpoint", t.ID), zap.Error(err))
	}
}
