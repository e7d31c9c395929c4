package measurer

import (
	"context"
	"time"

	"primroseseam.org/standin/storekeeper"
)

// CostPlan says what is measured.
type CostPlan struct {
	Instances int
	Changes   int
	// Idle is how long the fleet is watched without changes.
	Idle time.Duration
}

// CostReport is what spreading costs, at rest and for each change.
type CostReport struct {
	Instances int `json:"instances"`
	// PeerBytesPerSecond is sent and received between instances at rest, for
	// each instance on average and for the busiest one.
	PeerBytesPerSecond    float64 `json:"peerBytesPerSecond"`
	MaxPeerBytesPerSecond float64 `json:"maxPeerBytesPerSecond"`
	StoreCallsPerSecond   float64 `json:"storeCallsPerSecond"`
	// PeerBytesPerChange is for all instances together, beyond those at rest.
	PeerBytesPerChange  float64 `json:"peerBytesPerChange"`
	StoreCallsPerChange float64 `json:"storeCallsPerChange"`
	// Slowest is the slowest change until it was in force everywhere.
	Slowest time.Duration `json:"slowestNanoseconds"`
}

// settleTime lets connections and roles settle before the measurement.
const settleTime = 5 * time.Second

// Cost measures the traffic of an idle fleet and what changes add to it.
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
	var worst time.Duration
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, f.daemons, int64(i+1))
		if err != nil {
			return CostReport{}, err
		}
		worst = max(worst, took)
	}
	busy, elapsed := f.usage().minus(before), time.Since(started).Seconds()
	n := float64(plan.Changes)
	return CostReport{
		Instances:             plan.Instances,
		PeerBytesPerSecond:    2 * idle.bytes / seconds / float64(plan.Instances),
		MaxPeerBytesPerSecond: idle.busiest / seconds,
		StoreCallsPerSecond:   idle.calls / seconds,
		PeerBytesPerChange:    (busy.bytes - idle.bytes/seconds*elapsed) / n,
		StoreCallsPerChange:   (busy.calls - idle.calls/seconds*elapsed) / n,
		Slowest:               worst,
	}, nil
}

// usage counts what was moved since the start. Each byte between two instances
// passes one gate, that of the instance that is called.
type usage struct {
	bytes   float64
	served  []float64
	busiest float64
	calls   float64
}

func (f *fleet) usage() usage {
	var u usage
	for _, g := range f.gates {
		n := float64(g.bytes.Load())
		u.bytes += n
		u.served = append(u.served, n)
	}
	u.calls = total(f.keeper.Calls())
	return u
}

func total(c storekeeper.Calls) float64 { return float64(c.Reads + c.Writes + c.Watches) }

func (u usage) minus(before usage) usage {
	d := usage{bytes: u.bytes - before.bytes, calls: u.calls - before.calls}
	for i := range u.served {
		d.busiest = max(d.busiest, u.served[i]-before.served[i])
	}
	return d
}
