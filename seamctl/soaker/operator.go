package soaker

import (
	"sync"
	"time"

	"primroseseam.org/standin/objectkeeper"
)

const (
	// hotTeam has a rate limit of hotRate requests per second with a burst of hotBurst
	// requests. Its callers send more than that.
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

// operator simulates an operator. It writes configurations, drains and evacuations to the
// store, and records each of them in the history.
type operator struct {
	soak *Soak

	mu            sync.Mutex
	configVersion int
	// service is the number of the service that all routes go to.
	service int
	// keyWithdrawn is true once the API key of withdrawnKeyTeam is withdrawn.
	keyWithdrawn bool
}

func newOperator(s *Soak) *operator { return &operator{soak: s} }

// writeConfig writes the next version of the configuration to the store. All routes go to
// the current service. Once the API key of withdrawnKeyTeam is withdrawn, the configuration
// doesn't contain the key and the team.
func (o *operator) writeConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configVersion++
	route := objectkeeper.Route{Host: host, Service: serviceName(o.service), Timeout: routeTimeout, TargetLatency: routeTargetLatency}
	nonIdempotent, idempotent := route, route
	nonIdempotent.PathPrefix = pathNonIdempotent
	idempotent.PathPrefix = pathIdempotent
	idempotent.Idempotent = true
	uploads := route
	uploads.PathPrefix = pathUpload
	uploads.Timeout = uploadTimeout
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
		Version: o.configVersion, Routes: map[string]objectkeeper.Route{"once": nonIdempotent, "many": idempotent, "uploads": uploads}, Teams: teams,
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
	hasNext := o.service+1 < serviceCount
	if hasNext {
		o.service++
	}
	o.mu.Unlock()
	if hasNext {
		o.soak.logf("routes point at the next service")
		o.writeConfig()
	}
}

// withdrawKey removes the API key of withdrawnKeyTeam from the configuration. The callers
// with this key keep using it.
func (o *operator) withdrawKey() {
	o.mu.Lock()
	o.keyWithdrawn = true
	o.mu.Unlock()
	o.soak.logf("API key is withdrawn")
	o.writeConfig()
}

// drain marks an endpoint as draining, calls wait and removes the mark. Instances must send
// no new requests to a draining endpoint.
func (o *operator) drain(e *endpoint, wait func()) {
	o.soak.logf("%s is drained", e.id)
	e.writeEntry(true)
	o.soak.history.recordDrain(e.id)
	wait()
	o.soak.history.recordDrainEnd(e.id)
	e.writeEntry(false)
	o.soak.logf("drain of %s has ended", e.id)
}

// evacuate marks a zone as evacuated, calls wait and removes the mark. Instances must send
// no requests to endpoints in an evacuated zone.
func (o *operator) evacuate(zone string, wait func()) {
	o.soak.logf("%s is evacuated", zone)
	o.soak.fakeStore.SetEvacuated(zone, true)
	o.soak.history.recordEvacuation(zone)
	wait()
	o.soak.history.recordEvacuationEnd(zone)
	o.soak.fakeStore.SetEvacuated(zone, false)
	o.soak.logf("evacuation of %s has ended", zone)
}
