package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestInstanceServesAfterTheWholeFleetStopped shuts down all instances gracefully at the
// same time, then starts a new one. No instance is left to acknowledge that the new one
// takes over the seats of the fleet-wide limits, but it must serve requests soon.
func TestInstanceServesAfterTheWholeFleetStopped(t *testing.T) {
	fleet := newTestFleet(t, 0)
	fleet.linger = 3 * time.Second
	fleet.start(0)
	fleet.start(1)
	for range 40 {
		if fleet.send(0, "/ready", "", nil).status == http.StatusOK {
			break
		}
	}
	var stops sync.WaitGroup
	for _, stop := range fleet.stops {
		stops.Go(stop)
	}
	stops.Wait()
	fleet.start(2)
	started := time.Now()
	last := reply{}
	for time.Since(started) < 10*time.Second {
		if last = fleet.send(2, "/ready", "", nil); last.status == http.StatusOK {
			t.Logf("serves after %v", time.Since(started))
			return
		}
	}
	t.Errorf("instance doesn't serve after 10 s: %+v", last)
}
