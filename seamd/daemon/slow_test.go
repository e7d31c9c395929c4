package daemon_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against LOST: a request at which an upstream works must not be cut because the upstream
// reads its body slowly. The pause is longer than the connection's TCP_USER_TIMEOUT of 3 s.
func TestSlowlyReadRequestsAreNotCut(t *testing.T) {
	const pause, size, firstPart = 4 * time.Second, 4 << 20, 32 << 10
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/large" {
			w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
			return
		}
		first, _ := io.CopyN(io.Discard, r.Body, firstPart)
		time.Sleep(pause)
		rest, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
		w.Header().Set("Read", strconv.FormatInt(first+rest, 10))
	})
	fleet := newTestFleet(t, 1, slow, slow)
	a := fleet.send(0, "/large", "", strings.NewReader(strings.Repeat("a", size)))
	if a.err != nil || a.status != http.StatusOK || a.header.Get("Read") != strconv.Itoa(size) {
		t.Errorf("status %d, %v, %s of %d bytes read", a.status, a.err, a.header.Get("Read"), size)
	}
}
