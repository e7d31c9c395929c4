package edger

import (
	"net/http"
	"time"

	"primroseseam.org/platform"
)

// serveReady answers the platform's readiness check: whether this instance accepts
// requests.
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

// lookupTTL is how long callers may use an answer to a look-up. A shorter time causes
// more look-ups, with a longer one callers go on connecting to instances that have
// stopped.
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
