// Package decider makes every routing and limiting decision of an instance.
//
// The package is one state and one loop. Typed messages go in through
// [Model.Update]; new state and typed commands come out. There is no input or
// output, no wall clock and no unseeded randomness inside, so that a recorded
// list of messages gives the same commands again.
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

// Self says who and where this instance is.
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
// goroutine owns it and feeds it messages.
type Model struct {
	self   Self
	rng    *rand.Rand
	config *configurer.Config
	keys   *authenticator.Keyring
	limits limits
	// incarnation orders the starts of this instance; 0 is a fleet of one.
	incarnation uint64
	services    map[string]*service
	requests    map[uint64]*request
	peers       *peerSet
	policy      picker.Policy
	stopping    bool
	// evidence is the time of the newest KeyEvidence.
	evidence time.Time
	// cuts lists forwarded requests of withdrawn keys, soonest first.
	cuts []cut
	// expiry is when the next exception expires, or zero.
	expiry time.Time
}

// Option changes a model at its creation.
type Option func(*Model)

// WithSelf sets who and where the instance is.
func WithSelf(s Self) Option {
	return func(m *Model) { m.self = s }
}

// WithSeed seeds the model's random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithPolicy sets how endpoints are picked.
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
	m.startLimits()
	return m
}

// Update takes one message at the time now and returns what is to be done.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case ForwardEnded:
		return m.answerEnded(now, msg)
	case PassedRequestArrived:
		return m.passedArrived(now, msg)
	case PassEnded:
		return m.passEnded(now, msg)
	case PeersChanged:
		return m.peersChanged(msg)
	case PeerLoadsReported:
		return m.peerLoadHeard(now, msg)
	case CallerLeft:
		return m.callerLeft(now, msg)
	case LoadReported:
		return m.loadReported(now, msg)
	case ConfigChanged:
		return m.configChanged(now, msg)
	case KeysChanged:
		return m.keysChanged(now, msg)
	case KeyEvidence:
		m.evidence = msg.At
		return nil
	case Ticked:
		m.expireExceptions(now)
		return append(append(m.cutWithdrawn(now), m.ticked(now)...), m.tickLimits(now)...)
	case LedgerMessage:
		return m.ledgerReported(now, msg)
	case LeaveRequested:
		return m.ledger(now, allocator.StopRequested{})
	case StopRequested:
		m.stopping = true
		return m.ledger(now, allocator.StopRequested{})
	}
	return nil
}

// Seats returns the number of seats of fleet-wide limits held here.
func (m *Model) Seats() int { return m.limits.ledger.Seats() }

// Requests returns the number of requests that wait or are being answered.
func (m *Model) Requests() int { return len(m.requests) + m.limits.count }

// ConfigVersion returns the version of the configuration in force, or 0.
func (m *Model) ConfigVersion() int64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version()
}
