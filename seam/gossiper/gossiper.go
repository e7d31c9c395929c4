// Package gossiper is the membership protocol: it tracks which instances are alive,
// leaving or dead, and the load that they report. The fleet daemon seamd runs it.
//
// The package is a state machine. Typed messages go in through [Model.Update]; typed
// commands come out. It does no I/O, reads no clock, and draws random numbers only from a
// seeded generator, so that tests can run it in virtual time and repeat a run.
//
// An instance sends heartbeats to a limited number of peers per second. It calls peers of
// its own failure domain twice as often as other peers of its region. Two instances of
// each region, its gateways to another region, send the regular heartbeats to that region;
// these carry a load sum, which is the load of the whole region. One instance of each
// region, the steering instance, decides which shares of the region's callers use other
// regions.
//
// Each heartbeat and each answer carries updates about other members and digests. A digest
// is a hash over the members of one region, by which two instances detect that their
// member lists differ. The incarnation of a member orders its starts, and the revision
// orders the updates about one start.
//
// If a peer of the local region doesn't answer a heartbeat, the instance requests some
// other members to call that peer, which is an indirect probe. If none of them gets an
// answer either, the peer becomes a suspect. A suspect refutes the suspicion by an update
// with a greater revision; if it doesn't do so in time, it is declared dead.
//
// # Usage
//
//	m := gossiper.New(self, gossiper.WithSeeds("10.0.0.1:7003"))
//	for _, cmd := range m.Update(clock.Now(), gossiper.Ticked{}) {
//		switch c := cmd.(type) {
//		case gossiper.Call: // send c.Heartbeat to c.Address, then report the outcome
//		case gossiper.Answer: // answer the received heartbeat with token c.Token
//		case gossiper.MembersChanged: // use the new member list
//		case gossiper.Superseded: // stop: a newer instance has the same id
//		}
//	}
package gossiper

import (
	"math/rand/v2"
	"time"
)

const (
	// probeInterval is the time between two heartbeats to peers of the local region.
	probeInterval = 500 * time.Millisecond
	// slowProbeInterval replaces probeInterval while the byte budget is in debt.
	slowProbeInterval = time.Second
	// gatewayInterval is the time between a gateway's heartbeats to another region.
	gatewayInterval = time.Second
	// reconnectInterval is the time between two attempts to reach an instance that isn't
	// a member yet or whose status is Dead.
	reconnectInterval = 4 * time.Second
	// callTimeout is how long an instance waits for the answer to a heartbeat that
	// doesn't request an indirect probe.
	callTimeout = 500 * time.Millisecond
	// indirectTimeout is how long an instance waits for the answer to a heartbeat that
	// requests an indirect probe. The receiver first calls the target of the probe, which
	// takes up to callTimeout, and only then answers.
	indirectTimeout = 1200 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute the suspicion.
	suspicionTimeout = 2 * time.Second
	// pauseThreshold is the least time between two ticks after which this instance
	// assumes that its own process was paused.
	pauseThreshold = 1500 * time.Millisecond
	// tombstoneTTL is how long dead and leaving instances stay in the member list.
	tombstoneTTL = 5 * time.Minute
	// loadMaxAge limits the age of loads and load sums: older ones aren't used.
	loadMaxAge = 20 * time.Second
	// RegionSilenceTimeout is the time without a sign of life after which a region counts
	// as silent. Without any received heartbeat or answer for as long, this instance
	// counts as isolated.
	RegionSilenceTimeout = 8 * time.Second
)

const (
	// defaultBytesPerSecond is the default byte budget for the heartbeats and answers
	// that an instance sends and receives.
	defaultBytesPerSecond = 4000
	// callsPerSecond limits the heartbeats to members. Indirect probes and the requests
	// for them don't count.
	callsPerSecond = 12
	// indirectPeers is how many members get a request to probe a peer that didn't answer.
	indirectPeers = 3
	// gatewaysPerRegion is how many instances of each other region a leaving instance
	// notifies. A region has the same number of gateways to each other region.
	gatewaysPerRegion = 2
)

// Model is the membership state of one instance. It is not safe for concurrent use.
type Model struct {
	self        Member
	rng         *rand.Rand
	seeds       []string
	load        Load
	members     map[string]*member
	memberCache memberCache
	// sums holds the load sums of the other regions, by region name.
	sums       map[string]regionState
	calls      map[uint64]call
	lastCallID uint64
	// probeQueue holds the ids of the peers that are to be probed next.
	probeQueue []string
	// nextRemoteProbe holds, by region name, when this instance as a gateway sends the
	// next heartbeat to that region.
	nextRemoteProbe map[string]time.Time
	platformMembers []Member
	// digestDiffersSince holds the regions for which the received digests differ from this
	// instance's own digest. The time is when the first differing digest arrived, or when
	// this instance last sent all members of the region because of the difference.
	digestDiffersSince map[string]time.Time

	// budget limits the bytes of heartbeats and answers. callBudget limits the number of
	// heartbeats sent.
	budget        budget
	callBudget    budget
	lastTick      time.Time
	nextProbe     time.Time
	lastProbe     time.Time
	nextReconnect time.Time
	lastReceived  time.Time
	digestIndex   int
	// viewChanged makes Update return a MembersChanged. pushPending makes Update send
	// heartbeats to some peers immediately.
	viewChanged bool
	pushPending bool
	stats       Stats
}

// member is what this instance holds about another instance.
type member struct {
	Member
	load        Load
	loadAt      time.Time
	receivedAt  time.Time
	suspectedAt time.Time
	endedAt     time.Time
	// sendsLeft is how many more heartbeats and answers carry the update about this
	// member.
	sendsLeft int
	// hasAddresses means that the peer has this instance's addresses, so that
	// heartbeats to it can omit them.
	hasAddresses bool
}

// regionState is the newest load sum of another region and the time at which the load sum
// was computed.
type regionState struct {
	RegionSum
	asOf time.Time
	// aliveAt is when the region's newest load sum known to this instance, or reported by
	// another instance of the local region, was computed. Before the first load sum, it is
	// when this instance learned of the region's first member.
	aliveAt time.Time
}

// call is a heartbeat whose answer is awaited.
type call struct {
	id      string
	address string
	started time.Time
	// indirectProbe is set if the call requests the callee to probe another member.
	indirectProbe *indirectProbe
	// token identifies the received heartbeat that requested this call as an indirect
	// probe; it is 0 for all other calls.
	token uint64
	// laterIncarnation is set if the call checks whether a later start with this
	// instance's own id exists; it is the incarnation in the received update.
	laterIncarnation uint64
}

// indirectProbe is the state of an indirect probe: of the calls that request other members
// to call the member targetID. callStarted is when this instance sent targetID the
// heartbeat that got no answer.
type indirectProbe struct {
	targetID     string
	callStarted  time.Time
	pendingCalls int
}

// Stats holds counts of protocol events since the start. The daemon seamd exports them as
// metrics.
type Stats struct {
	Calls       int
	Failures    int
	Suspicions  int
	Deaths      int
	Refutations int
	Pauses      int
	// Syncs counts how often all members of a region were sent because the digests
	// differed.
	Syncs int
}

// Option configures a Model.
type Option func(*Model)

// WithSeed seeds the random number generator.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSeeds sets the peer addresses through which the instance joins the fleet.
func WithSeeds(addresses ...string) Option {
	return func(m *Model) { m.seeds = addresses }
}

// WithBytesPerSecond sets the byte budget for heartbeats sent and received.
func WithBytesPerSecond(bytes int) Option {
	return func(m *Model) { m.budget.perSecond = float64(bytes) }
}

// New returns the model of the instance self, without any other members.
func New(self Member, opts ...Option) *Model {
	m := &Model{
		self:               self,
		rng:                rand.New(rand.NewPCG(1, 1)),
		members:            map[string]*member{},
		sums:               map[string]regionState{},
		calls:              map[uint64]call{},
		nextRemoteProbe:    map[string]time.Time{},
		digestDiffersSince: map[string]time.Time{},
		budget:             budget{perSecond: defaultBytesPerSecond},
		callBudget:         budget{perSecond: callsPerSecond},
		viewChanged:        true,
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Update processes one message at the time now and returns the commands to carry out.
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
	if m.pushPending {
		m.pushPending = false
		cmds = append(cmds, m.pushUpdates(now)...)
	}
	if m.viewChanged {
		m.viewChanged = false
		cmds = append(cmds, m.membersChanged(now))
	}
	return cmds
}

// Self returns this instance as it describes itself to peers.
func (m *Model) Self() Member { return m.self }

// Stats returns the counts of protocol events so far.
func (m *Model) Stats() Stats { return m.stats }
