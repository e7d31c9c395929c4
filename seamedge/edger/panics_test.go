package edger

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/limiter"
)

// idleConn is a connection on which nothing happens.
type idleConn struct{ *net.TCPConn }

// Readable implements limiter.Conn.
func (idleConn) Readable() bool { return false }

// Guards against LOST: a panic after an answer has been written must not cost the caller the
// answer, and one before it must not close the connection without any.
func TestPanicCostsNoAnswer(t *testing.T) {
	deliver := func(e *Edge, w http.ResponseWriter, req *callerRequest) {
		e.deliver(w, req, &exchanger.Result{Status: http.StatusOK, Body: []byte("whole")})
	}
	for name, c := range map[string]struct {
		before func(e *Edge, w http.ResponseWriter, req *callerRequest)
		status int
		body   string
	}{
		"after the answer": {deliver, http.StatusOK, "whole"},
		"before any attempt": {
			func(*Edge, http.ResponseWriter, *callerRequest) {}, http.StatusServiceUnavailable, "125 InternalError\n",
		},
		"after an attempt": {
			func(_ *Edge, _ http.ResponseWriter, req *callerRequest) { req.lastSend = conductor.Send{Attempt: 1} },
			http.StatusBadGateway, "125 InternalError\n",
		},
		"amid the answer": {
			func(e *Edge, w http.ResponseWriter, req *callerRequest) {
				deliver(e, w, req)
				req.progress = answerBegun
			}, 0, "",
		},
	} {
		e := New(Settings{}, io.Discard)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			account, _ := limiter.New(1 << 20).Open(idleConn{&net.TCPConn{}})
			req := &callerRequest{requestID: "1", request: r, account: account}
			defer func() { e.handlePanic(w, req, recover()) }()
			c.before(e, w, req)
			panic(errors.New("fault"))
		}))
		resp, err := http.Get(server.URL)
		status, body := 0, ""
		if err == nil {
			data, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, body = resp.StatusCode, string(data)
		}
		server.Close()
		if status != c.status || body != c.body || e.metrics.panics.Get() != 1 {
			t.Errorf("%s: got status %d and %q, %v, counted %d", name, status, body, err, e.metrics.panics.Get())
		}
	}
}
