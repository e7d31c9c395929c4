// Package rehearser runs the membership of a small fleet on the fakes of
// package faker, for tests and measurements of failures.
//
// # Usage
//
//	f := rehearser.NewFleet(1, rehearser.Shape{Regions: 3, Domains: 2, Instances: 10})
//	f.World.Run(10 * time.Second)
//	f.Crash("r0-d0-i0")
//	f.World.Run(5 * time.Second)
//	fmt.Println(f.Believes("r1-d0-i0", "r0-d0-i0"))
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

// tickEvery is the time between two ticks of an instance.
const tickEvery = 100 * time.Millisecond

// Shape is the size of a fleet.
type Shape struct {
	Regions int
	// Domains is the number of failure domains in each region.
	Domains   int
	Instances int
	// Services is the number of services in each instance's load.
	Services int
	// Encoded sends heartbeats through their codec, for measurements.
	Encoded bool
}

// Fleet is a set of instances in a virtual world.
type Fleet struct {
	World   *faker.World
	Network *faker.Network

	nodes   map[string]*Node
	ids     []string
	seed    uint64
	encoded bool
	starts  uint64
	token   uint64
}

// Node is one instance.
type Node struct {
	member gossiper.Member
	model  *gossiper.Model
	view   gossiper.View
	load   gossiper.Load
	up     bool

	answers    map[uint64]func(gossiper.Heartbeat)
	superseded bool
	bytes      int
	messages   int
}

// View returns the instance's newest list of members.
func (n *Node) View() gossiper.View { return n.view }

// Model returns the instance's membership.
func (n *Node) Model() *gossiper.Model { return n.model }

// Superseded reports whether the instance learned of a successor.
func (n *Node) Superseded() bool { return n.superseded }

// Bytes returns the bytes that the instance sent and received.
func (n *Node) Bytes() int { return n.bytes }

// Messages returns the messages that the instance sent and received.
func (n *Node) Messages() int { return n.messages }

// NewFleet starts a fleet. Every instance has one seed, the first one.
func NewFleet(seed uint64, shape Shape, opts ...faker.NetworkOption) *Fleet {
	w := faker.NewWorld(seed)
	opts = append([]faker.NetworkOption{faker.WithDelay(time.Millisecond, 30*time.Millisecond)}, opts...)
	f := &Fleet{World: w, Network: faker.NewNetwork(w, opts...), nodes: map[string]*Node{}, seed: seed, encoded: shape.Encoded}
	load := loadOf(shape.Services)
	for i := range shape.Instances {
		r := i % shape.Regions
		d := i / shape.Regions % shape.Domains
		n := i / shape.Regions / shape.Domains
		f.add(fmt.Sprintf("r%d-d%d-i%d", r, d, n), fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-d%d", r, d), load)
	}
	for _, id := range f.ids {
		f.Start(id)
	}
	return f
}

func loadOf(services int) gossiper.Load {
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

func (f *Fleet) add(id, region, domain string, load gossiper.Load) {
	address := "peer/" + id
	f.nodes[id] = &Node{load: load, member: gossiper.Member{
		ID: id, Region: region, FailureDomain: domain,
		PeerAddress: address, CallerAddress: "call/" + id, LookupAddress: "look/" + id,
	}}
	f.ids = append(f.ids, id)
}

// IDs returns the names of the instances that run.
func (f *Fleet) IDs() []string {
	return slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return !f.nodes[id].up })
}

// Node returns an instance.
func (f *Fleet) Node(id string) *Node { return f.nodes[id] }

// InRegion returns the names of a region's instances.
func (f *Fleet) InRegion(region string) []string {
	return slices.DeleteFunc(f.IDs(), func(id string) bool { return f.nodes[id].member.Region != region })
}

// Start starts an instance, or starts it again after a crash.
func (f *Fleet) Start(id string) {
	f.starts++
	n := f.nodes[id]
	n.member.Incarnation = uint64(f.World.Now().UnixNano()) + f.starts
	n.model = gossiper.New(n.member,
		gossiper.WithSeed(f.seed*1_000_003+f.starts), gossiper.WithSeeds(f.seedsOf(id)...))
	n.view = gossiper.View{}
	n.answers = map[uint64]func(gossiper.Heartbeat){}
	n.up = true
	n.model.Update(f.World.Now(), gossiper.LoadMeasured{Load: n.load})
	f.tick(n)
}

// seedsOf names the first instance that is up, or the second for the first.
func (f *Fleet) seedsOf(id string) []string {
	for _, other := range f.ids {
		if other != id && f.nodes[other].up {
			return []string{f.nodes[other].member.PeerAddress}
		}
	}
	return nil
}

// Crash ends an instance without a word.
func (f *Fleet) Crash(id string) {
	f.World.Crash(id)
	f.nodes[id].up = false
}

// Leave ends an instance after its goodbye.
func (f *Fleet) Leave(id string, linger time.Duration) {
	f.update(f.nodes[id], gossiper.LeaveRequested{})
	f.World.After(id, linger, func() { f.Crash(id) })
}

// CutRegion cuts or mends all ways between a region and the rest.
func (f *Fleet) CutRegion(region string, on bool) {
	for _, a := range f.ids {
		for _, b := range f.ids {
			if f.nodes[a].member.Region == region && f.nodes[b].member.Region != region {
				f.Network.SetCut(a, b, on)
			}
		}
	}
}

// StatusSeenBy returns what one instance holds of another.
func (f *Fleet) StatusSeenBy(observer, about string) gossiper.Status {
	for _, m := range f.nodes[observer].view.Members {
		if m.ID == about {
			return m.Status
		}
	}
	return gossiper.Dead
}

// CountUsable counts the instances that an instance would send callers to.
func (f *Fleet) CountUsable(observer string) int {
	count := 0
	for _, m := range f.nodes[observer].view.Members {
		if m.Usable() && !slices.Contains(f.nodes[observer].view.SilentRegions, m.Region) {
			count++
		}
	}
	return count
}

// Deaths counts how often an instance declared another one dead.
func (f *Fleet) Deaths() int {
	total := 0
	for _, n := range f.nodes {
		total += n.model.Stats().Deaths
	}
	return total
}

// RunUntil runs the world until a condition holds, and returns how long that took.
func (f *Fleet) RunUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	start := f.World.Now()
	for f.World.Now().Sub(start) < limit {
		if holds() {
			return f.World.Now().Sub(start), true
		}
		f.World.Run(tickEvery)
	}
	return limit, holds()
}

func (f *Fleet) tick(n *Node) {
	f.update(n, gossiper.Ticked{})
	f.World.After(n.member.ID, tickEvery, func() { f.tick(n) })
}

func (f *Fleet) update(n *Node, msg gossiper.Msg) {
	for _, cmd := range n.model.Update(f.World.Now(), msg) {
		switch c := cmd.(type) {
		case gossiper.Call:
			f.call(n, c)
		case gossiper.Answer:
			if answer, ok := n.answers[c.Token]; ok {
				delete(n.answers, c.Token)
				answer(c.Heartbeat)
			}
		case gossiper.MembersChanged:
			n.view = c.View
		case gossiper.Superseded:
			n.superseded = true
		}
	}
}

// call sends a heartbeat and brings its answer or its failure.
func (f *Fleet) call(n *Node, c gossiper.Call) {
	from, to := n.member.ID, c.Address[len("peer/"):]
	ended := false
	end := func(msg gossiper.Msg) {
		if !ended {
			ended = true
			f.update(n, msg)
		}
	}
	f.World.After(from, c.Timeout, func() { end(gossiper.CallFailed{ID: c.ID}) })
	n.count(c.Heartbeat)
	sent := f.encode(c.Heartbeat)
	f.Network.Send(from, to, func() {
		callee := f.nodes[to]
		if !callee.up {
			return
		}
		f.token++
		callee.count(c.Heartbeat)
		callee.answers[f.token] = func(h gossiper.Heartbeat) {
			callee.count(h)
			h = f.encode(h)
			f.Network.Send(to, from, func() {
				n.count(h)
				end(gossiper.AnswerArrived{ID: c.ID, Heartbeat: h})
			})
		}
		f.update(callee, gossiper.HeartbeatArrived{Token: f.token, Heartbeat: sent})
	})
}

// encode sends a heartbeat through its codec if the fleet measures that too.
func (f *Fleet) encode(h gossiper.Heartbeat) gossiper.Heartbeat {
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

func (n *Node) count(h gossiper.Heartbeat) {
	n.bytes += h.Size()
	n.messages++
}
