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
	// SilenceWatchers makes one watcher in every region unreachable for its peers
	// before the first change. Watchers are the instances that watch the store for
	// changes and pass them on to their peers.
	SilenceWatchers bool
	// Pause is the delay between the moment when a change is in force at all measured
	// instances and the next change.
	Pause time.Duration
	// History is the number of latest changes that the store keeps to send them to
	// watches; 0 means the store's default. If it is small, the store may have
	// dropped changes that a watch still needs. The watch then has to start again by
	// reading all objects.
	History int
}

// SpreadReport is the result of Spread. P50, P99 and Max are the median, the 99th percentile
// and the maximum of the time from the proposal of a change until the change is in force at
// all measured instances.
type SpreadReport struct {
	Changes int           `json:"changes"`
	P50     time.Duration `json:"p50Nanoseconds"`
	P99     time.Duration `json:"p99Nanoseconds"`
	Max     time.Duration `json:"maxNanoseconds"`
	// Reverted counts how often a measured instance went back to an older version of
	// the configuration.
	Reverted int `json:"reverted"`
	// Calls counts the calls to the store from the first change to the last.
	Calls storekeeper.Calls `json:"calls"`
	// Duration is the time from before the first change until after the pause that
	// follows the last change.
	Duration time.Duration `json:"durationNanoseconds"`
}

// Spread starts a fleet and makes configuration changes one after the other. It measures how
// long it takes until each change is in force at all measured instances. These are all
// instances, except for the watchers that SilenceWatchers makes unreachable.
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
	measuredDaemons := f.daemons
	if plan.SilenceWatchers {
		if measuredDaemons, err = f.silenceWatchers(ctx); err != nil {
			return SpreadReport{}, err
		}
	}
	detector := detectReverts(measuredDaemons)
	before, startedAt := f.storeServer.Calls(), time.Now()
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, measuredDaemons, int64(i+1))
		if err != nil {
			return SpreadReport{}, err
		}
		_ = latencies.RecordValue(int64(took))
		time.Sleep(plan.Pause)
	}
	after := f.storeServer.Calls()
	return SpreadReport{
		Changes: plan.Changes, Reverted: detector.stop(), Duration: time.Since(startedAt),
		P50: time.Duration(latencies.ValueAtQuantile(50)), P99: time.Duration(latencies.ValueAtQuantile(99)), Max: time.Duration(latencies.Max()),
		Calls: storekeeper.Calls{
			Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches,
		},
	}, nil
}

// silenceWatchers silences the peer proxy of one watcher in each region. Peers can then no
// longer call this watcher, but it can still call its peers and the store. silenceWatchers
// returns the daemons of all instances whose peer proxy was not silenced.
func (f *fleet) silenceWatchers(ctx context.Context) ([]*daemon.Daemon, error) {
	// Wait until the number of watchers in the whole fleet is twice the number of
	// regions, so that a region keeps one watcher when another one is silenced. The
	// wait doesn't check that each region has two.
	enoughWatchers := func(applier.InstanceStatus) bool { return f.watcherCount() >= domainsPerRegion*len(regions) }
	if err := f.await(ctx, f.daemons[:1], enoughWatchers); err != nil {
		return nil, fmt.Errorf("wait for watchers: %w", err)
	}
	silencedRegions := map[string]bool{}
	var rest []*daemon.Daemon
	for i, d := range f.daemons {
		s := d.Status("")
		if !s.Watcher || silencedRegions[s.Region] {
			rest = append(rest, d)
			continue
		}
		silencedRegions[s.Region] = true
		f.peerProxies[i].silence()
	}
	return rest, nil
}

// watcherCount returns the number of instances of the fleet that are watchers now.
func (f *fleet) watcherCount() int {
	count := 0
	for _, d := range f.daemons {
		if d.Status("").Watcher {
			count++
		}
	}
	return count
}

// measureChange writes a configuration to the store in which the weight of the team differs,
// and waits until it is in force at all of the given daemons. It returns the time from the
// proposal of the change until then. Daemons that are not given may apply the change later.
// base is the sequence number of the current configuration in the store.
func (f *fleet) measureChange(ctx context.Context, daemons []*daemon.Daemon, base int64) (time.Duration, error) {
	f.config.Defaults.Teams = append([]configurer.Team(nil), f.config.Defaults.Teams...)
	f.config.Defaults.Teams[0].Weight = int(base%100) + 1
	startedAt := time.Now()
	acceptedChange, err := f.apply(ctx, base)
	if err != nil {
		return 0, err
	}
	err = f.await(ctx, daemons, func(s applier.InstanceStatus) bool { return s.ConfigVersion >= acceptedChange.Version })
	return time.Since(startedAt), err
}

// revertDetector polls the configuration versions of instances, and counts how often a
// version is older than the previous one of the same instance.
type revertDetector struct {
	// done is closed to end the polling.
	done    chan struct{}
	polling sync.WaitGroup
	// mu guards count while the polling runs.
	mu    sync.Mutex
	count int
}

// detectReverts starts to poll the daemons every pollInterval and returns the detector. Its
// method stop must be called once.
func detectReverts(daemons []*daemon.Daemon) *revertDetector {
	w := &revertDetector{done: make(chan struct{})}
	w.polling.Go(func() {
		previousVersions := make([]int64, len(daemons))
		for {
			for i, d := range daemons {
				version := d.Status("").ConfigVersion
				if version < previousVersions[i] {
					w.mu.Lock()
					w.count++
					w.mu.Unlock()
				}
				previousVersions[i] = version
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

// stop ends the polling and returns how often an instance went back to an older version of
// the configuration.
func (w *revertDetector) stop() int {
	close(w.done)
	w.polling.Wait()
	return w.count
}
