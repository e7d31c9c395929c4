package edger

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
)

// explainPath is the path at the metrics socket that states where a request would go. The query
// holds its host, path, team, object and timeLeftMs; a key comes as a bearer token.
const explainPath = "/v1/explain"

// serveOperators serves metrics, explanations and the state of the fleet.
func (e *Edge) serveOperators(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case explainPath:
		e.serveExplain(w, r)
	case fleetPath:
		e.serveFleet(w, r)
	default:
		e.serveMetrics(w, r)
	}
}

// serveExplain states as JSON where a request would go now, and why. Nothing is sent. Keys are
// neither answered nor logged.
func (e *Edge) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.Method != http.MethodGet || q.Get("host") == "" || !strings.HasPrefix(q.Get("path"), "/") {
		http.Error(w, "want GET with host, and path from its first slash", http.StatusBadRequest)
		return
	}
	question := conductor.Question{Host: q.Get("host"), Path: q.Get("path"), Team: q.Get("team")}
	question.Key, _ = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if object := q.Get("object"); object != "" {
		question.Object = placer.Hash32(object)
	}
	if text := q.Get("timeLeftMs"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			http.Error(w, "timeLeftMs is not a number of milliseconds", http.StatusBadRequest)
			return
		}
		question.CallerTimeLeft = time.Duration(ms) * time.Millisecond
	}
	e.mu.Lock()
	explanation := e.model.Explain(time.Now(), question)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explanation)
}
