package exchanger_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seamedge/exchanger"
)

const (
	endpointHeader = "Instance-Id"
	probePath      = "/health"
)

// probed answers probes with the ID of the endpoint, and requests with their own. It closes
// connections that are idle for longer than idleSeconds, and writes late before each answer to a
// request other than the first on its connection.
func probed(idleSeconds int, late string) handler {
	return func(c net.Conn, r *http.Request, n int) bool {
		extra := late
		if n == 1 {
			extra = ""
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(idleSeconds) * time.Second))
		keepAlive := fmt.Sprintf("Keep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n", idleSeconds)
		if r.URL.Path == probePath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: e-1\r\n%s", endpointHeader, keepAlive)
			return true
		}
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s", extra, idHeader, r.Header.Get(idHeader), keepAlive)
		return true
	}
}

func newProbe(e *endpoint) exchanger.Probe {
	return exchanger.Probe{Address: e.address, URI: probePath, IDHeader: endpointHeader, ID: "e-1", Deadline: time.Now().Add(2 * time.Second)}
}

// Guards against requests that have to open a connection to a far endpoint: probes keep the one
// that is there from being closed as idle.
func TestProbesKeepConnectionsOpen(t *testing.T) {
	e := listen(t, probed(1, ""))
	x := exchanger.New(exchanger.WithMinKeptDialTime(0))
	x.Do(t.Context(), newCall(e, "1"))
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if slices.Contains(x.DueProbes(), e.address) {
			if err := x.KeepAlive(t.Context(), newProbe(e)); err != nil {
				t.Fatal(err)
			}
		}
		x.PruneIdle()
	}
	if a := x.Do(t.Context(), newCall(e, "2")); a.Err != nil || !a.ConnectionReused {
		t.Errorf("after 2.5 s with probes: %+v", a)
	}
	if n := e.connections.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// A connection that was opened in little time gets no probes.
func TestConnectionsThatOpenFastGetNoProbes(t *testing.T) {
	e := listen(t, probed(0, ""))
	x := exchanger.New(exchanger.WithMinKeptDialTime(time.Minute))
	x.Do(t.Context(), newCall(e, "1"))
	if due := x.DueProbes(); len(due) > 0 {
		t.Errorf("due for a probe: %v", due)
	}
	if err := x.KeepAlive(t.Context(), exchanger.Probe{Address: "127.0.0.1:1", URI: probePath, Deadline: time.Now().Add(time.Second)}); err != nil {
		t.Errorf("without a connection: %v", err)
	}
}

// Guards against MIXED and TWICE: a late copy of the response to a probe is not taken for the
// answer to a request, nor the late copy of an answer for the response to a probe.
func TestResponsesToProbesAndRequestsAreToldApart(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\n" + endpointHeader + ": e-1\r\nContent-Length: 0\r\n\r\n"
	e := listen(t, probed(9, late))
	x := exchanger.New(exchanger.WithMinKeptDialTime(0))
	_ = x.Do(t.Context(), newCall(e, "1"))
	if err := x.KeepAlive(t.Context(), newProbe(e)); err != nil {
		t.Fatal(err)
	}
	if a := x.Do(t.Context(), newCall(e, "2")); a.Err != nil || a.SkippedResponses != 1 || a.Header.Get(idHeader) != "2" {
		t.Errorf("after a probe: %+v", a)
	}

	other := listen(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path != probePath {
			_, _ = io.WriteString(c, okResponse(r.Header.Get(idHeader), ""))
			return true
		}
		_, _ = io.WriteString(c, okResponse("1", "")+"HTTP/1.1 200 OK\r\n"+endpointHeader+": another\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	_ = x.Do(t.Context(), newCall(other, "1"))
	if err := x.KeepAlive(t.Context(), newProbe(other)); err == nil {
		t.Error("the response of another endpoint was taken for the one to the probe")
	}
	if x.HasIdle(other.address, false) {
		t.Error("the connection is kept after a probe without a response")
	}
}
