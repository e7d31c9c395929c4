package exchanger_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"primroseseam.org/seamedge/exchanger"
)

// refuser is an endpoint that refuses the first request on each connection with status 421,
// and writes a copy of that refusal before its answer to each later request there.
type refuser struct {
	mu       sync.Mutex
	refusals map[net.Conn]string
	runs     map[string]int
}

// ran returns how many times a request ran.
func (f *refuser) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *refuser) handle(c net.Conn, r *http.Request, _ int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Header.Get(idHeader)
	refusal, repeated := f.refusals[c]
	if !repeated {
		f.refusals[c] = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
		_, _ = io.WriteString(c, f.refusals[c])
		return true
	}
	f.runs[id]++
	_, _ = io.WriteString(c, refusal+okResponse(id, "answer"))
	return true
}

// Guards against TWICE: a late copy of the refusal of a request's first attempt must not be
// taken for the answer to its second attempt, which the endpoint runs.
func TestLateCopyOfARefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	f := &refuser{refusals: map[net.Conn]string{}, runs: map[string]int{}}
	e := listen(t, f.handle)
	x := exchanger.New()
	for attempt := range 3 {
		a := x.Do(t.Context(), newCall(e, "1"))
		if a.Err != nil || a.ConnectionReused || a.Status != http.StatusMisdirectedRequest || f.ran("1") != 0 {
			t.Errorf("attempt %d: got status %d, %v, reused %v and %d runs, want a refusal on a connection that never carried the request",
				attempt, a.Status, a.Err, a.ConnectionReused, f.ran("1"))
		}
	}
	// The copies have another ID than a later request, which may use these connections.
	a := x.Do(t.Context(), newCall(e, "2"))
	if a.Err != nil || !a.ConnectionReused || a.Status != http.StatusOK || a.SkippedResponses != 1 || f.ran("2") != 1 {
		t.Errorf("another request: got %+v, want its answer after one skipped response", a)
	}
}

// Guards against memory that grows with a connection's age.
func TestConnectionsAreClosedAfterManyRequests(t *testing.T) {
	const requests = 2000
	e := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, okResponse(r.Header.Get(idHeader), "a"))
		return true
	})
	x := exchanger.New()
	for n := range requests {
		if a := x.Do(t.Context(), newCall(e, fmt.Sprint(n))); a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	if n := e.connections.Load(); n < 2 || n > 8 {
		t.Errorf("%d connections for %d requests, want 2 to 8", n, requests)
	}
}

// Guards against UNASKED: text from outside must not add lines to a request.
func TestHeadsThatWouldArriveChangedAreNotSent(t *testing.T) {
	e := listen(t, func(net.Conn, *http.Request, int) bool { return false })
	for name, change := range map[string]func(*exchanger.Call){
		"header value": func(c *exchanger.Call) { c.Header.Set("Team", "a\r\nX-Evil: 1") },
		"header name":  func(c *exchanger.Call) { c.Header["X-Evil: 1\r\nTeam"] = []string{"a"} },
		"method":       func(c *exchanger.Call) { c.Method = "GET / HTTP/1.1\r\nX-Evil: 1\r\n\r\nGET" },
		"target":       func(c *exchanger.Call) { c.URI = "/x HTTP/1.1\r\nX-Evil: 1" },
		"host":         func(c *exchanger.Call) { c.Host = "h\nX-Evil: 1" },
	} {
		call := newCall(e, "1")
		change(&call)
		if a := exchanger.New().Do(t.Context(), call); !errors.Is(a.Err, exchanger.ErrInvalidCall) || a.MaybeSent {
			t.Errorf("%s: got %v, may be sent %v", name, a.Err, a.MaybeSent)
		}
	}
	if n := e.requests.Load(); n > 0 {
		t.Errorf("%d requests arrived", n)
	}
}
