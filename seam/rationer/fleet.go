package rationer

//go:generate stringer -type=Basis

// Fleet is what an instance knows of the instances that share a rate. The numbers include this
// instance.
type Fleet struct {
	// KnownInstances is the number of instances that may be running.
	KnownInstances int
	// LiveInstances is the number of instances that aren't leaving and from which this
	// instance recently received a heartbeat.
	LiveInstances int
	// NewInstances is the number of the live instances that don't count for a majority yet, since
	// others may not know of them.
	NewInstances int
	// Divided means that there are live instances which this one receives no heartbeats from.
	Divided bool
	// StoreLost means that the store has answered none of the live instances for a while.
	StoreLost bool
	// OthersAbsent means that all known instances that aren't live have shown no sign of life for
	// a while, in the store either. If they are running, they have lost the store.
	OthersAbsent bool
}

// HasMajority reports whether more than half of the known instances are live, and this instance
// receives heartbeats from all of them. Otherwise two parts of the fleet that are cut off from
// each other, but not from a third part, could both count as a majority.
func (f Fleet) HasMajority() bool {
	return !f.Divided && 2*(f.LiveInstances-f.NewInstances) > f.KnownInstances-f.NewInstances
}

// Basis is why an instance may use a part of a rate, and which part.
type Basis int

const (
	// OwnShare means that instances which may be running can't be reached. This instance uses
	// its static share.
	OwnShare Basis = iota
	// OwnShareWithoutStore means that the store can't be reached either. The others may then
	// take this instance for gone, so it uses a smaller share.
	OwnShareWithoutStore
	// Survivors means that the live instances are no majority, but the only ones with signs of
	// life. They use what a majority that has lost the store leaves.
	Survivors
	// MajorityWithoutStore means that the live instances are a majority that has lost the store.
	// They leave a part to others that may have it, and that they may not know of.
	MajorityWithoutStore
	// Majority means that the live instances are a majority. They use the whole rate.
	Majority
)

// Basis returns the basis of this instance's part of each rate.
func (f Fleet) Basis() Basis {
	switch {
	case f.HasMajority() && f.StoreLost:
		return MajorityWithoutStore
	case f.HasMajority():
		return Majority
	case f.StoreLost:
		return OwnShareWithoutStore
	case f.OthersAbsent && !f.Divided:
		return Survivors
	}
	return OwnShare
}

// IsShared reports whether the live instances use a part of the rate together, divided by demand,
// rather than each its own share.
func (b Basis) IsShared() bool { return b >= Survivors }

// The parts of a rate and of a burst that the live instances use together. In any window, those of
// a majority without the store and of survivors add up to at most a tenth more than the rate and
// the burst allow: survivorsBurstPart of the rate is used only as far as the burst covers it.
const (
	withoutStoreRate   = 0.9
	withoutStoreBurst  = 0.3
	survivorsRate      = 0.2
	survivorsBurstPart = 0.1
	survivorsBurst     = 0.2
)

// Together returns the rate and the burst that the live instances use together on this basis, if it
// is shared. Otherwise it returns them as they are.
func (b Basis) Together(rate, burst float64) (groupRate, groupBurst float64) {
	switch b {
	case MajorityWithoutStore:
		return withoutStoreRate * rate, withoutStoreBurst * burst
	case Survivors:
		return survivorsRate*rate + survivorsBurstPart*min(rate, burst), survivorsBurst * burst
	}
	return rate, burst
}

const (
	// staticShare is the fraction of a rate that is divided evenly among the known
	// instances. The rest is divided by demand; instances in a partitioned minority don't
	// get any of it.
	staticShare = 0.3
	// isolatedShare is staticShare for an instance that has lost the store too.
	isolatedShare = 0.1
)

// Share returns the fraction of a fleet-wide rate that this instance may use by itself,
// given its own demand and that of the other live instances, both per second.
func Share(fleet Fleet, ownDemand, othersDemand float64) float64 {
	knownCount := float64(max(fleet.KnownInstances, 1))
	if fleet.Basis() == OwnShareWithoutStore {
		return isolatedShare / knownCount
	}
	share := staticShare / knownCount
	if !fleet.HasMajority() {
		return share
	}
	liveCount := float64(max(fleet.LiveInstances, 1))
	// A tenth of the rest is divided evenly, so that an instance without demand has
	// tokens for its first requests.
	const evenShare = 0.1
	demandShare := 1 / liveCount
	if ownDemand+othersDemand > 0 {
		demandShare = evenShare/liveCount + (1-evenShare)*ownDemand/(ownDemand+othersDemand)
	}
	return share + (1-staticShare)*demandShare
}
