package daemon_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/standin/responder"
)

const (
	// linger is how long the daemon still accepts requests after a shutdown has
	// started. lookupTTL is how long callers use the answer of a lookup. It must be
	// shorter than linger, so that no caller uses the daemon after it stopped
	// accepting requests.
	linger    = 500 * time.Millisecond
	lookupTTL = 300 * time.Millisecond
)

// slowBody is a request body of 4 KiB pieces, with a pause before each of them.
type slowBody struct {
	pieces int
	pause  time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.EOF
	}
	b.pieces--
	time.Sleep(b.pause)
	return copy(p, strings.Repeat("x", 4096)), nil
}

// TestPlannedStopDropsNoRequest shuts a daemon down gracefully under load. Some callers
// keep their connections open, some open a connection for each request, and some send
// bodies that take longer than the linger time. No request may fail.
func TestPlannedStopDropsNoRequest(t *testing.T) {
	env := newTestEnv(t, responder.New(
		responder.WithSlots(1000), responder.WithWork(3*time.Millisecond), responder.WithPadding(20<<10)))
	var sent, dropped atomic.Int64
	var stopTime atomic.Int64
	var callers sync.WaitGroup
	send := func(client *http.Client, body io.Reader) bool {
		sent.Add(1)
		resp, err := env.send(client, body)
		switch {
		case err != nil:
			dropped.Add(1)
			t.Errorf("dropped: %v", err)
			return false
		case resp.StatusCode != http.StatusOK:
			t.Errorf("status %d, code %s", resp.StatusCode, resp.Header.Get("Seam-Code"))
		}
		// If an answer closes the connection, the caller must look up its
		// instances again.
		return !resp.Close
	}
	lookupValid := func() bool {
		at := stopTime.Load()
		return at == 0 || time.Now().UnixNano() < at+int64(lookupTTL)
	}
	for n := range 32 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%4 == 0}}
			mustLookUp := false
			for lookupValid() && (!mustLookUp || n%4 == 0) {
				mustLookUp = !send(client, strings.NewReader("short"))
				time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
			}
		})
	}
	for range 8 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			time.Sleep(100 * time.Millisecond)
			send(client, &slowBody{pieces: 40, pause: 40 * time.Millisecond})
		})
	}
	for sent.Load() < 300 {
		time.Sleep(10 * time.Millisecond)
	}
	stopTime.Store(time.Now().UnixNano())
	env.stop()
	callers.Wait()
	if err := <-env.runResult; err != nil {
		t.Errorf("stop: %v", err)
	}
	if sent.Load() < 300 {
		t.Errorf("only %d requests were sent", sent.Load())
	}
	t.Logf("%d requests, %d dropped", sent.Load(), dropped.Load())
}
