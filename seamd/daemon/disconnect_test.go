package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestRequestsOfDisconnectedCallersAreNotForwarded sends two requests over one
// connection, and closes the sending side of the connection while the first request is
// being served. The daemon reads the second request after the first is finished, when the
// caller has already disconnected. It must not forward the second request.
func TestRequestsOfDisconnectedCallersAreNotForwarded(t *testing.T) {
	var forwardedAfterDisconnect atomic.Int32
	started := make(chan struct{}, 9)
	upstream := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/x/second" {
			forwardedAfterDisconnect.Add(1)
		}
		started <- struct{}{}
		w.Header().Set("Seam-Request-Id", q.Header.Get("Seam-Request-Id"))
		time.Sleep(50 * time.Millisecond)
	})
	fleet := newTestFleet(t, 1, upstream, upstream)
	for range 5 {
		conn, err := net.Dial("tcp", fleet.daemons[0].CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		request := "POST /x/%s HTTP/1.1\r\nHost: seam\r\nContent-Length: 0\r\nAuthorization: Bearer " + fleet.apiKey + "\r\n\r\n"
		_, _ = fmt.Fprintf(conn, request, "first")
		<-started
		_, _ = fmt.Fprintf(conn, request, "second")
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		// The error is ignored, because the connection may be reset if the daemon
		// doesn't read the second request.
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	if n := forwardedAfterDisconnect.Load(); n > 0 {
		t.Errorf("%d requests reached an upstream after their caller had disconnected", n)
	}
}
