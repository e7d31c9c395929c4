// Package decider makes every routing and rate-limiting decision of an instance.
//
// A [Model] is a deterministic state machine. Its owner passes typed messages
// to [Model.Update] and carries out the typed commands that it returns. The
// package does no I/O, doesn't read the clock and uses only seeded random
// numbers, so replaying a recorded list of messages yields the same commands.
//
// An instance is one process of the load balancer, and the other instances of the
// fleet are its peers. A request is forwarded to an endpoint of a service, or passed
// to a peer in one of two cases. By default the requests of a service go through its
// slot owner: the one instance of the region that forwards all of them, and so has an
// exact count of the endpoints' slots in use. A named request, which must run at most
// once, goes to its home: the instance that issued the ticket in the name and records
// the answer. Each forward or pass is an attempt, and is in flight until it ends. A
// hedge is a second attempt in parallel to a slow first one.
//
// Limits on the whole fleet, such as a team's rate, are kept by the ledger of package
// allocator. Keys are accepted only while there is recent evidence that they are up to
// date; see package spreader.
//
// # Usage
//
//	m := decider.New(decider.WithSelf(self), decider.WithSeed(1))
//	for _, cmd := range m.Update(clock.Now(), decider.RequestArrived{...}) {
//		switch c := cmd.(type) {
//		case decider.Forward:
//		case decider.Refuse:
//		}
//	}
package decider

import (
	"math/rand/v2"
	"time"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
)

// Self identifies this instance and its location.
type Self struct {
	id            string
	region        string
	failureDomain string
}

// NewSelf returns an instance's identity.
func NewSelf(id, region, failureDomain string) Self {
	return Self{id: id, region: region, failureDomain: failureDomain}
}

// ID returns the instance's name, which is unique in the fleet.
func (s Self) ID() string { return s.id }

// Region returns the region in which the instance runs.
func (s Self) Region() string { return s.region }

// FailureDomain returns the failure domain in which the instance runs.
func (s Self) FailureDomain() string { return s.failureDomain }

// Model is the state of an instance. It is not safe for concurrent use: one
// goroutine owns it and passes it all messages.
type Model struct {
	self   Self
	rng    *rand.Rand
	config *configurer.Config
	keys   *authenticator.Keyring
	limits limits
	// incarnation grows with each start of this instance. 0 means that the
	// instance is the whole fleet and shares no limits.
	incarnation uint64
	services    map[string]*service
	requests    map[uint64]*request
	peers       *peerSet
	policy      picker.Policy
	stopping    bool
	// keyEvidenceAt is the time in the last KeyEvidence, or zero if none came.
	keyEvidenceAt time.Time
	// cancellations lists the forwarded requests of withdrawn keys, in the order
	// of the times at which they are cancelled.
	cancellations []scheduledCancel
	// nextExpiry is when the next configuration exception expires, or zero.
	nextExpiry time.Time
}

// Option configures a new model.
type Option func(*Model)

// WithSelf sets the identity and location of the instance.
func WithSelf(s Self) Option {
	return func(m *Model) { m.self = s }
}

// WithSeed seeds the model's random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithPolicy sets how endpoints are picked. By default the requests of a service go
// through its slot owner.
func WithPolicy(p picker.Policy) Option {
	return func(m *Model) { m.policy = p }
}

// New returns a model that has no configuration and no keys yet.
func New(opts ...Option) *Model {
	m := &Model{
		rng:      rand.New(rand.NewPCG(1, 1)),
		keys:     authenticator.NewKeyring(nil),
		services: map[string]*service{},
		requests: map[uint64]*request{},
		peers:    newPeerSet(),
		policy:   picker.SingleOwner{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.initLimits()
	return m
}

// Update handles one message at the time now and returns the commands to carry
// out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case ForwardEnded:
		return m.forwardEnded(now, msg)
	case PassedRequestArrived:
		return m.passedRequestArrived(now, msg)
	case PassEnded:
		return m.passEnded(now, msg)
	case PeersChanged:
		return m.peersChanged(msg)
	case PeerLoadsReported:
		return m.peerLoadsReported(now, msg)
	case CallerLeft:
		return m.callerLeft(now, msg)
	case LoadReported:
		return m.loadReported(now, msg)
	case ConfigChanged:
		return m.configChanged(now, msg)
	case KeysChanged:
		return m.keysChanged(now, msg)
	case KeyEvidence:
		m.keyEvidenceAt = msg.At
		return nil
	case Ticked:
		m.expireExceptions(now)
		return append(append(m.cancelWithdrawn(now), m.tickServices(now)...), m.tickLimits(now)...)
	case LedgerMessage:
		return m.ledgerMessage(now, msg)
	case LeaveRequested:
		return m.updateLedger(now, allocator.StopRequested{})
	case StopRequested:
		m.stopping = true
		return m.updateLedger(now, allocator.StopRequested{})
	}
	return nil
}

// Seats returns the number of seats that this instance holds. A seat is one
// failure domain's share of the fleet-wide limits.
func (m *Model) Seats() int { return m.limits.ledger.Seats() }

// Requests returns the number of open requests: those that wait for a rate
// token or a slot, and those with attempts in flight.
func (m *Model) Requests() int { return len(m.requests) + m.limits.waitingCount }

// ConfigVersion returns the version of the configuration in force, or 0.
func (m *Model) ConfigVersion() int64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version()
}
