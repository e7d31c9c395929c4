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

// The second request is read after its caller has closed.
func TestRequestsOfCallersWhoLeftAreNotSentOn(t *testing.T) {
	var late atomic.Int32
	started := make(chan struct{}, 9)
	upstream := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/x/second" {
			late.Add(1)
		}
		started <- struct{}{}
		w.Header().Set("Seam-Request-Id", q.Header.Get("Seam-Request-Id"))
		time.Sleep(50 * time.Millisecond)
	})
	r := newRig(t, 1, upstream, upstream)
	for range 5 {
		conn, err := net.Dial("tcp", r.daemons[0].CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		request := "POST /x/%s HTTP/1.1\r\nHost: seam\r\nContent-Length: 0\r\nAuthorization: Bearer " + r.secret + "\r\n\r\n"
		_, _ = fmt.Fprintf(conn, request, "first")
		<-started
		_, _ = fmt.Fprintf(conn, request, "second")
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		// It ends with a reset if the second request is never read.
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests reached an upstream after their caller had left", n)
	}
}
