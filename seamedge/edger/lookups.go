package edger

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

// serveReady answers the platform's readiness check. The status is 200 if this instance is
// ready for requests, and 503 if it isn't ready yet or is stopping.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !e.ready.Load() || e.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// lookupTTL is how long callers may use the answer to a look-up, unless the settings set a
// shorter time. A shorter time makes callers send more look-ups. A longer time makes them
// try instances that have stopped for longer.
const lookupTTL = 2 * time.Second

// Answers to look-ups, as counted in the metrics: with addresses, and without.
const (
	lookupAnswered = "addresses"
	lookupRefused  = "none"
)

// serveLookup answers a look-up with the addresses of the instances to which a caller
// should connect. The status is 503 if there are none: the caller then asks another instance.
func (e *Edge) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathLookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	hostField, regionField, zoneField := platform.LookupQuery()
	query := r.URL.Query()
	lookup := conductor.Lookup{Host: query.Get(hostField), Region: query.Get(regionField), Zone: query.Get(zoneField)}
	e.mu.Lock()
	answer := e.model.LookUp(time.Now(), e.settings.Listen.Callers, lookup)
	e.mu.Unlock()
	if len(answer.Addresses) == 0 {
		e.refuseLookup(w, lookup, answer)
		return
	}
	e.metrics.lookups(lookupAnswered).Inc()
	ttl := min(lookupTTL, duration(e.current.Load().Bounds.LookupTTL))
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected and needs no answer.
	_, _ = w.Write(platform.EncodeLookupResponse(answer.Addresses, ttl))
}

// refuseLookup answers a look-up for which no instance may receive the caller's requests.
func (e *Edge) refuseLookup(w http.ResponseWriter, lookup conductor.Lookup, answer conductor.LookupAnswer) {
	code := coder.NoHomeInstance
	if answer.ConfigVersion == 0 {
		code = coder.NoConfiguration
	}
	e.metrics.lookups(lookupRefused).Inc()
	e.log.Warn("lookup: no instance may receive the requests", zap.String("host", lookup.Host), zap.String("region", lookup.Region),
		zap.String("zone", lookup.Zone), zap.Strings("allowedRegions", answer.Regions), zap.Uint64("version", answer.ConfigVersion),
		zap.Int("code", int(code)), zap.String("reason", code.String()))
	http.Error(w, strconv.Itoa(int(code))+" "+code.String(), http.StatusServiceUnavailable)
}
