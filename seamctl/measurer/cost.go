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
	// Idle is how long the traffic of the idle fleet is measured before the first
	// change.
	Idle time.Duration
}

// CostReport is the result of Cost. It holds two kinds of traffic: the bytes that the
// instances exchange with each other and the calls that they make to the store. For an
// idle fleet it gives the traffic per second, for configuration changes the additional
// traffic per change.
type CostReport struct {
	Instances int `json:"instances"`
	// PeerBytesPerSecond is the number of bytes that an instance of the idle fleet
	// sends to and receives from its peers in a second, as a mean over all instances.
	// Each byte counts twice: for its sender and for its receiver.
	PeerBytesPerSecond float64 `json:"peerBytesPerSecond"`
	// MaxPeerBytesPerSecond is the number of bytes that pass in a second, in both
	// directions, over the connections that peers opened to one instance of the idle
	// fleet. It is the largest of these numbers over all instances. Connections that
	// the instance itself opened are left out.
	MaxPeerBytesPerSecond float64 `json:"maxPeerBytesPerSecond"`
	// StoreCallsPerSecond is the number of calls to the store that all instances of
	// the idle fleet together make in a second.
	StoreCallsPerSecond float64 `json:"storeCallsPerSecond"`
	// PeerBytesPerChange is the number of bytes that all instances together send to
	// their peers for one configuration change, as a mean over all changes and in
	// addition to the traffic of the idle fleet. Each byte counts once.
	PeerBytesPerChange float64 `json:"peerBytesPerChange"`
	// StoreCallsPerChange is the number of calls to the store that all instances
	// and the measurement itself make for one configuration change, as a mean over
	// all changes and in addition to the traffic of the idle fleet.
	StoreCallsPerChange float64 `json:"storeCallsPerChange"`
	// Slowest is the time from the proposal of a change until it was in force at all
	// instances. It is the longest of these times over all changes.
	Slowest time.Duration `json:"slowestNanoseconds"`
}

// settleTime is the delay between the start of the fleet and the measurement. During it,
// the instances open their connections, and some of them become watchers.
const settleTime = 5 * time.Second

// Cost starts a fleet and measures its traffic, first while the fleet is idle and then
// while configuration changes are made one after the other. It returns the traffic of the
// idle fleet and the additional traffic of each change.
func Cost(ctx context.Context, plan CostPlan) (CostReport, error) {
	f, err := startFleet(ctx, plan.Instances, 0)
	if err != nil {
		return CostReport{}, err
	}
	defer f.stop()
	time.Sleep(settleTime)
	before, startedAt := f.usage(), time.Now()
	time.Sleep(plan.Idle)
	idle, seconds := f.usage().minus(before), time.Since(startedAt).Seconds()

	before, startedAt = f.usage(), time.Now()
	var slowest time.Duration
	for i := range plan.Changes {
		took, err := f.measureChange(ctx, f.daemons, int64(i+1))
		if err != nil {
			return CostReport{}, err
		}
		slowest = max(slowest, took)
	}
	busy, elapsed := f.usage().minus(before), time.Since(startedAt).Seconds()
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

// usage is the traffic of the fleet between its start and some moment, or the traffic
// between two moments. Each byte between two instances passes exactly one peer proxy: the
// proxy of the instance to which the connection was opened.
type usage struct {
	// bytes is the number of bytes that all peer proxies forwarded.
	bytes float64
	// instanceBytes holds the number of bytes that the peer proxy of each instance
	// forwarded, in the order of fleet.daemons. It is nil for the traffic between two
	// moments.
	instanceBytes []float64
	// maxInstanceBytes is the number of bytes of the peer proxy that forwarded most.
	// It is set only for the traffic between two moments.
	maxInstanceBytes float64
	// storeCalls is the number of calls to the store.
	storeCalls float64
}

// usage returns the traffic between the start of the fleet and now.
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

// minus returns the traffic between the moment of before and the moment of u. Both must
// come from fleet.usage.
func (u usage) minus(before usage) usage {
	d := usage{bytes: u.bytes - before.bytes, storeCalls: u.storeCalls - before.storeCalls}
	for i := range u.instanceBytes {
		d.maxInstanceBytes = max(d.maxInstanceBytes, u.instanceBytes[i]-before.instanceBytes[i])
	}
	return d
}
