package allocator

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkControlCost measures what the ledgers cost in fleets of several sizes, with
// demand at every instance. Over ten seconds of virtual time, it reports the messages
// and bytes per instance and second, the store calls of the fleet per second, and the
// CPU time per instance as a percentage of one core.
func BenchmarkControlCost(b *testing.B) {
	for _, size := range []int{10, 40, 160, 440} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			regions := max(3, min(12, size/18))
			capacities := []Capacity{}
			for i := range 8 {
				rate := float64(size) * 10
				capacities = append(capacities, team(fmt.Sprintf("team-%d", i), rate, rate))
			}
			for range b.N {
				f := newFleet(1, size, regions, capacities)
				f.world.Run(10 * time.Second)
				for _, n := range f.nodes {
					n.drive(capacities)
				}
				f.countBytes = true
				messagesSent, writes, reads := f.messagesSent, f.store.Writes(), f.store.Reads()
				started := time.Now()
				f.world.Run(10 * time.Second)
				perDaemon := float64(size) * 10
				b.ReportMetric(float64(f.messagesSent-messagesSent)/perDaemon, "msgs/s/daemon")
				b.ReportMetric(float64(f.bytes)/perDaemon, "B/s/daemon")
				b.ReportMetric(float64(f.store.Writes()-writes)/10, "storeWrites/s")
				b.ReportMetric(float64(f.store.Reads()-reads)/10, "storeReads/s")
				b.ReportMetric(100*time.Since(started).Seconds()/perDaemon, "%core/daemon")
			}
		})
	}
}

// drive requests one token of every team at random times, on average ten times a
// second.
func (n *node) drive(capacities []Capacity) {
	n.fleet.world.After(n.name, time.Duration(n.fleet.world.Rand().Int64N(int64(200*time.Millisecond))), func() {
		for _, c := range capacities {
			n.request(c.Resource, 1)
		}
		n.drive(capacities)
	})
}
