package picker

// Policy is a way to choose endpoints. No other package can add one:
// [RoundRobin], [LeastReported], [LeastDiscounted] and [SingleOwner].
type Policy interface{ isPolicy() }

// RoundRobin chooses the endpoints in turn, whatever their load.
type RoundRobin struct{}

// LeastReported chooses the less loaded of two random endpoints by the load that they
// reported last.
type LeastReported struct{}

// LeastDiscounted chooses the less loaded of two random endpoints. The load is the
// number of this instance's requests in flight, plus the other requests that endpoints
// or peers report; the older a report, the less it counts.
type LeastDiscounted struct{}

// SingleOwner assigns all slots of a service in a region to one instance, the owner, to
// which the others pass their requests. The owner chooses the less loaded of two random
// endpoints by its own exact count of requests in flight, plus the other requests that
// endpoints or peers report.
type SingleOwner struct{}

func (RoundRobin) isPolicy()      {}
func (LeastReported) isPolicy()   {}
func (LeastDiscounted) isPolicy() {}
func (SingleOwner) isPolicy()     {}
