package edger

import (
	"net/http"
	"time"

	"primroseseam.org/platform"
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

// serveLookup answers a look-up with the addresses of the instances to which a caller
// should connect.
func (e *Edge) serveLookup(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathLookup {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	regionField, zoneField := platform.LookupQuery()
	query := r.URL.Query()
	e.mu.Lock()
	addresses := e.model.Addresses(time.Now(), e.settings.Listen.Callers, query.Get(regionField), query.Get(zoneField))
	e.mu.Unlock()
	ttl := min(lookupTTL, duration(e.settings.Bounds.LookupTTL))
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected and needs no answer.
	_, _ = w.Write(platform.EncodeLookupResponse(addresses, ttl))
}
