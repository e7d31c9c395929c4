package picker

// Policy names a way to choose endpoints. The set of policies is closed:
// [RoundRobin], [LeastReported], [LeastDiscounted] and [Keeper].
type Policy interface{ isPolicy() }

// RoundRobin takes the endpoints in turn, whatever their load.
type RoundRobin struct{}

// LeastReported takes the less loaded of two random endpoints by the load that
// they reported last.
type LeastReported struct{}

// LeastDiscounted takes the less loaded of two random endpoints by the
// requests in flight from this instance, plus what reports and peers show
// besides, which counts for less as it grows old.
type LeastDiscounted struct{}

// SingleOwner lets one instance of a region keep all slots of a service there; the
// others pass their requests to it. The keeper takes the less loaded of two
// random endpoints by its own exact count.
type SingleOwner struct{}

func (RoundRobin) isPolicy()      {}
func (LeastReported) isPolicy()   {}
func (LeastDiscounted) isPolicy() {}
func (SingleOwner) isPolicy()     {}
