package exchanger_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seamedge/exchanger"
)

// invalidResponses holds bytes that are no valid response to the request with the ID 1, and what
// makes them invalid.
var invalidResponses = map[string]struct {
	raw   string
	fault exchanger.ResponseFault
}{
	"status 000":               {"HTTP/1.1 000 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status 001":               {"HTTP/1.1 001 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status 099":               {"HTTP/1.1 099 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status +20":               {"HTTP/1.1 +20 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status 600":               {"HTTP/1.1 600 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status 999":               {"HTTP/1.1 999 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"status 101":               {"HTTP/1.1 101 Switching\r\nRequest-Id: 1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", exchanger.InvalidStatus},
	"status 1000":              {"HTTP/1.1 1000 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"status -10":               {"HTTP/1.1 -10 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"status 20":                {"HTTP/1.1 20 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"status abc":               {"HTTP/1.1 abc OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"no status":                {"HTTP/1.1\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"another version":          {"HTTP/2.0 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.MalformedResponse},
	"no HTTP":                  {"garbage garbage\r\n\r\n", exchanger.MalformedResponse},
	"field without colon":      {"HTTP/1.1 200 OK\r\nRequest-Id 1\r\n\r\n", exchanger.MalformedResponse},
	"length that is no number": {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: x\r\n\r\n", exchanger.MalformedResponse},
	"malformed chunk":          {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", exchanger.MalformedResponse},
	"long head":                {"HTTP/1.1 200 OK\r\nName: " + strings.Repeat("a", 80<<10) + "\r\n\r\n", exchanger.HeadTooLong},
	"interim and end":          {"HTTP/1.1 103 Early Hints\r\n\r\n", exchanger.InterimLast},
	"interim and status 000":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"many interim":             {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4), exchanger.TooManyResponses},
	"not run, status 000":      {"HTTP/1.1 000 OK\r\nRequest-Id: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", exchanger.InvalidStatus},
	"success without ID":       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", exchanger.MissingRequestID},
	"encoded":                  {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", exchanger.EncodedBody},
}

// Guards against MIXED: bytes that are no valid response must be one kind of failure, with a short
// request, a long one whose body is streamed, and on a new and a kept connection.
func TestWhatIsNoResponseIsOneTypedFailure(t *testing.T) {
	for name, c := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(conn net.Conn, r *http.Request, _ int) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				if id := r.Header.Get(idHeader); id != "1" {
					_, _ = io.WriteString(conn, okResponse(id, "whole"))
					return true
				}
				_, _ = io.WriteString(conn, c.raw)
				return false
			})
			x := exchanger.New()
			streamed := newCall(e, "1")
			streamed.Method, streamed.BodyLength, streamed.BodyRemainder = http.MethodPost, 64<<10, strings.NewReader(strings.Repeat("a", 64<<10))
			for kind, call := range map[string]exchanger.Call{"short": newCall(e, "1"), "streamed": streamed} {
				if a := x.Do(t.Context(), newCall(e, "before "+kind)); a.Err != nil {
					t.Fatal(a.Err)
				}
				if c.fault == exchanger.MissingRequestID {
					// On a kept connection it would count as one to an earlier request.
					x.CloseIdle(e.address)
				}
				a := x.Do(t.Context(), call)
				var invalid *exchanger.ResponseError
				if !errors.As(a.Err, &invalid) || invalid.Fault() != c.fault || !a.MaybeSent || a.Status != 0 {
					t.Errorf("%s: got %+v, want the fault %v", kind, a, c.fault)
				}
			}
		})
	}
}

// A probe whose response is none must close the connection, like one without a response.
func TestProbeWithoutValidResponseClosesTheConnection(t *testing.T) {
	e := listen(t, func(conn net.Conn, r *http.Request, _ int) bool {
		response := okResponse(r.Header.Get(idHeader), "whole")
		if r.URL.Path == "/health" {
			response = "HTTP/1.1 000 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = io.WriteString(conn, response)
		return true
	})
	x := exchanger.New()
	if a := x.Do(t.Context(), newCall(e, "1")); a.Err != nil {
		t.Fatal(a.Err)
	}
	err := x.KeepAlive(t.Context(), exchanger.Probe{
		Address: e.address, URI: "/health", IDHeader: "Instance-Id", ID: "i-1", Deadline: time.Now().Add(time.Second),
	})
	var invalid *exchanger.ResponseError
	if !errors.As(err, &invalid) || invalid.Fault() != exchanger.InvalidStatus {
		t.Errorf("got %v, want an invalid status", err)
	}
	if open, idle := x.Connections(); open != 0 || idle != 0 {
		t.Errorf("%d connections are open, %d of them idle", open, idle)
	}
}
