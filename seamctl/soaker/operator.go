package soaker

import (
	"sync"
	"time"

	"primroseseam.org/standin/objectkeeper"
)

const (
	// hotTeam asks for more than its rate and burst.
	hotTeam  = "hot"
	hotRate  = 30.0
	hotBurst = 30.0
	// leavingTeam is the one whose key is withdrawn.
	leavingTeam = "leaving"
	// routeTimeout and routeTarget are those of all routes.
	routeTimeout = 2 * time.Second
	routeTarget  = 500 * time.Millisecond
	host         = "soak.example"
	pathOnce     = "/once/"
	pathMany     = "/many/"
)

// keys maps each key to its team.
var keys = map[string]string{"key-a": "team-a", "key-b": "team-b", "key-hot": hotTeam, "key-leaving": leavingTeam}

// operator changes configurations, endpoints and zones.
type operator struct {
	soak *Soak

	mu      sync.Mutex
	version int
	service int
	left    bool
}

func newOperator(s *Soak) *operator { return &operator{soak: s} }

// configure writes the next version.
func (o *operator) configure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	route := objectkeeper.Route{Host: host, Service: serviceName(o.service), Timeout: routeTimeout, Target: routeTarget}
	once, many := route, route
	once.Prefix = pathOnce
	many.Prefix = pathMany
	many.Idempotent = true
	known := map[string]string{}
	teams := map[string]objectkeeper.Team{}
	for key, team := range keys {
		if team == leavingTeam && o.left {
			continue
		}
		known[key] = team
		t := objectkeeper.Team{Keys: []string{key}}
		if team == hotTeam {
			t.Rate, t.Burst = hotRate, hotBurst
		}
		teams[team] = t
	}
	o.soak.keeper.PutConfig(objectkeeper.Config{
		Version: o.version, Routes: map[string]objectkeeper.Route{"once": once, "many": many}, Teams: teams,
	})
	o.soak.ledger.configured(version{at: time.Now(), service: o.service, keys: known})
}

// serviceNow returns the service that the routes go to.
func (o *operator) serviceNow() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.service
}

// moveRoutes lets the routes go to the next service, if there is one.
func (o *operator) moveRoutes() {
	o.mu.Lock()
	move := o.service+1 < services
	if move {
		o.service++
	}
	o.mu.Unlock()
	if move {
		o.soak.note("routes move to the next service")
		o.configure()
	}
}

// withdrawKey withdraws a key whose callers stay.
func (o *operator) withdrawKey() {
	o.mu.Lock()
	o.left = true
	o.mu.Unlock()
	o.soak.note("a key is withdrawn")
	o.configure()
}

// drain lets an endpoint leave for a while.
func (o *operator) drain(e *endpoint, until func()) {
	o.soak.note("%s drains", e.id)
	e.announce(true)
	o.soak.ledger.drained(e.id)
	until()
	o.soak.ledger.undrained(e.id)
	e.announce(false)
	o.soak.note("%s is back", e.id)
}

// evacuate empties a zone for a while.
func (o *operator) evacuate(zone string, until func()) {
	o.soak.note("%s is evacuated", zone)
	o.soak.keeper.SetEvacuated(zone, true)
	o.soak.ledger.evacuated(zone)
	until()
	o.soak.ledger.refilled(zone)
	o.soak.keeper.SetEvacuated(zone, false)
	o.soak.note("%s is back", zone)
}
