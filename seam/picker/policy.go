package picker

// Policy is a way to choose endpoints. The policies are [RoundRobin], [LeastReported],
// [LeastDiscounted] and [SingleOwner]; other packages can't define more.
type Policy interface{ isPolicy() }

// RoundRobin chooses the endpoints in turn, whatever their load.
type RoundRobin struct{}

// LeastReported chooses the less loaded of two random endpoints. The load is the number
// of requests in flight that the endpoint itself reported last.
type LeastReported struct{}

// LeastDiscounted chooses the less loaded of two random endpoints. The load is the
// number of this instance's requests in flight, plus the number of other instances'
// requests that the endpoint or the peers report. The older a report is, the less it adds
// to the load.
type LeastDiscounted struct{}

// SingleOwner assigns all slots of a service in a region to one instance, the slot owner.
// Package decider makes the other instances of the region pass their requests to it. The
// slot owner chooses the less loaded of two random endpoints. The load is its own exact
// count of requests in flight, plus the number of other instances' requests that the
// endpoint or the peers report.
type SingleOwner struct{}

func (RoundRobin) isPolicy()      {}
func (LeastReported) isPolicy()   {}
func (LeastDiscounted) isPolicy() {}
func (SingleOwner) isPolicy()     {}
