package measurer

import (
	"context"
	"time"

	"primroseseam.org/standin/storekeeper"
)

// CostPlan configures a measurement with Cost.
type CostPlan struct {
	Instances int
	// Changes is the number of configuration changes.
	Changes int
	// Idle is how long the idle fleet is measured before the first change.
	Idle time.Duration
}

// CostReport is the traffic between the instances and with the store, for an idle fleet
// and for each configuration change.
type CostReport struct {
	Instances int `json:"instances"`
	// PeerBytesPerSecond is the mean number of bytes that an idle instance exchanges
	// with its peers, in both directions. Each byte counts for its sender and for its
	// receiver.
	PeerBytesPerSecond float64 `json:"peerBytesPerSecond"`
	// MaxPeerBytesPerSecond is the largest number of bytes that pass, in both
	// directions, over the connections that peers opened to one idle instance. Those
	// that the instance itself opened are left out.
	MaxPeerBytesPerSecond float64 `json:"maxPeerBytesPerSecond"`
	// StoreCallsPerSecond is the number of store calls of all idle instances.
	StoreCallsPerSecond float64 `json:"storeCallsPerSecond"`
	// PeerBytesPerChange and StoreCallsPerChange are for all instances together, in
	// addition to the traffic of an idle fleet.
	PeerBytesPerChange  float64 `json:"peerBytesPerChange"`
	StoreCallsPerChange float64 `json:"storeCallsPerChange"`
	// Slowest is the longest time until a change was in force at all instances.
	Slowest time.Duration `json:"slowestNanoseconds"`
}

// settleTime is the delay before the measurement, in which the instances open their
// connections and take their roles, such as that of a watcher.
const settleTime = 5 * time.Second

// Cost measures the traffic of an idle fleet and the additional traffic of changes.
func Cost(ctx context.Context, plan CostPlan) (CostReport, error) {
	f, err := startFleet(ctx, plan.Instances, 0)
	if err != nil {
		return CostReport{}, err
	}
	defer f.stop()
	time.Sleep(settleTime)
	before, started := f.usage(), time.Now()
	time.Sleep(plan.Idle)
	idle, seconds := f.usage().minus(before), time.Since(started).Seconds()

	before, started = f.usage(), time.Now()
	var slowest time.Duration
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, f.daemons, int64(i+1))
		if err != nil {
			return CostReport{}, err
		}
		slowest = max(slowest, took)
	}
	busy, elapsed := f.usage().minus(before), time.Since(started).Seconds()
	n := float64(plan.Changes)
	return CostReport{
		Instances:             plan.Instances,
		PeerBytesPerSecond:    2 * idle.bytes / seconds / float64(plan.Instances),
		MaxPeerBytesPerSecond: idle.maxInstanceBytes / seconds,
		StoreCallsPerSecond:   idle.storeCalls / seconds,
		PeerBytesPerChange:    (busy.bytes - idle.bytes/seconds*elapsed) / n,
		StoreCallsPerChange:   (busy.storeCalls - idle.storeCalls/seconds*elapsed) / n,
		Slowest:               slowest,
	}, nil
}

// usage is the traffic since the start of the fleet, or the difference of two such
// values. Each byte between two instances passes one proxy, that of the instance to which
// the connection was opened.
type usage struct {
	// bytes is the number of bytes between instances.
	bytes float64
	// instanceBytes holds the bytes by instance, at its proxy. Differences don't set
	// it.
	instanceBytes []float64
	// maxInstanceBytes is the largest of the instances' bytes. Only differences set
	// it.
	maxInstanceBytes float64
	storeCalls       float64
}

// usage returns the traffic since the start of the fleet.
func (f *fleet) usage() usage {
	var u usage
	for _, peerProxy := range f.peerProxies {
		n := float64(peerProxy.bytes.Load())
		u.bytes += n
		u.instanceBytes = append(u.instanceBytes, n)
	}
	u.storeCalls = totalCalls(f.storeServer.Calls())
	return u
}

func totalCalls(c storekeeper.Calls) float64 { return float64(c.Reads + c.Writes + c.Watches) }

// minus returns the traffic since an earlier time.
func (u usage) minus(before usage) usage {
	d := usage{bytes: u.bytes - before.bytes, storeCalls: u.storeCalls - before.storeCalls}
	for i := range u.instanceBytes {
		d.maxInstanceBytes = max(d.maxInstanceBytes, u.instanceBytes[i]-before.instanceBytes[i])
	}
	return d
}
