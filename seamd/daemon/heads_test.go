package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// headsUpstream is an upstream that answers requests on kept connections. It breaks off the
// head of the answer to a request at /cut after the given number of bytes, and closes.
type headsUpstream struct{ length *atomic.Int64 }

// ServeHTTP implements http.Handler.
func (u headsUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
	if !strings.HasPrefix(r.URL.Path, "/cut") {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nSeam-Request-Id: " + r.Header.Get("Seam-Request-Id") + "\r\nContent-Length: 12\r\n\r\n"
	_, _ = io.WriteString(conn, head[:min(u.length.Load(), int64(len(head)-1))])
}

// An upstream that stops within the head of its answer has given none: callers must never
// get a success, and the outcome is unknown.
func TestAnswerHeadsThatBreakOffAreNoSuccess(t *testing.T) {
	u := headsUpstream{length: new(atomic.Int64)}
	fleet := newTestFleet(t, 1, u, u)
	for length := range int64(90) {
		u.length.Store(length)
		if a := fleet.send(0, "/whole", "", strings.NewReader("body")); a.err != nil || a.status != http.StatusOK {
			t.Fatalf("status %d, %v", a.status, a.err)
		}
		a := fleet.send(0, "/cut", "", strings.NewReader("body"))
		if a.err == nil && (a.status < http.StatusInternalServerError || a.header.Get("Seam-Not-Run") == "true") {
			t.Errorf("cut after %d bytes: status %d, not run %q", length, a.status, a.header.Get("Seam-Not-Run"))
		}
	}
}
