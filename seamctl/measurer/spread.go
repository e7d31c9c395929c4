package measurer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/standin/storekeeper"
)

// SpreadPlan says what is measured.
type SpreadPlan struct {
	Instances int
	Changes   int
	// SilenceWatchers makes one watcher of every region fall silent first.
	SilenceWatchers bool
	// Pause is the wait between two changes.
	Pause time.Duration
	// History is the number of changes that the store keeps for watches; 0
	// means many. With few of them watches have to start again by lists.
	History int
}

// SpreadReport is what was measured, from the proposal of a change to the
// moment when the last instance ran it.
type SpreadReport struct {
	Changes  int           `json:"changes"`
	P50      time.Duration `json:"p50Nanoseconds"`
	P99      time.Duration `json:"p99Nanoseconds"`
	Max      time.Duration `json:"maxNanoseconds"`
	Reverted int           `json:"reverted"`
	// Calls is what the store was asked in all.
	Calls    storekeeper.Calls `json:"calls"`
	Duration time.Duration     `json:"durationNanoseconds"`
}

// Spread applies changes one after the other and measures each.
func Spread(ctx context.Context, plan SpreadPlan) (SpreadReport, error) {
	var keeper []storekeeper.Option
	if plan.History > 0 {
		keeper = append(keeper, storekeeper.WithHistory(plan.History))
	}
	f, err := startFleet(ctx, plan.Instances, 0, keeper...)
	if err != nil {
		return SpreadReport{}, err
	}
	defer f.stop()
	list := f.daemons
	if plan.SilenceWatchers {
		if list, err = f.silenceWatchers(ctx); err != nil {
			return SpreadReport{}, err
		}
	}
	reverts := watchReverts(list)
	before, started := f.keeper.Calls(), time.Now()
	times := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, list, int64(i+1))
		if err != nil {
			return SpreadReport{}, err
		}
		_ = times.RecordValue(int64(took))
		time.Sleep(plan.Pause)
	}
	after := f.keeper.Calls()
	return SpreadReport{
		Changes: plan.Changes, Reverted: reverts.stop(), Duration: time.Since(started),
		P50: time.Duration(times.ValueAtQuantile(50)), P99: time.Duration(times.ValueAtQuantile(99)), Max: time.Duration(times.Max()),
		Calls: storekeeper.Calls{
			Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches,
		},
	}, nil
}

// silenceWatchers cuts one watcher of each region off, and returns the rest.
func (f *fleet) silenceWatchers(ctx context.Context) ([]*daemon.Daemon, error) {
	// Every instance follows a watcher before some of them fall silent.
	enough := func(applier.InstanceStatus) bool { return f.watchers() >= domainsPer*len(regions) }
	if err := f.await(ctx, f.daemons[:1], enough); err != nil {
		return nil, fmt.Errorf("too few watchers: %w", err)
	}
	silenced := map[string]bool{}
	var rest []*daemon.Daemon
	for i, d := range f.daemons {
		s := d.Status("")
		if !s.Watcher || silenced[s.Region] {
			rest = append(rest, d)
			continue
		}
		silenced[s.Region] = true
		f.gates[i].silence()
	}
	return rest, nil
}

func (f *fleet) watchers() int {
	count := 0
	for _, d := range f.daemons {
		if d.Status("").Watcher {
			count++
		}
	}
	return count
}

// measureChange applies a change and waits for it at every instance.
func (f *fleet) measureChange(ctx context.Context, list []*daemon.Daemon, base int64) (time.Duration, error) {
	f.wanted.Defaults.Teams = append([]configurer.Team(nil), f.wanted.Defaults.Teams...)
	f.wanted.Defaults.Teams[0].Weight = int(base%100) + 1
	started := time.Now()
	accepted, err := f.apply(ctx, base)
	if err != nil {
		return 0, err
	}
	err = f.await(ctx, list, func(s applier.InstanceStatus) bool { return s.ConfigVersion >= accepted.Version })
	return time.Since(started), err
}

// revertWatch looks all the time for an instance that goes back.
type revertWatch struct {
	done    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	count   int
}

func watchReverts(list []*daemon.Daemon) *revertWatch {
	w := &revertWatch{done: make(chan struct{})}
	w.running.Go(func() {
		newest := make([]int64, len(list))
		for {
			for i, d := range list {
				version := d.Status("").ConfigVersion
				if version < newest[i] {
					w.mu.Lock()
					w.count++
					w.mu.Unlock()
				}
				newest[i] = version
			}
			select {
			case <-w.done:
				return
			case <-time.After(statusPoll):
			}
		}
	})
	return w
}

// stop ends the watch and returns how often an instance went back.
func (w *revertWatch) stop() int {
	close(w.done)
	w.running.Wait()
	return w.count
}
