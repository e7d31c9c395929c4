package daemon

import (
	"testing"
	"time"

	"primroseseam.org/seam/decider"
)

// TestPassedRequestIsExplained checks that, if a request was passed to another instance,
// the history contains that decision and returns it for the request's id.
func TestPassedRequestIsExplained(t *testing.T) {
	history := newDecisionHistory()
	history.add(time.Unix(1, 0), decider.Pass{ID: 7, Peer: "west-2"})
	history.add(time.Unix(2, 0), decider.Forward{ID: 8, Endpoint: "10.0.0.1:9000"})
	list := history.ofRequest(7)
	if len(list) != 1 || list[0].Choice != "west-2" {
		t.Errorf("got %+v", list)
	}
}
