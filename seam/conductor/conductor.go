// Package conductor decides how an instance of the edge daemon, seamedge, handles
// each request: it picks the endpoint of each attempt, retries failed attempts, and
// refuses requests that exceed their team's rate limit or can't be answered in time.
//
// The package is a state machine: [Model.Update] takes a message and returns
// commands. It reads no clock and does no I/O, so that replaying the same messages
// gives the same decisions. The commands returned for a message about a request
// concern only that request.
//
// An object is what a request's affinity key identifies. It is warm at an endpoint
// that handled it recently, and requests for it run faster there. An endpoint is cold
// for a warm-up period after it starts. Package placer explains both.
//
// A team is a customer. Its requests are recognized by their keys.
//
// A peer is another instance of the fleet. By heartbeats, each instance informs the
// others of the attempts that it has in flight at each endpoint, of the demand of each
// team, and of warm objects.
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
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"primroseseam.org/seam/admitter"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/quarantiner"
	"primroseseam.org/seam/regulator"
	"primroseseam.org/seam/router"
)

// Bounds are the fleet-wide limits that are not part of the steering
// configuration.
type Bounds struct {
	// RetryRatio and RetryExtra are the retry budget of a service: it allows RetryRatio
	// times the number of requests, plus RetryExtra. Each attempt beyond the first of a
	// request is a retry and counts against the budget, unless no connection could be
	// opened for the attempt before it.
	RetryRatio float64
	RetryExtra float64
	// RegionShift is the largest part of a region's requests that may change the region in which
	// they run from one period of regionShiftPeriod to the next; 0 means no limit.
	RegionShift float64
}

// Model is the decision state of one instance. It is not safe for concurrent use.
type Model struct {
	id     string
	zone   string
	region string
	// startedAtMs is when the instance started, in Unix milliseconds.
	startedAtMs int64
	zones       map[string]string
	bounds      Bounds
	rng         *rand.Rand
	// hasConnection reports whether there is an idle connection to an endpoint's address
	// that can carry a request. It is nil if WithHasConnection wasn't used.
	hasConnection func(address string, nonIdempotent bool) bool

	config       *router.Config
	balancer     *placer.Balancer
	requests     map[uint64]*request
	teams        map[string]*teamState
	teamsByHash  map[uint32]*teamState
	retryBudgets map[string]*retryBudget
	credits      map[string]*admitter.Credit
	quarantiner  *quarantiner.Quarantiner
	// brokenAttempts holds the attempts that broke off a moment ago, until it is known
	// whether their endpoints ended.
	brokenAttempts []brokenAttempt
	// endpointChecks holds the checks to make, and checkedAt when each endpoint's last one was
	// asked for.
	endpointChecks []EndpointCheck
	checkedAt      map[string]time.Time
	// routeLatency and serviceLatency hold, for each route and each service, the measured
	// latency divided by the estimated latency.
	routeLatency   latencyRatios
	serviceLatency latencyRatios
	peers          map[string]*peer
	// registrations holds the entries of other instances in the store, and hasList means that they
	// have been read. registered means that this instance's own entry was among them.
	// currentListAt is when a list was last read that was current.
	registrations       map[string]registration
	hasList, registered bool
	currentListAt       time.Time
	// liveInStoreAt holds, by the hash of an instance's ID, when another one's renewed entry last
	// stated the instance as live.
	liveInStoreAt map[uint32]time.Time
	// removedAt holds when instances were taken for gone, by their IDs, and returnedAt when one of
	// them last came back.
	removedAt  map[string]time.Time
	returnedAt time.Time
	// storeContactAt is when the store last answered a live instance. storeLostAt is when it last
	// counted as lost, or zero if it has answered for long enough since.
	storeContactAt, storeLostAt time.Time
	// absentOthers is the result of othersAbsent at the last tick, and newInstances that of
	// countNewInstances.
	absentOthers bool
	newInstances int
	// lastNewAt is since when the instance has been known that became known last.
	lastNewAt time.Time
	// heartbeatCounts holds the number of regular heartbeats made for each audience.
	// pendingWarmObjects holds the warm objects not yet reported to each audience.
	heartbeatCounts    [audienceCount]uint64
	pendingWarmObjects [audienceCount][]placer.WarmObject
	// reportedFleetSize is the number of instances that heartbeats report: those known here or,
	// before the first list from the store, the most that another instance reports. It is 0 before
	// the first list or report.
	reportedFleetSize int
	lastPrune         time.Time
	// firstUpdate and lastUpdate are the times of the first and the last message.
	firstUpdate, lastUpdate time.Time
	splits                  map[string]*split
	// longestCallerTime holds, for each route, the longest time that a caller had left
	// when its request arrived. Requests without a timeout count with
	// defaultCallerTimeout. A caller with less than callerRetryRatio times the longest
	// time is taken to be retrying.
	longestCallerTime map[string]time.Duration
	// stopRequestedAt is when a graceful stop began, or zero, and stopEnd when it ends.
	stopRequestedAt time.Time
	stopEnd         time.Time
	// live lists the IDs of the instances of each region that are neither silent nor
	// leaving, this one included, and liveCount counts them. regionSize counts all known
	// instances of this instance's region, since the live ones choose their intervals by
	// that number. disputed holds the regions of which an instance is silent: it may be running
	// and see other live instances. rankings holds this instance's ranking for the endpoints
	// of each region, computed when it is needed.
	live       map[string][]string
	liveCount  int
	regionSize int
	disputed   map[string]bool
	rankings   map[string]*placer.Ranking
	// peersByHash holds the peers by the hash of their IDs. sighted lists the peers of
	// other regions that have sent a heartbeat since the last report to this region.
	peersByHash map[uint32]*peer
	sighted     []*peer
	// knownInstances is the number of instances that are peers, that the store lists, or
	// both, this one included, without those that are leaving. demand sums up the demand at the peers that aren't silent.
	knownInstances int
	demand         demandTotals
	// regionNames lists the names of all regions in their order. liveReports holds the latest
	// report on live instances from each other region, and hiddenSince the time from which on
	// no heartbeats of a region have arrived although it has live instances, or zero.
	regionNames []string
	liveReports map[string]liveReport
	hiddenSince time.Time
	// regulator limits how fast requests change their region, and slotParts is what it last got
	// to know of the slots in each region.
	regulator *regulator.Regulator
	slotParts map[string]float64
}

// Option configures a Model in New.
type Option func(*Model)

// WithSelf sets the instance's ID and zone; zones maps zones to regions.
func WithSelf(id, zone string, zones map[string]string) Option {
	return func(m *Model) {
		m.id = id
		m.zone = zone
		m.zones = zones
		m.region = zones[zone]
	}
}

// WithStart sets when the instance started, in Unix milliseconds, as its heartbeats state it.
func WithStart(startedAtMs int64) Option { return func(m *Model) { m.startedAtMs = startedAtMs } }

// WithBounds sets the fleet-wide limits.
func WithBounds(b Bounds) Option { return func(m *Model) { m.bounds = b } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(m *Model) { m.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithHasConnection sets the function that reports whether there is an idle
// connection to an endpoint's address that can carry a request. Without this option,
// every endpoint is assumed to have an idle connection.
func WithHasConnection(hasConnection func(address string, nonIdempotent bool) bool) Option {
	return func(m *Model) { m.hasConnection = hasConnection }
}

// New returns a model without a configuration.
func New(opts ...Option) *Model {
	m := &Model{
		rng:               rand.New(rand.NewPCG(1, 1)),
		requests:          map[uint64]*request{},
		teams:             map[string]*teamState{},
		teamsByHash:       map[uint32]*teamState{},
		retryBudgets:      map[string]*retryBudget{},
		credits:           map[string]*admitter.Credit{},
		quarantiner:       quarantiner.New(),
		checkedAt:         map[string]time.Time{},
		routeLatency:      latencyRatios{},
		serviceLatency:    latencyRatios{},
		peers:             map[string]*peer{},
		registrations:     map[string]registration{},
		liveInStoreAt:     map[uint32]time.Time{},
		removedAt:         map[string]time.Time{},
		splits:            map[string]*split{},
		longestCallerTime: map[string]time.Duration{},
		knownInstances:    1,
		demand:            demandTotals{},
		liveReports:       map[string]liveReport{},
		peersByHash:       map[uint32]*peer{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.balancer = placer.New(m.zone, m.zones)
	m.balancer.SetStanding(m.standing)
	m.regionNames = slices.Compact(slices.Sorted(maps.Values(m.zones)))
	m.regulator = regulator.New(m.region, m.regionNames, m.bounds.shiftSpeed())
	if m.hasConnection != nil {
		m.balancer.SetHasConnection(m.hasConnection)
	}
	m.refreshLive()
	return m
}

// Update processes one message at the time now and returns the commands to carry
// out.
func (m *Model) Update(now time.Time, msg Msg) []Cmd {
	if m.firstUpdate.IsZero() {
		m.firstUpdate = now
	}
	m.lastUpdate = now
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case AttemptEnded:
		return m.attemptEnded(now, msg)
	case EndpointChecked:
		m.endpointChecked(now, msg)
	case RequestEnded:
		m.forgetRequest(msg.ID)
	case ConfigReceived:
		m.configReceived(now, msg.Config)
	case EndpointsReceived:
		m.balancer.SetEndpoints(now, msg.Endpoints, m.config)
	case EvacuationsReceived:
		m.balancer.SetEvacuated(now, msg.Zones)
	case InstancesReceived:
		return m.instancesReceived(now, msg)
	case HeartbeatReceived:
		return m.heartbeatReceived(now, msg.Heartbeat)
	case BoundsChanged:
		m.bounds = msg.Bounds
		m.regulator.SetMaxSpeed(m.bounds.shiftSpeed())
	case Ticked:
		m.ticked(now, msg)
	case StopRequested:
		if m.stopRequestedAt.IsZero() {
			m.stopRequestedAt = now
		}
		m.stopEnd = msg.End
	}
	return nil
}

// configReceived applies a configuration if it is newer than the one in force.
func (m *Model) configReceived(now time.Time, c *router.Config) {
	if m.config != nil && c.Version() <= m.config.Version() {
		return
	}
	m.config = c
	m.balancer.SetServices(c)
	m.balancer.SetBound(c.BoundParts())
	for name, t := range m.teams {
		if _, ok := c.Teams()[name]; !ok {
			delete(m.teams, name)
			delete(m.teamsByHash, t.hash)
		}
	}
	m.refreshRates(now)
}

// ConfigVersion returns the version of the configuration in force, or 0 if there is
// none.
func (m *Model) ConfigVersion() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version()
}

// Limits returns the limits on callers' requests; before the first configuration they
// are all 0.
func (m *Model) Limits() router.Limits {
	if m.config == nil {
		return router.Limits{}
	}
	return m.config.Limits()
}

// RequestsInFlight returns the number of requests that were sent to an endpoint at
// least once and have not ended.
func (m *Model) RequestsInFlight() int { return len(m.requests) }

// ticked expires silent peers, recomputes this instance's shares of the teams' rates,
// and every pruneInterval deletes outdated records.
func (m *Model) ticked(now time.Time, msg Ticked) {
	m.expireSilentPeers(now)
	m.refreshHidden(now)
	m.refreshStoreContact(now, msg.StoreAge)
	m.refreshReportedFleetSize(now)
	m.absentOthers = m.othersAbsent(now)
	m.newInstances = m.countNewInstances()
	m.refreshRates(now)
	m.refreshRetryBudgets(now)
	m.refreshRegions(now)
	m.confirmEnds(now)
	if now.Sub(m.lastPrune) > pruneInterval {
		m.lastPrune = now
		m.balancer.Prune(now)
		m.quarantiner.Prune(now)
		m.pruneChecks(now)
	}
}

const (
	// pruneInterval is the time between two calls of the balancer's Prune, which deletes
	// outdated records.
	pruneInterval = 2 * time.Second
	// assumedFleetSize is the number of instances that is assumed after a start. It is
	// larger than today's largest deployment.
	assumedFleetSize = 64
	// assumedFleetPeriod is how long assumedFleetSize applies if neither the store nor
	// another instance reports a number. By then every other instance has sent a
	// heartbeat.
	assumedFleetPeriod = 3 * time.Second
)
