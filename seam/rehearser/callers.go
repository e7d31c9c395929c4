package rehearser

import (
	"slices"
	"strconv"
	"time"

	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/steerer"
)

// callEvery is the time between two requests of a caller.
const callEvery = 500 * time.Millisecond

// Callers use the fleet as programs do: they look up, cache the answer for its
// time to live and try the listed instances in order.
type Callers struct {
	fleet   *Fleet
	callers []*caller
	// Requests counts all requests.
	Requests int
	// Retried counts requests whose first instance did not answer.
	Retried int
	// Failed counts requests that no listed instance answered.
	Failed      int
	lastRetried time.Time
	lastFailed  time.Time
}

// caller is one program with its cached answer.
type caller struct {
	name    string
	region  string
	list    []steerer.Instance
	expires time.Time
}

// AddCallers starts callers in every region.
func (f *Fleet) AddCallers(perRegion int) *Callers {
	c := &Callers{fleet: f}
	regions := map[string]bool{}
	for _, id := range f.ids {
		region := f.nodes[id].member.Region
		if regions[region] {
			continue
		}
		regions[region] = true
		for i := range perRegion {
			one := &caller{name: region + strconv.Itoa(i), region: region}
			c.callers = append(c.callers, one)
			f.World.After("", time.Duration(f.World.Rand().Int64N(int64(callEvery))), func() { c.call(one) })
		}
	}
	return c
}

// Reset starts counting anew.
func (c *Callers) Reset() {
	c.Requests, c.Retried, c.Failed = 0, 0, 0
	c.lastRetried, c.lastFailed = time.Time{}, time.Time{}
}

// RetriedFor returns the time from a fault to the last request whose first
// instance did not answer.
func (c *Callers) RetriedFor(fault time.Time) time.Duration { return max(0, c.lastRetried.Sub(fault)) }

// FailedFor returns the time from a fault to the last failed request.
func (c *Callers) FailedFor(fault time.Time) time.Duration { return max(0, c.lastFailed.Sub(fault)) }

// call sends one request. An instance that is down costs a try.
func (c *Callers) call(one *caller) {
	f := c.fleet
	now := f.World.Now()
	f.World.After("", callEvery, func() { c.call(one) })
	if !now.Before(one.expires) {
		c.lookUp(one)
	}
	c.Requests++
	for i, instance := range one.list {
		if f.nodes[instance.ID].up && !f.World.Paused(instance.ID) {
			return
		}
		if i == 0 {
			c.Retried++
			c.lastRetried = now
		}
	}
	c.Failed++
	c.lastFailed = now
	one.expires = now
}

// lookUp asks a random instance that it knows or, failing that, any that is up.
func (c *Callers) lookUp(one *caller) {
	f := c.fleet
	up := slices.DeleteFunc(f.IDs(), f.World.Paused)
	known := slices.DeleteFunc(slices.Clone(up), func(id string) bool {
		return !slices.ContainsFunc(one.list, func(i steerer.Instance) bool { return i.ID == id })
	})
	if len(known) > 0 {
		up = known
	}
	if len(up) == 0 {
		return
	}
	answer := f.table(up[f.World.Rand().IntN(len(up))]).Entries(one.region, one.name, f.World.Rand())
	one.list = answer.Instances
	one.expires = f.World.Now().Add(answer.TTL)
}

// table is the look-up table that an instance serves.
func (f *Fleet) table(id string) *steerer.Table {
	n := f.nodes[id]
	var instances []steerer.Instance
	for _, m := range n.view.Members {
		if m.Usable() {
			instances = append(instances, steerer.Instance{ID: m.ID, Region: m.Region, Address: m.CallerAddress})
		}
	}
	shares := steerer.Shares{}
	loads := regionLoads(n.model.RegionSums(f.World.Now()))
	for _, region := range n.view.SilentRegions {
		shares = shares.With(region, steerer.Failover(region, loads))
	}
	return steerer.NewTable(instances, nil).WithShares(shares, n.view.SilentRegions)
}

func regionLoads(sums []gossiper.RegionSum) []steerer.RegionLoad {
	var loads []steerer.RegionLoad
	for _, s := range sums {
		load := steerer.RegionLoad{Region: s.Region, Reachable: true}
		for _, service := range s.Services {
			load.Capacity += float64(service.InFlight + service.FreeSlots)
			load.Load += float64(service.InFlight + service.Queued)
		}
		loads = append(loads, load)
	}
	return loads
}
