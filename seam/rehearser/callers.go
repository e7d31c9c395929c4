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

// Callers simulates client programs that send requests to the fleet. Each caller looks
// up a list of instances and caches the list for the time to live in the lookup result.
// For each request, it tries the instances in the order of the list.
type Callers struct {
	fleet   *Fleet
	callers []*caller
	// Requests is the number of requests that all callers have sent.
	Requests int
	// Retried is the number of requests whose first instance didn't respond.
	Retried int
	// Failed is the number of requests to which no listed instance responded.
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

// AddCallers starts perRegion callers in every region. Each caller sends its first
// request at a random time within callInterval.
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
// instance didn't respond, or 0 if there was no such request after the fault.
func (c *Callers) LastRetryAfter(fault time.Time) time.Duration {
	return max(0, c.lastRetried.Sub(fault))
}

// LastFailureAfter returns the time from a fault to the last failed request, or 0 if no
// request failed after the fault.
func (c *Callers) LastFailureAfter(fault time.Time) time.Duration {
	return max(0, c.lastFailed.Sub(fault))
}

// sendRequest sends one request of a caller and schedules the caller's next request. The
// request goes to the first listed instance that is up and not paused. If no listed
// instance is, the request fails, and the caller looks up a new list for its next
// request.
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

// lookUp replaces the list that a caller has cached. It asks a random instance of the
// cached list that is up and not paused or, if the list has no such instance, a random
// one of the whole fleet. If the fleet has none either, the caller keeps its list.
func (c *Callers) lookUp(client *caller) {
	f := c.fleet
	candidates := slices.DeleteFunc(f.IDs(), f.World.Paused)
	listedCandidates := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		return !slices.ContainsFunc(client.instances, func(i steerer.Instance) bool { return i.ID == id })
	})
	if len(listedCandidates) > 0 {
		candidates = listedCandidates
	}
	if len(candidates) == 0 {
		return
	}
	answer := f.lookupTable(candidates[f.World.Rand().IntN(len(candidates))]).Entries(client.region, client.name, f.World.Rand())
	client.instances = answer.Instances
	client.expires = f.World.Now().Add(answer.TTL)
}

// lookupTable returns the table from which an instance answers lookups. The instance
// sends callers of a region that it gets no heartbeats from to other regions.
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
