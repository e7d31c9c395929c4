package rehearser

import (
	"slices"
	"strconv"
	"time"

	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/steerer"
)

// callInterval is the time between two requests of a caller.
const callInterval = 500 * time.Millisecond

// Callers simulates programs that send requests to the fleet. Each one looks up a list
// of instances, caches it for its time to live and tries the instances in order.
type Callers struct {
	fleet   *Fleet
	callers []*caller
	// Requests is the number of requests.
	Requests int
	// Retried is the number of requests whose first instance didn't respond.
	Retried int
	// Failed is the number of requests that no listed instance responded to.
	Failed      int
	lastRetried time.Time
	lastFailed  time.Time
}

// caller is one program and the list of instances that it has cached.
type caller struct {
	name      string
	region    string
	instances []steerer.Instance
	expires   time.Time
}

// AddCallers starts a number of callers in every region. The first requests are spread
// at random over one interval.
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
			client := &caller{name: region + strconv.Itoa(i), region: region}
			c.callers = append(c.callers, client)
			f.World.After("", time.Duration(f.World.Rand().Int64N(int64(callInterval))), func() { c.sendRequest(client) })
		}
	}
	return c
}

// Reset sets all counts to 0.
func (c *Callers) Reset() {
	c.Requests, c.Retried, c.Failed = 0, 0, 0
	c.lastRetried, c.lastFailed = time.Time{}, time.Time{}
}

// LastRetryAfter returns the time from a fault to the last request whose first
// instance didn't respond, or 0 if there was none since.
func (c *Callers) LastRetryAfter(fault time.Time) time.Duration {
	return max(0, c.lastRetried.Sub(fault))
}

// LastFailureAfter returns the time from a fault to the last failed request, or 0 if
// there was none since.
func (c *Callers) LastFailureAfter(fault time.Time) time.Duration {
	return max(0, c.lastFailed.Sub(fault))
}

// sendRequest sends one request and schedules the next one. The request goes to the
// first listed instance that is up and not paused. If there is none, the request fails
// and the caller looks up a new list for the next one.
func (c *Callers) sendRequest(client *caller) {
	f := c.fleet
	now := f.World.Now()
	f.World.After("", callInterval, func() { c.sendRequest(client) })
	if !now.Before(client.expires) {
		c.lookUp(client)
	}
	c.Requests++
	for i, instance := range client.instances {
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
	client.expires = now
}

// lookUp asks a random instance of the cached list or, if none of those is up, a random
// one of the fleet. If no instance is up, the old list stays.
func (c *Callers) lookUp(client *caller) {
	f := c.fleet
	candidates := slices.DeleteFunc(f.IDs(), f.World.Paused)
	known := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		return !slices.ContainsFunc(client.instances, func(i steerer.Instance) bool { return i.ID == id })
	})
	if len(known) > 0 {
		candidates = known
	}
	if len(candidates) == 0 {
		return
	}
	answer := f.lookupTable(candidates[f.World.Rand().IntN(len(candidates))]).Entries(client.region, client.name, f.World.Rand())
	client.instances = answer.Instances
	client.expires = f.World.Now().Add(answer.TTL)
}

// lookupTable returns the table from which an instance answers lookups. It moves the
// callers of regions that the instance doesn't hear from to other regions.
func (f *Fleet) lookupTable(id string) *steerer.Table {
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
