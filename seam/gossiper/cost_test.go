package gossiper_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"primroseseam.org/seam/rehearser"
)

// costTime is the virtual time over which costs are taken.
const costTime = time.Minute

// settleTime lets the news of the whole fleet's start die down.
const settleTime = 2 * time.Minute

// BenchmarkControlCost shows what membership costs each instance by the size of
// the fleet: bytes sent and received, messages, processor time of the model and
// its codec, memory.
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
				measure(b, shape)
			}
		})
	}
}

func measure(b *testing.B, shape rehearser.Shape) {
	before := heap()
	f := rehearser.NewFleet(1, shape)
	if _, ok := f.Until(3*time.Minute, func() bool {
		return everybody(f, func(id string) bool { return f.Usable(id) == shape.Instances })
	}); !ok {
		b.Fatal("the fleet did not come together")
	}
	f.World.Run(settleTime)
	size := float64(shape.Instances)
	bytes, messages := totals(f)
	started := time.Now()
	f.World.Run(costTime)
	spent := time.Since(started)
	bytesAfter, messagesAfter := totals(f)
	seconds := costTime.Seconds()
	b.ReportMetric(float64(bytesAfter-bytes)/size/seconds, "B/s/member")
	b.ReportMetric(float64(messagesAfter-messages)/size/seconds, "msg/s/member")
	b.ReportMetric(100*spent.Seconds()/size/seconds, "%core/member")
	b.ReportMetric((heap()-before)/size/1024, "KB/member")
	runtime.KeepAlive(f)
}

func totals(f *rehearser.Fleet) (bytes, messages int) {
	for _, id := range f.IDs() {
		bytes += f.Node(id).Bytes()
		messages += f.Node(id).Messages()
	}
	return bytes, messages
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
