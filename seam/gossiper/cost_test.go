package gossiper_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"primroseseam.org/seam/rehearser"
)

// measureTime is the virtual time over which costs are measured.
const measureTime = time.Minute

// settleTime is the virtual time before the measurement, in which the updates from the
// start of the fleet reach all instances.
const settleTime = 2 * time.Minute

// BenchmarkControlCost measures what the membership protocol costs one instance in fleets
// of different sizes: bytes and messages sent and received per second, the CPU time of the
// model and its codec in percent of a core, and memory in KB.
func BenchmarkControlCost(b *testing.B) {
	shapes := []rehearser.Shape{
		{Regions: 3, Domains: 2, Instances: 10},
		{Regions: 4, Domains: 3, Instances: 40},
		{Regions: 8, Domains: 3, Instances: 160},
		{Regions: 8, Domains: 3, Instances: 440},
	}
	for _, shape := range shapes {
		shape.Services = 3
		shape.Encoded = true
		b.Run(fmt.Sprintf("members=%d", shape.Instances), func(b *testing.B) {
			for range b.N {
				measureCost(b, shape)
			}
		})
	}
}

func measureCost(b *testing.B, shape rehearser.Shape) {
	before := heapBytes()
	f := rehearser.NewFleet(1, shape)
	if _, ok := f.RunUntil(3*time.Minute, func() bool {
		return allInstances(f, func(id string) bool { return f.CountUsable(id) == shape.Instances })
	}); !ok {
		b.Fatal("not every instance has all others as members after 3 minutes")
	}
	f.World.Run(settleTime)
	size := float64(shape.Instances)
	bytes, messages := totals(f)
	started := time.Now()
	f.World.Run(measureTime)
	spent := time.Since(started)
	bytesAfter, messagesAfter := totals(f)
	seconds := measureTime.Seconds()
	b.ReportMetric(float64(bytesAfter-bytes)/size/seconds, "B/s/member")
	b.ReportMetric(float64(messagesAfter-messages)/size/seconds, "msg/s/member")
	b.ReportMetric(100*spent.Seconds()/size/seconds, "%core/member")
	b.ReportMetric((heapBytes()-before)/size/1024, "KB/member")
	runtime.KeepAlive(f)
}

func totals(f *rehearser.Fleet) (bytes, messages int) {
	for _, id := range f.IDs() {
		bytes += f.Node(id).Bytes()
		messages += f.Node(id).Messages()
	}
	return bytes, messages
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
