package edger

import (
	"net/http"
	"time"

	"primroseseam.org/platform"
)

// serveReady tells the platform whether this instance takes requests.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !e.able.Load() || e.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// lookupTTL is how long callers should use an answer to a look-up. Short ones
// cost calls, long ones keep callers at instances that are gone.
const lookupTTL = 2 * time.Second

// serveLookup tells a caller where to connect.
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
	// A caller that is gone needs no answer.
	_, _ = w.Write(platform.EncodeLookupResponse(addresses, ttl))
}
