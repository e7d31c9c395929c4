package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/seamedge/exchanger"
)

const idHeader = "Request-Id"

// endpoint is a server on the loopback interface. A handler writes its responses.
type endpoint struct {
	address     string
	connections atomic.Int32
	requests    atomic.Int32
}

// handler writes the response to the nth request of an endpoint to the connection. It
// returns whether the connection stays open.
type handler func(c net.Conn, r *http.Request, n int) bool

func listen(t *testing.T, handle handler) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go e.serve(c, handle)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, handle handler) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !handle(c, r, int(e.requests.Add(1))) {
			return
		}
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newCall(e *endpoint, id string) exchanger.Call {
	return exchanger.Call{
		Address: e.address, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{idHeader: {id}},
		RequestID: id, IDHeader: idHeader, Deadline: time.Now().Add(2 * time.Second),
	}
}

func TestInvalidResponsesFail(t *testing.T) {
	for name, raw := range map[string]string{
		"cut short":                  "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 50\r\n\r\nabc",
		"cut in a chunk":             "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
		"no response":                "",
		"not HTTP":                   "garbage garbage\r\n\r\n",
		"success without request ID": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"of another request":         "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 0\r\n\r\n",
		"encoded":                    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
	} {
		e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, raw)
			return false
		})
		a := exchanger.New().Do(t.Context(), newCall(e, "1"))
		if a.Err == nil || !a.MaybeSent {
			t.Errorf("%s: got %+v, want an error and MaybeSent", name, a)
		}
		if n := e.requests.Load(); n != 1 {
			t.Errorf("%s: sent %d times", name, n)
		}
	}
}

func TestResponseWithoutLengthEndsAtConnectionClose(t *testing.T) {
	raw := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nwhole"
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, raw)
		return false
	})
	if a := exchanger.New().Do(t.Context(), newCall(e, "1")); a.Err != nil || string(a.Body) != "whole" {
		t.Errorf("closed normally: got %+v", a)
	}
	e = listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, raw)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	if a := exchanger.New().Do(t.Context(), newCall(e, "1")); a.Err == nil {
		t.Errorf("closed by a reset: got %+v, want an error", a)
	}
}

// The endpoint sends a response to an earlier request before the response to this one.
// The client must skip it and must not reuse the connection.
func TestResponsesToEarlierRequestsAreSkipped(t *testing.T) {
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, okResponse("0", "old")+okResponse(r.Header.Get(idHeader), "new"))
		return true
	})
	x := exchanger.New()
	a := x.Do(t.Context(), newCall(e, "1"))
	if a.Err != nil || string(a.Body) != "new" {
		t.Errorf("got %+v", a)
	}
	x.Do(t.Context(), newCall(e, "2"))
	if e.connections.Load() != 2 {
		t.Error("a connection with extra responses was reused")
	}
}

// An endpoint that writes an earlier refusal once more on a kept connection must not make
// the request that follows count as not run. The copy may carry the earlier request's ID
// or none.
func TestLateCopiesOfRefusalsAreNotTakenForTheAnswer(t *testing.T) {
	for name, copied := range map[string]string{
		"without ID":      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with earlier ID": "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"421 without ID":  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		e := listen(t, func(c net.Conn, _ *http.Request, n int) bool {
			answer := okResponse(fmt.Sprint(n), "mine")
			if n == 2 {
				answer = copied + answer
			}
			_, _ = io.WriteString(c, answer)
			return true
		})
		x := exchanger.New()
		x.Do(t.Context(), newCall(e, "1"))
		a := x.Do(t.Context(), newCall(e, "2"))
		if a.Err != nil || a.Status != http.StatusOK || string(a.Body) != "mine" || !a.ConnectionReused || a.SkippedResponses != 1 {
			t.Errorf("%s: got %+v, want the answer after one skipped response", name, a)
		}
		x.Do(t.Context(), newCall(e, "3"))
		if n := e.connections.Load(); n != 2 {
			t.Errorf("%s: %d connections, want a new one after the copy", name, n)
		}
	}
}

// If only the copy of an earlier refusal arrives, the request may have run.
func TestCopyOfARefusalAloneLeavesTheOutcomeUnknown(t *testing.T) {
	e := listen(t, func(c net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			_, _ = io.WriteString(c, okResponse("1", ""))
			return true
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	x := exchanger.New()
	x.Do(t.Context(), newCall(e, "1"))
	if a := x.Do(t.Context(), newCall(e, "2")); a.Err == nil || !a.MaybeSent {
		t.Errorf("got %+v, want an error and MaybeSent", a)
	}
}

// Nothing can have been sent on a new connection before, so that a refusal without an ID
// is one of the request.
func TestRefusalWithoutIDOnANewConnectionIsAccepted(t *testing.T) {
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	if a := exchanger.New().Do(t.Context(), newCall(e, "1")); a.Err != nil || a.Status != http.StatusServiceUnavailable {
		t.Errorf("got %+v", a)
	}
}

func TestOnlyOpenConnectionsWithoutExtraBytesAreReused(t *testing.T) {
	var extra atomic.Value
	extra.Store("")
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, okResponse(r.Header.Get(idHeader), "body")+extra.Load().(string))
		return extra.Load() != "close"
	})
	x := exchanger.New()
	x.Do(t.Context(), newCall(e, "1"))
	if a := x.Do(t.Context(), newCall(e, "2")); !a.ConnectionReused || a.Err != nil {
		t.Errorf("an idle connection was not reused: %+v", a)
	}
	extra.Store(okResponse("2", "second answer"))
	x.Do(t.Context(), newCall(e, "3"))
	time.Sleep(20 * time.Millisecond)
	extra.Store("")
	if a := x.Do(t.Context(), newCall(e, "4")); a.ConnectionReused || a.Err != nil || string(a.Body) != "body" {
		t.Errorf("after an extra response: %+v", a)
	}
	extra.Store("close")
	x.Do(t.Context(), newCall(e, "5"))
	time.Sleep(20 * time.Millisecond)
	extra.Store("")
	if a := x.Do(t.Context(), newCall(e, "6")); a.ConnectionReused || a.Err != nil {
		t.Errorf("after the endpoint closed the connection: %+v", a)
	}
}

func TestKeepAliveTimeoutLimitsReuse(t *testing.T) {
	e := listen(t, func(c net.Conn, _ *http.Request, n int) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %d\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", n)
		return true
	})
	x := exchanger.New()
	x.Do(t.Context(), newCall(e, "1"))
	if a := x.Do(t.Context(), newCall(e, "2")); a.ConnectionReused {
		t.Error("a connection was reused after its Keep-Alive timeout")
	}
	if a := x.Do(t.Context(), newCall(e, "3")); a.Err != nil {
		t.Error(a.Err)
	}
}

// An endpoint may respond before it has read a long request body. The connection must then
// not be reused, since a part of the body has not been sent yet.
func TestEarlyResponseToLongBody(t *testing.T) {
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	x := exchanger.New()
	long := newCall(e, "1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("a", 8<<20))
	long.BodyLength = int64(len(long.Body))
	if a := x.Do(t.Context(), long); a.Err != nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("got %+v", a)
	}
	if a := x.Do(t.Context(), newCall(e, "2")); a.ConnectionReused {
		t.Error("the connection was reused")
	}
}

func TestCancellationAndDeadlineEndACall(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		var one [1]byte
		_, _ = c.Read(one[:])
		closed <- struct{}{}
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	if a := exchanger.New().Do(ctx, newCall(e, "1")); a.Err == nil || time.Since(start) > time.Second {
		t.Errorf("after %v: %+v", time.Since(start), a)
	}
	<-closed
	c := newCall(e, "2")
	c.Deadline = time.Now().Add(100 * time.Millisecond)
	start = time.Now()
	if a := exchanger.New().Do(t.Context(), c); a.Err == nil || time.Since(start) > time.Second {
		t.Errorf("after %v: %+v", time.Since(start), a)
	}
	<-closed
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{address: l.Addr().String()}
	_ = l.Close()
	if a := exchanger.New().Do(t.Context(), newCall(e, "1")); a.Err == nil || a.MaybeSent {
		t.Errorf("got %+v", a)
	}
}

// BenchmarkExchange measures calls with different IDs, which reuse connections.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	e := &endpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, func(c net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(c, okResponse(r.Header.Get(idHeader), "body"))
				return true
			})
		}
	}()
	x := exchanger.New()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if a := x.Do(b.Context(), newCall(e, strconv.Itoa(n))); a.Err != nil {
			b.Fatal(a.Err)
		}
	}
}

func TestTrimLimitsIdleConnections(t *testing.T) {
	x := exchanger.New()
	handle := func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, okResponse(r.Header.Get(idHeader), "a"))
		return err == nil
	}
	var last *endpoint
	for range 6 {
		last = listen(t, handle)
		if a := x.Do(context.Background(), newCall(last, "1")); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	x.TrimIdle(2)
	if open, idle := x.Connections(); open != 2 || idle != 2 {
		t.Errorf("%d connections are open and %d idle, want 2", open, idle)
	}
	if !x.HasIdle(last.address, false) {
		t.Error("the most recently used connection was closed")
	}
}
