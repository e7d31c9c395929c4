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
// requests according to the endpoint or according to the peers, whichever is higher. The
// older a report is, the less it adds to the load.
type LeastDiscounted struct{}

// SingleOwner assigns all slots of a service in a region to one instance, the slot owner.
// Package decider makes the other instances of the region pass their requests to it. The
// slot owner chooses the less loaded of two random endpoints. The load is the number of
// the slot owner's requests in flight, plus the number of other instances' requests
// according to the endpoint or according to the peers, whichever is higher.
type SingleOwner struct{}

func (RoundRobin) isPolicy()      {}
func (LeastReported) isPolicy()   {}
func (LeastDiscounted) isPolicy() {}
func (SingleOwner) isPolicy()     {}
