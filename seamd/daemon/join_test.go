package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/standin/responder"
)

// TestNewInstanceServesWhileTheStoreIsDown starts an instance that can't reach the store.
// It must get the configuration and the keys from another instance, and serve requests.
func TestNewInstanceServesWhileTheStoreIsDown(t *testing.T) {
	env := newTestEnv(t, responder.New(responder.WithSlots(10)))
	newInstance := startWithoutStore(t, "i1", env.daemon.PeerAddress())
	started := time.Now()
	status := 0
	for time.Since(started) < 8*time.Second {
		resp, err := exchange(http.DefaultClient, "http://"+newInstance.CallerAddress()+"/lessons/1", env.apiKey, strings.NewReader("x"))
		if err == nil {
			if status = resp.StatusCode; status == http.StatusOK {
				t.Logf("serves after %v", time.Since(started).Round(time.Millisecond))
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("instance doesn't serve after 8 s: status %d", status)
}
