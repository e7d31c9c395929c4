// Package decider makes every routing and rate-limiting decision of an instance. The
// fleet daemon seamd uses it. Package replayer, a part of the operators' client seamctl,
// uses it in simulations.
//
// A [Model] is a deterministic state machine. The calling code passes typed messages
// to [Model.Update] and carries out the typed commands that Update returns. The
// package does no I/O, doesn't read the clock and uses only seeded random
// numbers, so replaying a recorded list of messages yields the same commands.
//
// An instance is one process of the load balancer, and the other instances of the
// fleet are its peers. A service runs on endpoints. An endpoint is one upstream process,
// and its slots are the number of requests that it can run at a time. It is usable if it
// is neither draining nor ejected after failures; see package picker. Requests for which
// no slot is free are queued. A request is forwarded to an endpoint, or passed to a peer
// in one of two cases:
//
//   - By default each service has a slot owner in each region: the one instance that
//     forwards all requests for the service to the endpoints of that region, and so has
//     an exact count of the slots in use. The other instances of the region pass their
//     requests for the service to the slot owner.
//   - A named request, which must run at most once, is passed to its home: the instance
//     that issued the ticket in the request's name and records the answer. The home may
//     be the passing instance itself.
//
// Each forward or pass is an attempt, and is in flight until it ends. A hedge is a
// second attempt at a request, in parallel to a first attempt that is unusually slow.
//
// The ledger of package allocator keeps the limits on the whole fleet, such as a team's
// rate. A team's rate is a token bucket: a request costs one token, and an instance may
// borrow tokens from another instance. Keys are accepted only while there is recent
// evidence that this instance's keys are up to date; see package spreader.
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

// NewSelf returns the identity of an instance.
func NewSelf(id, region, failureDomain string) Self {
	return Self{id: id, region: region, failureDomain: failureDomain}
}

// ID returns the instance's name, which is unique in the fleet.
func (s Self) ID() string { return s.id }

// Region returns the region in which the instance runs.
func (s Self) Region() string { return s.region }

// FailureDomain returns the failure domain in which the instance runs.
func (s Self) FailureDomain() string { return s.failureDomain }

// Model is the state of an instance. It is not safe for concurrent use: a single
// goroutine must make all calls to its methods.
type Model struct {
	self   Self
	rng    *rand.Rand
	config *configurer.Config
	keys   *authenticator.Keyring
	limits limits
	// incarnation grows with each start of this instance. 0 means that the fleet
	// consists of this instance only, which then shares no limits.
	incarnation uint64
	services    map[string]*service
	requests    map[uint64]*request
	peers       *peerSet
	policy      picker.Policy
	stopping    bool
	// keyEvidenceAt is the time At of the last KeyEvidence message, or zero if there
	// was no such message.
	keyEvidenceAt time.Time
	// cancellations lists the forwarded requests whose keys were withdrawn, ordered by
	// the time at which each request is cancelled.
	cancellations []scheduledCancel
	// nextExpiry is when the next configuration exception expires, or zero if none does.
	// An exception overrides settings for a part of the fleet.
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

// WithPolicy sets how endpoints are picked. The default is [picker.SingleOwner], with
// which the requests for a service go through its slot owner.
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

// Update handles one message at the time now. It returns the commands for the caller
// to carry out, in order.
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

// Seats returns the number of seats that this instance holds. A seat is the share of
// the fleet-wide limits that belongs to one failure domain; package allocator assigns
// seats to instances.
func (m *Model) Seats() int { return m.limits.ledger.Seats() }

// Requests returns the number of open requests: requests that wait for a rate token or
// a slot, and requests with attempts in flight.
func (m *Model) Requests() int { return len(m.requests) + m.limits.waiterCount }

// ConfigVersion returns the version of the configuration in force, or 0 if there is no
// configuration yet.
func (m *Model) ConfigVersion() int64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version()
}
