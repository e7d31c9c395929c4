package edger_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawRequest returns a request as a caller of the test configuration sends it.
func rawRequest(id string) string {
	return fmt.Sprintf("GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: 3000\r\n\r\n", id)
}

// dialCaller opens a connection as a caller does.
func dialCaller(t *testing.T, e *running) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", e.settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// The second request is read after its caller has closed.
func TestRequestsOfCallersWhoLeftAreNotSent(t *testing.T) {
	r := newRig(t)
	r.configure("key-1", "a")
	started := make(chan struct{}, 2)
	served := r.endpoint("i-1", "a", func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	e := r.start("edge-1", &logSink{})
	e.until(3*time.Second, "ready", e.ready)
	conn := dialCaller(t, e)
	write(t, conn, rawRequest("first"))
	<-started
	write(t, conn, rawRequest("second"))
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// It ends with a reset if the second request is never read.
	_, _ = io.ReadAll(conn)
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, 1 of them before its caller left", n)
	}
}

// A caller who closes one direction only still reads what comes.
func TestCallerWhoLeftGetsNoEmptySuccess(t *testing.T) {
	r := newRig(t)
	r.configure("key-1", "a")
	started := make(chan struct{})
	r.endpoint("i-1", "a", func(_ http.ResponseWriter, q *http.Request) {
		close(started)
		<-q.Context().Done()
	})
	e := r.start("edge-1", &logSink{})
	e.until(3*time.Second, "ready", e.ready)
	conn := dialCaller(t, e)
	write(t, conn, rawRequest("only"))
	<-started
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(conn); strings.HasPrefix(string(got), "HTTP/1.1 2") {
		t.Errorf("an answer that no endpoint gave: %s", got)
	}
}

// Some callers send an empty line behind a request, or the next one already.
func TestCallerWhoSentMoreEndsTheWorkToo(t *testing.T) {
	for _, more := range []string{"\r\n", rawRequest("next")} {
		r := newRig(t)
		r.configure("key-1", "a")
		started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
		served := r.endpoint("i-1", "a", func(_ http.ResponseWriter, q *http.Request) {
			started <- struct{}{}
			<-q.Context().Done()
			ended <- struct{}{}
		})
		e := r.start("edge-1", &logSink{})
		e.until(3*time.Second, "ready", e.ready)
		conn := dialCaller(t, e)
		write(t, conn, rawRequest("one"))
		<-started
		write(t, conn, more)
		time.Sleep(20 * time.Millisecond)
		if err := conn.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Errorf("the endpoint works on after its caller sent %q and left", more)
		}
		if n := served.Load(); n != 1 {
			t.Errorf("%d requests reached the endpoint", n)
		}
	}
}

func TestIdleCallersDoNotUseUpTheDescriptors(t *testing.T) {
	const callers, room = 300, 224
	r := newRig(t)
	r.configure("key-1", "a")
	r.endpoint("i-1", "a", nil)
	e := r.start("edge-1", &logSink{})
	e.until(3*time.Second, "ready", e.ready)
	for range callers {
		conn := dialCaller(t, e)
		write(t, conn, rawRequest("one"))
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("no answer: %v", err)
		}
	}
	if open := e.gauge(`seam_edge_connections_open{kind="callers"}`); open > room {
		t.Errorf("%d connections of callers are open, %d allowed", open, room)
	}
}

// gauge returns the value of a metric.
func (r *running) gauge(name string) int {
	r.t.Helper()
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	_, after, _ := strings.Cut(string(text), name+" ")
	var value int
	if _, err := fmt.Sscan(after, &value); err != nil {
		r.t.Fatalf("%s is not told: %v", name, err)
	}
	return value
}

// pourer returns an endpoint's answer without end, and a channel that tells when
// the connection was closed.
func pourer(header http.Header, status int) (http.HandlerFunc, <-chan struct{}) {
	closed := make(chan struct{}, 8)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Response-Signature")
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		block := strings.Repeat("a", 16<<10)
		for {
			if _, err := io.WriteString(w, block); err != nil {
				closed <- struct{}{}
				return
			}
		}
	}, closed
}

func TestBodiesWithoutEndEndWithTheirUse(t *testing.T) {
	signed := http.Header{"X-Response-Signature": {"s"}}
	for name, c := range map[string]struct {
		header http.Header
		status int
		// leave means that the caller leaves while it reads.
		leave bool
		want  string
	}{
		"no signature":           {http.Header{}, http.StatusOK, false, "HTTP/1.1 502"},
		"not run":                {http.Header{"X-Not-Executed": {"1"}}, http.StatusServiceUnavailable, false, "HTTP/1.1 503"},
		"the caller leaves":      {signed, http.StatusOK, true, "HTTP/1.1 200"},
		"a failure, then leaves": {signed, http.StatusInternalServerError, true, "HTTP/1.1 500"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.configure("key-1", "a")
			answer, closed := pourer(c.header, c.status)
			r.endpoint("i-1", "a", answer)
			e := r.start("edge-1", &logSink{})
			e.until(3*time.Second, "ready", e.ready)
			conn := dialCaller(t, e)
			write(t, conn, rawRequest("one"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			got := make([]byte, 12)
			if _, err := io.ReadFull(conn, got); err != nil || string(got) != c.want {
				t.Errorf("got %q, %v", got, err)
			}
			if c.leave {
				_ = conn.Close()
			}
			select {
			case <-closed:
			case <-time.After(500 * time.Millisecond):
				t.Error("the endpoint still sends")
			}
			e.until(time.Second, "no request to be open", func() bool { return e.gauge("seam_edge_requests_open") == 0 })
		})
	}
}
