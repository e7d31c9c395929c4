package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/decider"
)

// arrivalPollInterval is how often a shutdown checks whether requests are still arriving.
const arrivalPollInterval = 5 * time.Millisecond

// shutDown stops the instance without aborting open requests, in four steps:
//
//  1. For the linger time, the instance still accepts requests from callers that use a
//     cached lookup answer, and signals them to close their connections. New lookup
//     answers no longer list the instance, and health checks and heartbeats report that
//     it is leaving.
//  2. New requests are refused as not run. Requests whose body is still arriving, and
//     requests in progress, are completed.
//  3. Each listener and its connections are closed when their last open request has its
//     answer. Before the listener for peers is closed, the records of named requests are
//     handed over to another instance.
//  4. shutDown waits until other instances can take over this instance's seats (shares
//     of the fleet-wide limits), but no longer than the linger time.
//
// Steps 2 to 4 together may take no longer than the shutdown timeout of the settings.
// Requests that are still open then are aborted, and shutDown returns an error.
func (d *Daemon) shutDown(servers []*server) error {
	started := d.clock.Now()
	d.leaving.Store(true)
	close(d.shutdownStarted)
	d.membership.leave()
	d.loop.send(decider.LeaveRequested{})
	d.log.Info("daemon: leaving", zap.Duration("linger", time.Duration(d.settings.Shutdown.Linger)))
	select {
	case <-d.clock.After(time.Duration(d.settings.Shutdown.Linger)):
	case <-d.killRequested:
		d.membership.halt()
		closeAll(servers)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Shutdown.Timeout))
	defer cancel()
	d.arrivals.close()
	d.awaitArrivals(ctx)
	d.loop.send(decider.StopRequested{})
	var errs []error
	for _, s := range servers {
		if s.name == "peers" {
			d.handOver(ctx)
		}
		if err := s.http.Shutdown(ctx); err != nil {
			errs = append(errs, fmt.Errorf("shut down %s: %w", s.name, err))
		}
	}
	d.awaitSeatRelease(ctx)
	d.log.Info("daemon: drained", zap.Duration("took", d.clock.Since(started)), zap.Int("cut", len(errs)))
	return errors.Join(errs...)
}

// awaitSeatRelease waits until this instance has released its seats of the fleet-wide
// limits, so that other instances can take them over. Seats can't be released while the
// store is down, so the wait ends after the linger time at the latest.
func (d *Daemon) awaitSeatRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Shutdown.Linger))
	defer cancel()
	for ctx.Err() == nil && d.loop.seats.Load() > 0 {
		d.sleep(ctx, tickInterval)
	}
}

// awaitArrivals waits until all arriving requests have been sent to the loop, or ctx
// ends.
func (d *Daemon) awaitArrivals(ctx context.Context) {
	for ctx.Err() == nil && d.arrivals.inProgress() > 0 {
		d.sleep(ctx, arrivalPollInterval)
	}
}

// arrivals counts the requests that the daemon has accepted but not yet sent to the loop,
// mostly because their bodies are still arriving. After close, it accepts no new ones.
type arrivals struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// begin counts a request and returns true. After close, it counts nothing and returns
// false.
func (i *arrivals) begin() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.count++
	}
	return !i.closed
}

// end removes a request from the count.
func (i *arrivals) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
}

// close makes begin refuse all further requests.
func (i *arrivals) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// inProgress returns the number of counted requests.
func (i *arrivals) inProgress() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.count
}

// closeAll closes all listeners and connections at once.
func closeAll(servers []*server) {
	for _, s := range servers {
		_ = s.http.Close()
	}
}
