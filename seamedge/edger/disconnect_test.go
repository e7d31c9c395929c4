package edger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawRequest returns the bytes of a request for the route and key of the test
// configuration.
func rawRequest(id string) string {
	return fmt.Sprintf("GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: 3000\r\n\r\n", id)
}

// dialCaller opens a connection to the callers' socket.
func dialCaller(t *testing.T, e *runningEdge) *net.TCPConn {
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

// A caller sends a second request before the answer to the first, and disconnects before
// the server reads the second. The second request must not reach the endpoint.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "a")
	started := make(chan struct{}, 2)
	served := r.endpoint("i-1", "a", func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	e := r.start("edge-1", &logSink{})
	e.waitFor(3*time.Second, "ready", e.ready)
	conn := dialCaller(t, e)
	write(t, conn, rawRequest("first"))
	<-started
	write(t, conn, rawRequest("second"))
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// Reading may fail: the connection is reset if the server doesn't read the second
	// request.
	_, _ = io.ReadAll(conn)
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1: the caller disconnected before the second", n)
	}
}

// A caller closes only its sending side and still reads. It must not get a 2xx response
// that no endpoint sent, such as the empty one that net/http sends by default.
func TestDisconnectedCallerGetsNoEmptySuccess(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "a")
	started := make(chan struct{})
	r.endpoint("i-1", "a", func(_ http.ResponseWriter, q *http.Request) {
		close(started)
		<-q.Context().Done()
	})
	e := r.start("edge-1", &logSink{})
	e.waitFor(3*time.Second, "ready", e.ready)
	conn := dialCaller(t, e)
	write(t, conn, rawRequest("only"))
	<-started
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, _ := io.ReadAll(conn); strings.HasPrefix(string(got), "HTTP/1.1 2") {
		t.Errorf("got a success that no endpoint gave: %s", got)
	}
}

// Some callers send an empty line or the next request right after a request. net/http
// then doesn't notice when the caller disconnects. The first request must be canceled
// nevertheless.
func TestDisconnectAfterPipelinedBytesCancelsTheRequest(t *testing.T) {
	for _, more := range []string{"\r\n", rawRequest("next")} {
		r := newTestEnv(t)
		r.configure("key-1", "a")
		started, ended := make(chan struct{}, 2), make(chan struct{}, 2)
		served := r.endpoint("i-1", "a", func(_ http.ResponseWriter, q *http.Request) {
			started <- struct{}{}
			<-q.Context().Done()
			ended <- struct{}{}
		})
		e := r.start("edge-1", &logSink{})
		e.waitFor(3*time.Second, "ready", e.ready)
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
			t.Errorf("the endpoint still handles the request after its caller sent %q and disconnected", more)
		}
		if n := served.Load(); n != 1 {
			t.Errorf("%d requests reached the endpoint, want 1", n)
		}
	}
}

// Guards against MIXED: only an endpoint's answer is a success, also for a request about no
// path.
func TestNoSuccessWithoutAnEndpoint(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "a")
	r.endpoint("i-1", "a", nil)
	e := r.start("edge-1", &logSink{})
	e.waitFor(3*time.Second, "ready", e.ready)
	conn := dialCaller(t, e)
	write(t, conn, strings.Replace(rawRequest("one"), "GET /x/1 ", "OPTIONS * ", 1))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("got %+v, %v", resp, err)
	}
}

func TestIdleCallersDoNotUseUpTheDescriptors(t *testing.T) {
	const callers, maxOpen = 300, 224
	r := newTestEnv(t)
	r.configure("key-1", "a")
	r.endpoint("i-1", "a", nil)
	e := r.start("edge-1", &logSink{})
	e.waitFor(3*time.Second, "ready", e.ready)
	for range callers {
		conn := dialCaller(t, e)
		write(t, conn, rawRequest("one"))
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatalf("no answer: %v", err)
		}
	}
	if open := e.gauge(`seam_edge_connections_open{kind="callers"}`); open > maxOpen {
		t.Errorf("%d caller connections are open, want at most %d", open, maxOpen)
	}
}

// gauge returns the value of a metric.
func (r *runningEdge) gauge(name string) int {
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
		r.t.Fatalf("metric %s is missing: %v", name, err)
	}
	return value
}

// endlessAnswer returns an endpoint's handler that sends a body without end, and a channel
// that receives a value each time the instance closes the connection of such an answer.
func endlessAnswer(header http.Header, status int) (http.HandlerFunc, <-chan struct{}) {
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

// The connection of an answer whose body never ends must be closed if the answer isn't
// used or the caller has disconnected. Otherwise the endpoint goes on sending and the
// request stays open.
func TestEndlessAnswersAreClosedWhenNoLongerNeeded(t *testing.T) {
	signed := http.Header{"X-Response-Signature": {"s"}}
	for name, c := range map[string]struct {
		header http.Header
		status int
		// disconnect means that the caller disconnects while it reads the answer.
		disconnect bool
		want       string
	}{
		"no signature":                  {http.Header{}, http.StatusOK, false, "HTTP/1.1 502"},
		"not run":                       {http.Header{"X-Not-Executed": {"1"}}, http.StatusServiceUnavailable, false, "HTTP/1.1 503"},
		"caller disconnects":            {signed, http.StatusOK, true, "HTTP/1.1 200"},
		"caller disconnects from a 500": {signed, http.StatusInternalServerError, true, "HTTP/1.1 500"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestEnv(t)
			r.configure("key-1", "a")
			answer, closed := endlessAnswer(c.header, c.status)
			r.endpoint("i-1", "a", answer)
			e := r.start("edge-1", &logSink{})
			e.waitFor(3*time.Second, "ready", e.ready)
			conn := dialCaller(t, e)
			write(t, conn, rawRequest("one"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			got := make([]byte, 12)
			if _, err := io.ReadFull(conn, got); err != nil || string(got) != c.want {
				t.Errorf("got %q, %v", got, err)
			}
			if c.disconnect {
				_ = conn.Close()
			}
			select {
			case <-closed:
			case <-time.After(500 * time.Millisecond):
				t.Error("the endpoint still sends the answer")
			}
			e.waitFor(time.Second, "no open requests", func() bool { return e.gauge("seam_edge_requests_open") == 0 })
		})
	}
}
