package soaker

import (
	"sync"
	"time"

	"primroseseam.org/standin/objectkeeper"
)

const (
	// hotTeam has a rate limit, and its callers send more than its rate and burst.
	hotTeam  = "hot"
	hotRate  = 30.0
	hotBurst = 30.0
	// withdrawnKeyTeam is the team whose API key may be withdrawn during the test.
	withdrawnKeyTeam = "leaving"
	// routeTimeout and routeTargetLatency apply to all routes.
	routeTimeout       = 2 * time.Second
	routeTargetLatency = 500 * time.Millisecond
	host               = "soak.example"
	pathNonIdempotent  = "/once/"
	pathIdempotent     = "/many/"
)

// keyTeams maps each API key to its team.
var keyTeams = map[string]string{"key-a": "team-a", "key-b": "team-b", "key-hot": hotTeam, "key-leaving": withdrawnKeyTeam}

// operator changes the configuration, endpoints and zones through the store, and
// records each change in the history.
type operator struct {
	soak *Soak

	mu            sync.Mutex
	configVersion int
	service       int
	keyWithdrawn  bool
}

func newOperator(s *Soak) *operator { return &operator{soak: s} }

// writeConfig writes the next version of the configuration to the store. All routes
// go to the current service, and the withdrawn key is left out.
func (o *operator) writeConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configVersion++
	route := objectkeeper.Route{Host: host, Service: serviceName(o.service), Timeout: routeTimeout, TargetLatency: routeTargetLatency}
	nonIdempotent, idempotent := route, route
	nonIdempotent.PathPrefix = pathNonIdempotent
	idempotent.PathPrefix = pathIdempotent
	idempotent.Idempotent = true
	activeKeys := map[string]string{}
	teams := map[string]objectkeeper.Team{}
	for key, team := range keyTeams {
		if team == withdrawnKeyTeam && o.keyWithdrawn {
			continue
		}
		activeKeys[key] = team
		t := objectkeeper.Team{Keys: []string{key}}
		if team == hotTeam {
			t.Rate, t.Burst = hotRate, hotBurst
		}
		teams[team] = t
	}
	o.soak.fakeStore.PutConfig(objectkeeper.Config{
		Version: o.configVersion, Routes: map[string]objectkeeper.Route{"once": nonIdempotent, "many": idempotent}, Teams: teams,
	})
	o.soak.history.recordConfig(configVersion{at: time.Now(), service: o.service, keyTeams: activeKeys})
}

// currentService returns the number of the service that all routes go to.
func (o *operator) currentService() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.service
}

// moveRoutes points all routes at the next service, if there is one.
func (o *operator) moveRoutes() {
	o.mu.Lock()
	move := o.service+1 < serviceCount
	if move {
		o.service++
	}
	o.mu.Unlock()
	if move {
		o.soak.logf("routes point at the next service")
		o.writeConfig()
	}
}

// withdrawKey removes an API key from the configuration. Its callers keep using it.
func (o *operator) withdrawKey() {
	o.mu.Lock()
	o.keyWithdrawn = true
	o.mu.Unlock()
	o.soak.logf("API key is withdrawn")
	o.writeConfig()
}

// drain marks an endpoint as draining until wait returns.
func (o *operator) drain(e *endpoint, wait func()) {
	o.soak.logf("%s is drained", e.id)
	e.writeEntry(true)
	o.soak.history.recordDrain(e.id)
	wait()
	o.soak.history.recordDrainEnd(e.id)
	e.writeEntry(false)
	o.soak.logf("drain of %s has ended", e.id)
}

// evacuate marks a zone as evacuated until wait returns, so that its endpoints get no
// requests.
func (o *operator) evacuate(zone string, wait func()) {
	o.soak.logf("%s is evacuated", zone)
	o.soak.fakeStore.SetEvacuated(zone, true)
	o.soak.history.recordEvacuation(zone)
	wait()
	o.soak.history.recordEvacuationEnd(zone)
	o.soak.fakeStore.SetEvacuated(zone, false)
	o.soak.logf("evacuation of %s has ended", zone)
}
