package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestInstanceServesAfterTheWholeFleetStopped stops every instance as planned;
// nobody is left to acknowledge a takeover of what they held.
func TestInstanceServesAfterTheWholeFleetStopped(t *testing.T) {
	r := newRig(t, 0)
	r.linger = 3 * time.Second
	r.start(0)
	r.start(1)
	for range 40 {
		if r.send(0, "/ready", "", nil).status == http.StatusOK {
			break
		}
	}
	var stops sync.WaitGroup
	for _, stop := range r.stops {
		stops.Go(stop)
	}
	stops.Wait()
	r.start(2)
	started := time.Now()
	last := reply{}
	for time.Since(started) < 10*time.Second {
		if last = r.send(2, "/ready", "", nil); last.status == http.StatusOK {
			t.Logf("serves after %v", time.Since(started))
			return
		}
	}
	t.Errorf("doesn't serve after 10 s: %+v", last)
}
