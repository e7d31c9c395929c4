package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestInstanceServesAfterTheWholeFleetStopped shuts down all instances gracefully at the
// same time, then starts a new one. Normally the earlier instances acknowledge that a new
// one takes over their seats (shares of the fleet-wide limits). Here none is left to do
// so, but the new instance must serve requests within 10 s.
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
