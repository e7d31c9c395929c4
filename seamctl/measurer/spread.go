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

// SpreadPlan configures a measurement with Spread.
type SpreadPlan struct {
	Instances int
	// Changes is the number of configuration changes.
	Changes int
	// SilenceWatchers makes one watcher of every region unreachable for its peers
	// before the first change. Watchers are the instances that watch the store for
	// changes and pass them on to the others.
	SilenceWatchers bool
	// Pause is the delay after each change.
	Pause time.Duration
	// History is the number of changes that the store keeps for watches; 0 means
	// the store's default. If it is small, watches fall behind and have to start
	// again with a complete list.
	History int
}

// SpreadReport is the result of Spread. Times are from the proposal of a change until the
// last instance runs it.
type SpreadReport struct {
	Changes int           `json:"changes"`
	P50     time.Duration `json:"p50Nanoseconds"`
	P99     time.Duration `json:"p99Nanoseconds"`
	Max     time.Duration `json:"maxNanoseconds"`
	// Reverted counts how often an instance went back to an older version.
	Reverted int `json:"reverted"`
	// Calls counts the store calls during all changes.
	Calls storekeeper.Calls `json:"calls"`
	// Duration is the time of all changes together, with the pauses.
	Duration time.Duration `json:"durationNanoseconds"`
}

// Spread applies configuration changes one after the other and measures how long each
// takes to be in force at all instances.
func Spread(ctx context.Context, plan SpreadPlan) (SpreadReport, error) {
	var storeOptions []storekeeper.Option
	if plan.History > 0 {
		storeOptions = append(storeOptions, storekeeper.WithHistory(plan.History))
	}
	f, err := startFleet(ctx, plan.Instances, 0, storeOptions...)
	if err != nil {
		return SpreadReport{}, err
	}
	defer f.stop()
	measured := f.daemons
	if plan.SilenceWatchers {
		if measured, err = f.silenceWatchers(ctx); err != nil {
			return SpreadReport{}, err
		}
	}
	detector := detectReverts(measured)
	before, started := f.storeServer.Calls(), time.Now()
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, measured, int64(i+1))
		if err != nil {
			return SpreadReport{}, err
		}
		_ = latencies.RecordValue(int64(took))
		time.Sleep(plan.Pause)
	}
	after := f.storeServer.Calls()
	return SpreadReport{
		Changes: plan.Changes, Reverted: detector.stop(), Duration: time.Since(started),
		P50: time.Duration(latencies.ValueAtQuantile(50)), P99: time.Duration(latencies.ValueAtQuantile(99)), Max: time.Duration(latencies.Max()),
		Calls: storekeeper.Calls{
			Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches,
		},
	}, nil
}

// silenceWatchers silences the peer proxy of one watcher in each region, and returns the
// daemons of the other instances. The silenced watchers can't be called any more, but
// can still call the store and their peers.
func (f *fleet) silenceWatchers(ctx context.Context) ([]*daemon.Daemon, error) {
	// Wait until the fleet has two watchers for each region, counted over all
	// regions, so that one remains in a region when the other is silenced.
	enough := func(applier.InstanceStatus) bool { return f.watcherCount() >= domainsPerRegion*len(regions) }
	if err := f.await(ctx, f.daemons[:1], enough); err != nil {
		return nil, fmt.Errorf("wait for watchers: %w", err)
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
		f.peerProxies[i].silence()
	}
	return rest, nil
}

// watcherCount returns the number of instances that are watchers now.
func (f *fleet) watcherCount() int {
	count := 0
	for _, d := range f.daemons {
		if d.Status("").Watcher {
			count++
		}
	}
	return count
}

// measureChange changes the team's weight and returns the time until the daemons run the
// change. base is the sequence number of the current configuration.
func (f *fleet) measureChange(ctx context.Context, daemons []*daemon.Daemon, base int64) (time.Duration, error) {
	f.config.Defaults.Teams = append([]configurer.Team(nil), f.config.Defaults.Teams...)
	f.config.Defaults.Teams[0].Weight = int(base%100) + 1
	started := time.Now()
	accepted, err := f.apply(ctx, base)
	if err != nil {
		return 0, err
	}
	err = f.await(ctx, daemons, func(s applier.InstanceStatus) bool { return s.ConfigVersion >= accepted.Version })
	return time.Since(started), err
}

// revertDetector polls instances to find out whether one goes back to an older version of
// the configuration.
type revertDetector struct {
	done    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	count   int
}

// detectReverts starts a detector for the daemons.
func detectReverts(daemons []*daemon.Daemon) *revertDetector {
	w := &revertDetector{done: make(chan struct{})}
	w.running.Go(func() {
		newest := make([]int64, len(daemons))
		for {
			for i, d := range daemons {
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
			case <-time.After(pollInterval):
			}
		}
	})
	return w
}

// stop stops the polling and returns how often an instance went back to an older version.
func (w *revertDetector) stop() int {
	close(w.done)
	w.running.Wait()
	return w.count
}
