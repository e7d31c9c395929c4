package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
)

// maxExplainedDecisions is the number of routing decisions that an instance keeps for
// operators' queries.
const maxExplainedDecisions = 8192

// Explanation is the JSON form in which operators get a routing decision.
type Explanation struct {
	Request    string    `json:"request"`
	At         time.Time `json:"at"`
	Team       string    `json:"team"`
	Service    string    `json:"service"`
	Candidates int       `json:"candidates"`
	// Choice is the address of the endpoint, the id of the instance that the request
	// was passed to, or "" for a refusal.
	Choice   string  `json:"choice"`
	Attempt  int     `json:"attempt"`
	Code     int     `json:"code"`
	Reason   string  `json:"reason"`
	NotRun   string  `json:"notRun"`
	WaitedMS float64 `json:"waitedMs"`
}

// operatorHandler adds the operators' calls to mux, the handler of the listener for
// peers. [Daemon.peerHandler] wraps mux with the authentication of its clients.
func (d *Daemon) operatorHandler(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/explain", d.serveExplain)
	mux.HandleFunc("POST /v1/drain", d.serveDrain)
}

// serveDrain starts a graceful shutdown.
func (d *Daemon) serveDrain(w http.ResponseWriter, r *http.Request) {
	d.log.Info("daemon: drain requested by an operator", zap.String("from", r.RemoteAddr))
	d.drainOnce.Do(func() { close(d.drainRequested) })
	writeJSON(w, http.StatusAccepted, map[string]string{"instance": d.settings.Instance.ID})
}

// serveExplain answers with the decisions about one request that are still in the
// history.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("request")
	number, err := strconv.ParseUint(strings.TrimPrefix(name, d.settings.Instance.ID+"-"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Code: int(coder.RequestMalformed), Name: coder.RequestMalformed.String()})
		return
	}
	list := d.loop.decisionHistory.ofRequest(number)
	for i := range list {
		list[i].Request = name
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// decisionHistory keeps the newest decisions in a ring buffer. It is safe for concurrent
// use.
type decisionHistory struct {
	mu   sync.Mutex
	ring []recordedDecision
	next int
}

// recordedDecision is a Forward, Pass or Refuse command and the time of the decision.
type recordedDecision struct {
	at  time.Time
	cmd decider.Cmd
}

func newDecisionHistory() *decisionHistory {
	return &decisionHistory{ring: make([]recordedDecision, maxExplainedDecisions)}
}

func (s *decisionHistory) add(at time.Time, cmd decider.Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ring[s.next] = recordedDecision{at: at, cmd: cmd}
	s.next = (s.next + 1) % len(s.ring)
}

// ofRequest returns the decisions about a request, oldest first.
func (s *decisionHistory) ofRequest(id uint64) []Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Explanation{}
	for i := range s.ring {
		entry := s.ring[(s.next+i)%len(s.ring)]
		switch c := entry.cmd.(type) {
		case decider.Forward:
			if c.ID == id {
				list = append(list, explainForward(entry.at, c))
			}
		case decider.Pass:
			if c.ID == id {
				list = append(list, explainPass(entry.at, c))
			}
		case decider.Refuse:
			if c.ID == id {
				list = append(list, explainRefuse(entry.at, c))
			}
		}
	}
	return list
}

func explainForward(at time.Time, c decider.Forward) Explanation {
	e := explain(at, c.Decision)
	e.Choice, e.Attempt, e.Reason = c.Endpoint, c.Attempt, coder.OK.String()
	e.NotRun = "false"
	return e
}

// explainPass returns the explanation of a pass. Its choice is the instance that the
// request was passed to. The later decisions about the request are in the history of that
// instance.
func explainPass(at time.Time, c decider.Pass) Explanation {
	e := explain(at, c.Decision)
	e.Choice, e.Reason, e.NotRun = c.Peer, coder.OK.String(), forwarder.FormatRan(coder.MayHaveRun)
	return e
}

func explainRefuse(at time.Time, c decider.Refuse) Explanation {
	e := explain(at, c.Decision)
	e.Code, e.Reason, e.NotRun = int(c.Code), c.Code.String(), forwarder.FormatRan(c.Ran)
	return e
}

func explain(at time.Time, d decider.Decision) Explanation {
	return Explanation{
		At: at, Team: d.Team, Service: d.Service, Candidates: d.Candidates,
		WaitedMS: float64(d.Waited) / float64(time.Millisecond),
	}
}
