// Package rehearser simulates the membership protocol of a small fleet, package gossiper,
// on the virtual clock and network of package faker. Tests use it to measure how long
// instances and callers are affected by faults.
//
// Instances exchange heartbeats. Each instance builds its own view of the fleet from
// them: the members with their status, and the regions that it gets no heartbeats from.
//
// # Usage
//
//	f := rehearser.NewFleet(1, rehearser.Shape{Regions: 3, Domains: 2, Instances: 10})
//	f.World.Run(10 * time.Second)
//	f.Crash("r0-d0-i0")
//	f.World.Run(5 * time.Second)
//	fmt.Println(f.StatusSeenBy("r1-d0-i0", "r0-d0-i0"))
package rehearser

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseseam.org/seam/faker"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gossiper"
)

// tickInterval is the time between two Ticked messages to an instance's membership
// model.
const tickInterval = 100 * time.Millisecond

// Shape is the size of a fleet.
type Shape struct {
	Regions int
	// Domains is the number of failure domains in each region.
	Domains int
	// Instances is the number of instances in the whole fleet.
	Instances int
	// Services is the number of services in the load that each instance reports.
	Services int
	// Encoded means that every heartbeat is encoded as Protobuf and decoded again, so
	// that measurements include the time that this takes.
	Encoded bool
}

// Fleet is a set of simulated instances with their clock and network.
type Fleet struct {
	World   *faker.World
	Network *faker.Network

	nodes      map[string]*Node
	ids        []string
	seed       uint64
	encoded    bool
	startCount uint64
	lastToken  uint64
}

// Node is a simulated instance.
type Node struct {
	member gossiper.Member
	model  *gossiper.Model
	view   gossiper.View
	load   gossiper.Load
	up     bool

	// pendingAnswers holds a function for each received heartbeat that the model hasn't
	// answered. The function sends the answer. The key is the heartbeat's token.
	pendingAnswers map[uint64]func(gossiper.Heartbeat)
	superseded     bool
	bytes          int
	messages       int
}

// View returns the latest view that the membership model has published.
func (n *Node) View() gossiper.View { return n.view }

// Model returns the instance's membership model.
func (n *Node) Model() *gossiper.Model { return n.model }

// Superseded reports whether the membership model has found out that another process
// with the same id started later.
func (n *Node) Superseded() bool { return n.superseded }

// Bytes returns the total size of the heartbeats and answers that the instance sent and
// received.
func (n *Node) Bytes() int { return n.bytes }

// Messages returns the number of heartbeats and answers that the instance sent and
// received.
func (n *Node) Messages() int { return n.messages }

// NewFleet starts a fleet of instances with ids of the form
// r<region>-d<domain>-i<number>. The first instance starts alone, and all others join
// through it. Messages take 1 to 30 ms unless the options set another delay.
func NewFleet(seed uint64, shape Shape, opts ...faker.NetworkOption) *Fleet {
	w := faker.NewWorld(seed)
	opts = append([]faker.NetworkOption{faker.WithDelay(time.Millisecond, 30*time.Millisecond)}, opts...)
	f := &Fleet{World: w, Network: faker.NewNetwork(w, opts...), nodes: map[string]*Node{}, seed: seed, encoded: shape.Encoded}
	load := makeLoad(shape.Services)
	for i := range shape.Instances {
		r := i % shape.Regions
		d := i / shape.Regions % shape.Domains
		n := i / shape.Regions / shape.Domains
		f.addNode(fmt.Sprintf("r%d-d%d-i%d", r, d, n), fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-d%d", r, d), load)
	}
	for _, id := range f.ids {
		f.Start(id)
	}
	return f
}

// makeLoad returns the load that every instance reports, with three endpoints for each
// service.
func makeLoad(services int) gossiper.Load {
	load := gossiper.Load{ConfigVersion: 1}
	for i := range services {
		load.Services = append(load.Services, gossiper.ServiceLoad{
			Service: fmt.Sprintf("service-%d", i), InFlight: 5, Queued: 2, FreeSlots: 10,
		})
		for e := range 3 {
			load.Endpoints = append(load.Endpoints, gossiper.EndpointLoad{Endpoint: fmt.Sprintf("10.0.%d.%d:9000", i, e), InFlight: 2})
		}
	}
	return load
}

func (f *Fleet) addNode(id, region, domain string, load gossiper.Load) {
	address := "peer/" + id
	f.nodes[id] = &Node{load: load, member: gossiper.Member{
		ID: id, Region: region, FailureDomain: domain,
		PeerAddress: address, CallerAddress: "call/" + id, LookupAddress: "look/" + id,
	}}
	f.ids = append(f.ids, id)
}

// IDs returns the ids of the instances that are up.
func (f *Fleet) IDs() []string {
	return slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return !f.nodes[id].up })
}

// Node returns the instance with an id, or nil if there is none.
func (f *Fleet) Node(id string) *Node { return f.nodes[id] }

// InRegion returns the ids of a region's instances that are up.
func (f *Fleet) InRegion(region string) []string {
	return slices.DeleteFunc(f.IDs(), func(id string) bool { return f.nodes[id].member.Region != region })
}

// Start starts an instance, for the first time or after a crash. The instance has a new
// incarnation number and an empty view.
func (f *Fleet) Start(id string) {
	f.startCount++
	n := f.nodes[id]
	n.member.Incarnation = uint64(f.World.Now().UnixNano()) + f.startCount
	n.model = gossiper.New(n.member,
		gossiper.WithSeed(f.seed*1_000_003+f.startCount), gossiper.WithSeeds(f.seedAddresses(id)...))
	n.view = gossiper.View{}
	n.pendingAnswers = map[uint64]func(gossiper.Heartbeat){}
	n.up = true
	n.model.Update(f.World.Now(), gossiper.LoadMeasured{Load: n.load})
	f.tick(n)
}

// seedAddresses returns the address through which an instance joins the fleet: that of
// the first other instance that is up. If no other instance is up, it returns nil.
func (f *Fleet) seedAddresses(id string) []string {
	for _, other := range f.ids {
		if other != id && f.nodes[other].up {
			return []string{f.nodes[other].member.PeerAddress}
		}
	}
	return nil
}

// Crash kills an instance. The other instances get no message about it.
func (f *Fleet) Crash(id string) {
	f.World.Crash(id)
	f.nodes[id].up = false
}

// Leave makes an instance announce that it is leaving, and kills it after the linger
// time.
func (f *Fleet) Leave(id string, linger time.Duration) {
	f.update(f.nodes[id], gossiper.LeaveRequested{})
	f.World.After(id, linger, func() { f.Crash(id) })
}

// CutRegion cuts the network between a region and all other regions in both directions
// if on is true, and restores it if on is false.
func (f *Fleet) CutRegion(region string, on bool) {
	for _, a := range f.ids {
		for _, b := range f.ids {
			if f.nodes[a].member.Region == region && f.nodes[b].member.Region != region {
				f.Network.SetCut(a, b, on)
			}
		}
	}
}

// StatusSeenBy returns the status of the instance about in the view of the instance
// observer. It returns Dead if the instance isn't in the view.
func (f *Fleet) StatusSeenBy(observer, about string) gossiper.Status {
	for _, m := range f.nodes[observer].view.Members {
		if m.ID == about {
			return m.Status
		}
	}
	return gossiper.Dead
}

// CountUsable returns the number of instances to which the instance observer would send
// callers. These have a usable status in its view, in regions that it gets heartbeats
// from.
func (f *Fleet) CountUsable(observer string) int {
	count := 0
	for _, m := range f.nodes[observer].view.Members {
		if m.Usable() && !slices.Contains(f.nodes[observer].view.SilentRegions, m.Region) {
			count++
		}
	}
	return count
}

// Deaths returns how often instances have declared other instances dead, as a sum over
// all instances. A restart resets the count of an instance to 0.
func (f *Fleet) Deaths() int {
	total := 0
	for _, n := range f.nodes {
		total += n.model.Stats().Deaths
	}
	return total
}

// RunUntil advances the virtual time until the condition holds, and returns the virtual
// time that this took and true. If the condition doesn't hold within the limit, it
// returns the limit and false.
func (f *Fleet) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := f.World.Now()
	for f.World.Now().Sub(start) < limit {
		if condition() {
			return f.World.Now().Sub(start), true
		}
		f.World.Run(tickInterval)
	}
	return limit, condition()
}

func (f *Fleet) tick(n *Node) {
	f.update(n, gossiper.Ticked{})
	f.World.After(n.member.ID, tickInterval, func() { f.tick(n) })
}

// update passes a message to an instance's model and carries out the commands that the
// model returns.
func (f *Fleet) update(n *Node, msg gossiper.Msg) {
	for _, cmd := range n.model.Update(f.World.Now(), msg) {
		switch c := cmd.(type) {
		case gossiper.Call:
			f.call(n, c)
		case gossiper.Answer:
			if answer, ok := n.pendingAnswers[c.Token]; ok {
				delete(n.pendingAnswers, c.Token)
				answer(c.Heartbeat)
			}
		case gossiper.MembersChanged:
			n.view = c.View
		case gossiper.Superseded:
			n.superseded = true
		}
	}
}

// call sends a heartbeat from an instance. It passes the answer to the sender's model
// or, if no answer arrives before the timeout, a CallFailed message.
func (f *Fleet) call(n *Node, c gossiper.Call) {
	from, to := n.member.ID, c.Address[len("peer/"):]
	finished := false
	finish := func(msg gossiper.Msg) {
		if !finished {
			finished = true
			f.update(n, msg)
		}
	}
	f.World.After(from, c.Timeout, func() { finish(gossiper.CallFailed{ID: c.ID}) })
	n.countMessage(c.Heartbeat)
	sent := f.encodeAndDecode(c.Heartbeat)
	f.Network.Send(from, to, func() {
		callee := f.nodes[to]
		if !callee.up {
			return
		}
		f.lastToken++
		callee.countMessage(c.Heartbeat)
		callee.pendingAnswers[f.lastToken] = func(h gossiper.Heartbeat) {
			callee.countMessage(h)
			h = f.encodeAndDecode(h)
			f.Network.Send(to, from, func() {
				n.countMessage(h)
				finish(gossiper.AnswerArrived{ID: c.ID, Heartbeat: h})
			})
		}
		f.update(callee, gossiper.HeartbeatArrived{Token: f.lastToken, Heartbeat: sent})
	})
}

// encodeAndDecode encodes a heartbeat and returns the decoded copy, if the fleet was
// created with Shape.Encoded. Otherwise it returns the heartbeat unchanged.
func (f *Fleet) encodeAndDecode(h gossiper.Heartbeat) gossiper.Heartbeat {
	if !f.encoded {
		return h
	}
	data, err := proto.Marshal(h.Proto())
	if err != nil {
		panic(err)
	}
	var p peerv1.Heartbeat
	if err := proto.Unmarshal(data, &p); err != nil {
		panic(err)
	}
	return gossiper.FromProto(&p)
}

func (n *Node) countMessage(h gossiper.Heartbeat) {
	n.bytes += h.Size()
	n.messages++
}
