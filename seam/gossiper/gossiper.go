// Package gossiper keeps track of which instances are alive, leaving or gone,
// and of the load that they report.
//
// The package is one state and one loop. Typed messages go in through
// [Model.Update]; typed commands come out. It does no input or output, reads
// no clock and has only seeded randomness.
//
// An instance sends heartbeats to a bounded number of peers a second: mostly
// within its failure domain, less often within its region, and least between
// regions, where a few instances of each region speak for the rest and pass
// on sums. A peer that doesn't answer, neither directly nor through others, is
// suspected; if it doesn't refute that in time, it is held dead.
//
// # Usage
//
//	m := gossiper.New(self, gossiper.WithSeeds("10.0.0.1:7003"))
//	for _, cmd := range m.Update(clock.Now(), gossiper.Ticked{}) {
//		switch c := cmd.(type) {
//		case gossiper.Call: // send c.Heartbeat to c.Address, then report back
//		case gossiper.Answer: // answer the heartbeat that c.Token names
//		case gossiper.MembersChanged: // use the new list of members
//		case gossiper.Superseded: // stop: a newer instance has this name
//		}
//	}
package gossiper

import (
	"math/rand/v2"
	"time"
)

const (
	// probeEvery is the time between two heartbeats to peers of the region.
	probeEvery = 500 * time.Millisecond
	// slowestProbe is that time for an instance that has used up its budget.
	slowestProbe = time.Second
	// gatewayEvery is the time between two heartbeats to another region.
	gatewayEvery = time.Second
	// reconnectEvery is the time between two tries to reach one that is held
	// dead, or known by the platform's list alone.
	reconnectEvery = 4 * time.Second
	// callTimeout bounds a direct heartbeat.
	callTimeout = 500 * time.Millisecond
	// indirectTimeout bounds a heartbeat through another instance.
	indirectTimeout = 1200 * time.Millisecond
	// suspicionTime is how long a suspect has to refute.
	suspicionTime = 2 * time.Second
	// pauseAfter is the time between two ticks that shows a pause.
	pauseAfter = 1500 * time.Millisecond
	// tombstoneTime is how long dead and left instances are remembered.
	tombstoneTime = 5 * time.Minute
	// loadFresh is how long a reported load is used.
	loadFresh = 20 * time.Second
	// RegionSilence is how long nothing is heard from a region until it is taken
	// as unreachable.
	RegionSilence = 8 * time.Second
)

const (
	defaultBytesPerSecond = 4000
	// callsPerSecond bounds the heartbeats that an instance starts.
	callsPerSecond = 12
	// indirectPeers is how many others are asked to reach a silent peer.
	indirectPeers = 3
	// gatewaysPerRegion is how many instances speak to each other region.
	gatewaysPerRegion = 2
)

// Model is the state of membership at one instance. It is not safe for
// concurrent use.
type Model struct {
	self    Member
	rng     *rand.Rand
	seeds   []string
	load    Load
	members map[string]*member
	roster  roster
	sums    map[string]sum
	calls   map[uint64]call
	nextID  uint64
	probes  []string
	remote  map[string]time.Time
	listed  []Member
	synced  map[string]time.Time

	budget        budget
	callBudget    budget
	lastTick      time.Time
	nextProbe     time.Time
	lastProbe     time.Time
	nextReconnect time.Time
	lastHeard     time.Time
	digestTurn    int
	changed       bool
	urgent        bool
	stats         Stats
}

// member is what this instance holds about another one.
type member struct {
	Member
	load      Load
	loadAt    time.Time
	heard     time.Time
	suspected time.Time
	ended     time.Time
	// sends counts down the heartbeats that still carry the word.
	sends int
	// introduced means that the peer knows this instance's addresses.
	introduced bool
}

// sum is a region's load with the time at which it was true.
type sum struct {
	RegionSum
	at time.Time
	// alive is when anything was last heard from the region.
	alive time.Time
}

// call is a heartbeat that awaits its answer.
type call struct {
	id      string
	address string
	started time.Time
	// reach is the silent peer that the callee was asked to call.
	reach *reach
	// token names the heartbeat that asked for this call, or is 0.
	token uint64
	// later is the incarnation that the callee is said to have, if the call
	// checks on a later start under this instance's own name.
	later uint64
}

// reach is the state of calls to a silent peer through others.
type reach struct {
	id      string
	started time.Time
	pending int
}

// Stats counts what happened; the daemon exports it.
type Stats struct {
	Calls       int
	Failures    int
	Suspicions  int
	Deaths      int
	Refutations int
	Pauses      int
	Syncs       int
}

// Option changes a model at its creation.
type Option func(*Model)

// WithSeed seeds random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSeeds sets the peer addresses to join by.
func WithSeeds(addresses ...string) Option {
	return func(m *Model) { m.seeds = addresses }
}

// WithBytesPerSecond sets the budget for heartbeats sent and received.
func WithBytesPerSecond(bytes int) Option {
	return func(m *Model) { m.budget.perSecond = float64(bytes) }
}

// New returns a model that knows no one yet.
func New(self Member, opts ...Option) *Model {
	m := &Model{
		self:       self,
		rng:        rand.New(rand.NewPCG(1, 1)),
		members:    map[string]*member{},
		sums:       map[string]sum{},
		calls:      map[uint64]call{},
		remote:     map[string]time.Time{},
		synced:     map[string]time.Time{},
		budget:     budget{perSecond: defaultBytesPerSecond},
		callBudget: budget{perSecond: callsPerSecond},
		changed:    true,
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update takes one message at the time now and returns what is to be done.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	m.budget.refill(now)
	m.callBudget.refill(now)
	var cmds []Cmd
	switch msg := msg.(type) {
	case Ticked:
		cmds = m.ticked(now)
	case HeartbeatArrived:
		cmds = m.heartbeatArrived(now, msg)
	case AnswerArrived:
		cmds = m.answerArrived(now, msg)
	case CallFailed:
		cmds = m.callFailed(now, msg)
	case LoadMeasured:
		m.load = msg.Load
	case PlatformListed:
		m.platformListed(msg)
	case LeaveRequested:
		cmds = m.leaveRequested(now)
	}
	if m.urgent {
		m.urgent = false
		cmds = append(cmds, m.push(now)...)
	}
	if m.changed {
		m.changed = false
		cmds = append(cmds, m.view(now))
	}
	return cmds
}

// Self returns the word of this instance about itself.
func (m *Model) Self() Member { return m.self }

// Stats returns what happened so far.
func (m *Model) Stats() Stats { return m.stats }
