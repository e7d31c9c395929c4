// Package conductor decides what becomes of each request on an instance.
//
// It is one state and one loop: messages go in through [Model.Update], commands
// come out. It reads no clock and makes no calls, so that a list of messages
// gives the same decisions again. The commands of a message about a request
// concern that request alone.
//
// # Usage
//
//	m := conductor.New(conductor.WithSelf("edge-1", "zone-1", zones))
//	for _, cmd := range m.Update(now, conductor.RequestArrived{...}) {
//		switch cmd := cmd.(type) {
//		case conductor.Send:
//		case conductor.Refuse:
//		case conductor.Deliver:
//		}
//	}
package conductor

import (
	"math/rand/v2"
	"time"

	"primroseseam.org/seam/admitter"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

// Bounds are the fleet-wide limits that don't come with the configuration.
type Bounds struct {
	// RetryRatio and RetryExtra bound the arrivals beyond the first of each
	// request: a part of a service's requests, and a number beside.
	RetryRatio float64
	RetryExtra float64
}

// Model is the state of an instance. It is not safe for concurrent use.
type Model struct {
	id     string
	zone   string
	region string
	zones  map[string]string
	bounds Bounds
	rng    *rand.Rand
	// connected tells which endpoints have an open connection, if it is set.
	connected func(address string, once bool) bool

	config   *router.Config
	board    *placer.Balancer
	requests map[uint64]*request
	teams    map[string]*teamState
	byHash   map[uint32]*teamState
	retries  map[string]*retryState
	credits  map[string]*admitter.Credit
	// routes and services are the paces of each.
	routes   paces
	services paces
	peers    map[string]*peer
	known    map[string]bool
	// beats counts the heartbeats to each audience, touches are the news of warm
	// objects that it doesn't have.
	beats   [audiences]uint64
	touches [audiences][]placer.WarmObject
	// told is the number of instances that the others or the store last spoke
	// of, or 0.
	told   int
	pruned time.Time
	// first and updated are the times of the first and the last message.
	first, updated time.Time
	splits         map[string]*split
	// longest is the most time that callers of a route said to have; a caller
	// that says less has come back.
	longest  map[string]time.Duration
	stopping time.Time
	// live lists the instances that are heard, this one included.
	live []string
}

// Option changes a model at its creation.
type Option func(*Model)

// WithSelf sets who and where the instance is; zones maps zones to regions.
func WithSelf(id, zone string, zones map[string]string) Option {
	return func(m *Model) {
		m.id = id
		m.zone = zone
		m.zones = zones
		m.region = zones[zone]
	}
}

// WithBounds sets the fleet-wide limits.
func WithBounds(b Bounds) Option { return func(m *Model) { m.bounds = b } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithConnected sets what tells whether a connection to an endpoint's address is
// open and may carry a request, which may run only once if once is set.
func WithConnected(connected func(address string, once bool) bool) Option {
	return func(m *Model) { m.connected = connected }
}

// New returns a model without a configuration.
func New(opts ...Option) *Model {
	m := &Model{
		rng:      rand.New(rand.NewPCG(1, 1)),
		requests: map[uint64]*request{},
		teams:    map[string]*teamState{},
		byHash:   map[uint32]*teamState{},
		retries:  map[string]*retryState{},
		credits:  map[string]*admitter.Credit{},
		routes:   paces{},
		services: paces{},
		peers:    map[string]*peer{},
		known:    map[string]bool{},
		splits:   map[string]*split{},
		longest:  map[string]time.Duration{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.board = placer.New(m.zone, m.zones)
	m.board.SetColdOwner(m.keepsCold)
	if m.connected != nil {
		m.board.SetConnected(m.connected)
	}
	m.refreshLive()
	return m
}

// Update takes one message at the time now and returns what is to be done.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.first.IsZero() {
		m.first = now
	}
	m.updated = now
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case AttemptEnded:
		return m.attemptEnded(now, msg)
	case RequestEnded:
		m.forget(msg.ID)
	case ConfigSeen:
		m.configSeen(now, msg.Config)
	case EndpointsSeen:
		m.board.SetEndpoints(now, msg.Endpoints, m.config)
	case EvacuationsSeen:
		m.board.SetEvacuated(now, msg.Zones)
	case InstancesSeen:
		m.instancesSeen(msg.IDs)
	case HeartbeatReceived:
		return m.beatHeard(now, msg.Heartbeat)
	case BoundsChanged:
		m.bounds = msg.Bounds
	case Ticked:
		m.ticked(now)
	case StopRequested:
		m.stopping = now
	}
	return nil
}

// configSeen takes a configuration unless it is older than the one in force.
func (m *Model) configSeen(now time.Time, c *router.Config) {
	if m.config != nil && c.Version() <= m.config.Version() {
		return
	}
	m.config = c
	m.board.SetServices(c)
	for name, t := range m.teams {
		if _, ok := c.Teams()[name]; !ok {
			delete(m.teams, name)
			delete(m.byHash, t.hash)
		}
	}
	m.refreshRates(now)
}

// Version returns the version in force, or 0.
func (m *Model) Version() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version()
}

// Limits returns what a caller may send; a limit of 0 is not known yet.
func (m *Model) Limits() router.Limits {
	if m.config == nil {
		return router.Limits{}
	}
	return m.config.Limits()
}

// Requests returns the number of requests under way.
func (m *Model) Requests() int { return len(m.requests) }

// ticked forgets silent peers and renews the parts of fleet-wide rates.
func (m *Model) ticked(now time.Time) {
	m.forgetSilent(now)
	m.refreshRates(now)
	if now.Sub(m.pruned) > pruneEvery {
		m.pruned = now
		m.board.Prune(now)
	}
}

// keepsCold reports whether this instance is the one that sends to a cold
// endpoint: the first of those alive in an order that all agree on.
func (m *Model) keepsCold(endpoint uint32) bool {
	return placer.Owner(m.live, endpoint) == m.id
}

// fleet counts the instances. Until one of the others or the store has said how
// many there are, they are taken to be many.
func (m *Model) fleet() rationer.Fleet {
	known := len(m.peers) + 1
	for id := range m.known {
		if _, heard := m.peers[id]; !heard && id != m.id {
			known++
		}
	}
	known = max(known, m.told)
	if m.told == 0 && m.updated.Sub(m.first) < unknownFor {
		known = max(known, unknownFleet)
	}
	return rationer.Fleet{Known: known, Heard: len(m.live)}
}

const (
	// pruneEvery is how often objects that are no longer warm are forgotten.
	pruneEvery = 2 * time.Second
	// unknownFleet is the number of instances assumed by one that has just
	// started; it is more than the largest deployment of today has.
	unknownFleet = 64
	// unknownFor is how long that is assumed if nobody says more; all others have
	// sent a heartbeat by then.
	unknownFor = 3 * time.Second
)
