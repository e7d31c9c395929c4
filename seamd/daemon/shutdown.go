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

// intakePoll is the time between two looks at requests that are arriving.
const intakePoll = 5 * time.Millisecond

// shutDown ends the instance without cutting a request:
//
//  1. Look-ups and heartbeats say that it leaves. For the linger it goes on
//     serving callers whose look-up answer is older, and asks each of them to
//     close its connection.
//  2. New requests are refused as not run. Those whose body is still arriving
//     are taken, and open ones go on.
//  3. The sockets close when the last open request has its answer.
//  4. The seats of fleet-wide limits have been passed on, or that takes longer
//     than the linger.
func (d *Daemon) shutDown(servers []*server) error {
	started := d.clock.Now()
	d.leaving.Store(true)
	close(d.stopping)
	d.membership.leave()
	d.loop.send(decider.LeaveRequested{})
	d.log.Info("daemon: leaving", zap.Duration("linger", time.Duration(d.settings.Shutdown.Linger)))
	select {
	case <-d.clock.After(time.Duration(d.settings.Shutdown.Linger)):
	case <-d.killed:
		d.membership.end()
		cutAll(servers)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Shutdown.Timeout))
	defer cancel()
	d.intake.close()
	d.awaitIntake(ctx)
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
	d.awaitRelease(ctx)
	d.log.Info("daemon: drained", zap.Duration("took", d.clock.Since(started)), zap.Int("cut", len(errs)))
	return errors.Join(errs...)
}

// awaitRelease waits until others can take over this instance's seats. A store
// that is down makes that impossible, so the wait is bounded by the linger.
func (d *Daemon) awaitRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Shutdown.Linger))
	defer cancel()
	for ctx.Err() == nil && d.loop.seats.Load() > 0 {
		d.sleep(ctx, tickEvery)
	}
}

// awaitIntake waits until no request is between its headers and the loop.
func (d *Daemon) awaitIntake(ctx context.Context) {
	for ctx.Err() == nil && d.intake.entering() > 0 {
		d.sleep(ctx, intakePoll)
	}
}

// intake counts requests whose body is still arriving, and can be closed.
type intake struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// enter counts a request, or reports false once the intake is closed.
func (i *intake) enter() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.count++
	}
	return !i.closed
}

func (i *intake) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count--
}

func (i *intake) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

func (i *intake) entering() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.count
}

// cutAll closes every socket at once.
func cutAll(servers []*server) {
	for _, s := range servers {
		_ = s.http.Close()
	}
}
