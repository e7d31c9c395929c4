package heartbeater_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"primroseseam.org/seam/follower"
	"primroseseam.org/seamedge/heartbeater"
)

// bufferBytes is the size of the kernel's buffers of a connection, so that a response that isn't read
// doesn't end.
const bufferBytes = 4 << 10

// incompressible returns a JSON string of about a number of bytes.
func incompressible(bytes int) json.RawMessage {
	data := make([]byte, bytes*3/4)
	for n := range data {
		data[n] = byte(rand.Uint32())
	}
	text, _ := json.Marshal(data)
	return text
}

// copiesServer starts an instance that has a large object of the kind "large" and a small one of the kind
// "small", and returns its address.
func copiesServer(t *testing.T, largeBytes int) string {
	specs := map[string]json.RawMessage{"large": incompressible(largeBytes), "small": json.RawMessage(`{}`)}
	path, handler := heartbeater.Handler(func(r heartbeater.CopyRequest) heartbeater.CopyResponse {
		var response heartbeater.CopyResponse
		for kind := range r.Positions {
			response.Deltas = append(response.Deltas, follower.Delta{Kind: kind, Objects: []follower.Object{{Name: kind, Spec: specs[kind]}}})
		}
		return response
	})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// fetch fetches the objects of a kind, and returns the error and how long it took.
func fetch(t *testing.T, address, kind string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	_, err := heartbeater.FetchCopies(ctx, heartbeater.NewClient(), address, heartbeater.CopyRequest{Positions: map[string]uint64{kind: 0}})
	return time.Since(start), err
}

// Guards against DRAIN on days of large changes: an instance must not send large copies to all others at
// once, must refuse those it has no time for at once, and must send small changes meanwhile.
// Callers that stand still must not keep others out for long.
func TestLargeCopiesAreSentToFewAtATime(t *testing.T) {
	const (
		largeBytes = 1 << 20
		atOnce     = 500 * time.Millisecond
		freeAfter  = 5 * time.Second
	)
	address := copiesServer(t, largeBytes)
	body := `{"positions":{"large":0}}`
	for range 2 {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := c.(*net.TCPConn).SetReadBuffer(bufferBytes); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST /seam.edge.v1.Copies/Copy HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		// The response has begun then.
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	if took, err := fetch(t, address, "large"); !errors.Is(err, heartbeater.ErrBusy) || took > atOnce {
		t.Errorf("the third large copy: %v after %v, want %v at once", err, took, heartbeater.ErrBusy)
	}
	if _, err := fetch(t, address, "small"); err != nil {
		t.Errorf("a small copy: %v", err)
	}
	for start := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		_, err := fetch(t, address, "large")
		if err == nil {
			break
		}
		if !errors.Is(err, heartbeater.ErrBusy) || time.Since(start) > freeAfter {
			t.Fatalf("%v after %v", err, time.Since(start))
		}
	}
}
