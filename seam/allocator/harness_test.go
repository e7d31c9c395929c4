package allocator

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/storer"
)

// rosterName is the name of the roster's object in the store, which has the same kind
// as the seats.
const rosterName = "roster"

// fleet runs one ledger for each instance, with a simulated clock, network and store.
type fleet struct {
	world          *faker.World
	network        *faker.Network
	store          *faker.Store
	domains        []Domain
	nodes          []*node
	plan           *Plan
	injectedFaults injectedFaults
	checks         map[Resource]*windowCheck
	messagesSent   int
	bytes          int
	countBytes     bool
}

// node is one simulated instance. Its clock is ahead of the world's clock by offset.
type node struct {
	fleet  *fleet
	name   string
	domain Domain
	offset time.Duration
	ledger *Ledger
	dead   bool
}

// windowCheck checks a limit over all time windows. The excess of a window is the
// number of tokens granted in the window minus the rate times the window's length. The
// limit is exceeded if the excess of some window is above the burst. The greatest
// excess of all windows that end now is enough for an exact result: it falls at the
// rate, never below zero, and rises by each granted amount.
type windowCheck struct {
	capacity Capacity
	// level is the greatest excess of all windows that end at lastAdded.
	level float64
	// worst is the greatest excess of all windows so far.
	worst     float64
	lastAdded time.Time
	granted   float64
}

func (c *windowCheck) add(now time.Time, amount float64) {
	elapsed := math.Max(0, now.Sub(c.lastAdded).Seconds())
	c.level = math.Max(0, c.level-c.capacity.Rate*elapsed) + amount
	c.lastAdded = now
	c.worst = math.Max(c.worst, c.level)
	c.granted += amount
}

func (c *windowCheck) broken() bool { return c.worst > c.capacity.Burst+1e-3 }

// newFleet returns a fleet whose instances are started and spread over the given number
// of regions with two failure domains each.
func newFleet(seed uint64, instances, regions int, capacities []Capacity, opts ...faker.NetworkOption) *fleet {
	return newFaultyFleet(seed, instances, regions, capacities, injectedFaults{}, opts...)
}

// newFaultyFleet is like newFleet, but injects the faults p into every ledger.
func newFaultyFleet(
	seed uint64, instances, regions int, capacities []Capacity, p injectedFaults, opts ...faker.NetworkOption,
) *fleet {
	f := &fleet{world: faker.NewWorld(seed), checks: map[Resource]*windowCheck{}, injectedFaults: p}
	f.network = faker.NewNetwork(f.world, opts...)
	f.store = faker.NewStore(f.world, f.network, 2*time.Second)
	for r := range regions {
		for _, d := range []string{"a", "b"} {
			f.domains = append(f.domains, Domain{Name: fmt.Sprintf("r%d-%s", r, d), Region: fmt.Sprintf("r%d", r)})
		}
	}
	f.plan = NewPlan(1, f.domains, capacities)
	for _, c := range capacities {
		f.checks[c.Resource] = &windowCheck{capacity: c, lastAdded: f.world.Now()}
	}
	for i := range instances {
		d := f.domains[(i%regions)*2+(i/regions)%2]
		n := &node{fleet: f, name: fmt.Sprintf("i%d", i), domain: d, offset: time.Duration(f.world.Rand().Int64N(int64(time.Hour)))}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *fleet) members() []Member {
	var members []Member
	for _, n := range f.nodes {
		if !n.dead {
			members = append(members, Member{Instance: n.name, Region: n.domain.Region, FailureDomain: n.domain.Name})
		}
	}
	return members
}

// start starts a new incarnation of an instance with an empty ledger.
func (n *node) start() {
	n.dead = false
	p := Peer{Instance: n.name, Incarnation: n.fleet.world.Incarnation(n.name) + 1}
	n.ledger = New(WithSelf(p, n.domain.Region, n.domain.Name), WithSeed(p.Incarnation))
	n.ledger.injectedFaults = n.fleet.injectedFaults
	n.feed(PlanChanged{Plan: n.fleet.plan})
	n.tick()
}

func (n *node) now() time.Time { return n.fleet.world.Now().Add(n.offset) }

func (n *node) tick() {
	n.ledger.Update(n.now(), MembersChanged{Members: n.fleet.members()})
	n.feed(Ticked{})
	n.fleet.world.After(n.name, 50*time.Millisecond, n.tick)
}

func (n *node) feed(msg Msg) { n.carryOut(n.ledger.Update(n.now(), msg)) }

// send sends a message to an instance. The incarnation that runs when the message
// arrives receives it; if the instance is dead then, the message is dropped.
func (n *node) send(to string, msg Msg) {
	f := n.fleet
	f.messagesSent++
	if f.countBytes {
		f.bytes += wireSize(msg)
	}
	f.network.Send(n.name, to, func() {
		i := slices.IndexFunc(f.nodes, func(o *node) bool { return o.name == to })
		if !f.nodes[i].dead {
			f.nodes[i].feed(msg)
		}
	})
}

// wireSize estimates the size of a message sent with connect-go: a fixed part for
// the headers and 60 bytes for each item.
func wireSize(msg Msg) int {
	const headers, item = 250, 60
	switch m := msg.(type) {
	case LoanRequested:
		return headers + item*len(m.Items)
	case LoanAnswered:
		return headers + item*len(m.Grants)
	}
	return headers
}

func (n *node) carryOut(cmds []Cmd) {
	for _, cmd := range cmds {
		switch c := cmd.(type) {
		case RequestLoan:
			n.send(c.To, c.Request)
		case AnswerLoan:
			n.send(c.To.Instance, c.Answer)
		case RequestAcknowledgement:
			n.send(c.To, c.Request)
		case AnswerAcknowledgement:
			n.send(c.To.Instance, c.Answer)
		case RequestVouch:
			n.send(c.To, c.Request)
		case AnswerVouch:
			n.send(c.To.Instance, c.Answer)
		case ListSeats:
			n.fleet.store.List(n.name, storer.KindSeat, func(e storer.Events, err error) { n.listed(c.Sequence, e, err) })
		case WriteSeat:
			n.put(c.Seat.Name, c.Seat.Version, c.Seat.Record, func(r WriteResult, v int64) {
				n.feed(SeatWritten{Sequence: c.Sequence, Seat: c.Seat.Name, Result: r, Version: v})
			})
		case WriteRoster:
			n.put(rosterName, c.Version, c.Roster, func(r WriteResult, v int64) {
				n.feed(RosterWritten{Sequence: c.Sequence, Result: r, Version: v})
			})
		}
	}
}

func (n *node) listed(sequence uint64, e storer.Events, err error) {
	msg := SeatsListed{Sequence: sequence, Failed: err != nil}
	for _, o := range e.Objects {
		if o.Name == rosterName {
			msg.RosterVersion = o.Version
			_ = json.Unmarshal(o.Value, &msg.Roster)
			continue
		}
		s := Seat{Name: o.Name, Version: o.Version}
		_ = json.Unmarshal(o.Value, &s.Record)
		msg.Seats = append(msg.Seats, s)
	}
	n.feed(msg)
}

func (n *node) put(name string, version int64, value any, done func(WriteResult, int64)) {
	data, _ := json.Marshal(value)
	o := storer.Object{Kind: storer.KindSeat, Name: name, Version: version, Value: data}
	n.fleet.store.Put(n.name, o, func(written storer.Object, err error) {
		switch coder.CodeOf(err) {
		case coder.OK:
			done(WriteApplied, written.Version)
		case coder.StoreConflict:
			done(WriteConflicted, 0)
		default:
			done(WriteUnknown, 0)
		}
	})
}

// request spends tokens and reports whether there were enough. The tokens spent are
// added to the resource's check.
func (n *node) request(r Resource, amount float64) bool {
	_, ok := n.ledger.Take(n.now(), r, amount)
	if ok {
		n.fleet.checks[r].add(n.fleet.world.Now(), amount)
	}
	return ok
}

// broken returns a description of each limit that was exceeded, sorted.
func (f *fleet) broken() []string {
	var names []string
	for r, c := range f.checks {
		if c.broken() {
			names = append(names, fmt.Sprintf("%s: %.2f over a burst of %.2f", r.Name, c.worst, c.capacity.Burst))
		}
	}
	slices.Sort(names)
	return names
}

// usable returns the number of seats that live instances may spend from.
func (f *fleet) usable() int {
	count := 0
	for _, n := range f.nodes {
		for _, h := range n.ledger.held {
			if !n.dead && n.now().Before(h.usableUntil) {
				count++
			}
		}
	}
	return count
}

func team(name string, rate, burst float64) Capacity {
	return Capacity{Resource: Resource{Kind: TeamRate, Name: name}, Rate: rate, Burst: burst}
}
