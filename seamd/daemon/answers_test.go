package daemon_test

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/standin/responder"
)

// echoHash returns an upstream that answers with the digest of the request's body in a
// header and with a body of answerBytes bytes.
func echoHash(answerBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		digest := sha256.New()
		_, _ = io.Copy(digest, r.Body)
		w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
		w.Header().Set("Digest", hex.EncodeToString(digest.Sum(nil)))
		_, _ = io.Copy(w, io.LimitReader(rand.NewChaCha8([32]byte{1}), answerBytes))
	})
}

// TestLargeBodiesPassInBoundedMemory sends a large body through each of two instances and
// receives a large answer. The heap must grow by less than half a body, which fails if
// bodies are buffered completely.
func TestLargeBodiesPassInBoundedMemory(t *testing.T) {
	const size = 48 << 20
	fleet := newTestFleet(t, 2, echoHash(size), echoHash(size))
	var peak atomic.Uint64
	var base runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&base)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak.Store(max(peak.Load(), m.HeapInuse))
			}
		}
	}()
	for i := range 2 {
		sent := sha256.New()
		body := io.TeeReader(io.LimitReader(rand.NewChaCha8([32]byte{2}), size), sent)
		req, _ := http.NewRequest(http.MethodPost, "http://"+fleet.daemons[i].CallerAddress()+"/large", body)
		req.Header.Set("Authorization", "Bearer "+fleet.apiKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if n != size || err != nil || resp.Header.Get("Digest") != hex.EncodeToString(sent.Sum(nil)) {
			t.Errorf("instance %d: %d bytes came back, %v", i, n, err)
		}
	}
	close(done)
	growth := int64(peak.Load()) - int64(base.HeapInuse)
	t.Logf("heap grew by %d MB while bodies of %d MB passed both ways", growth>>20, size>>20)
	if growth > size/2 {
		t.Errorf("heap grew by %d MB", growth>>20)
	}
}

// TestKeysAndSystemHeadersAreNotForwarded checks that upstreams receive neither the
// caller's key, in whatever header the caller sent it, nor headers that only the system
// may set.
func TestKeysAndSystemHeadersAreNotForwarded(t *testing.T) {
	fleet := newTestFleet(t, 2)
	for i := range 2 {
		a := fleet.send(i, "/clean", "", strings.NewReader("x"), "X-Copy", fleet.apiKey, "Cookie", "key="+fleet.apiKey,
			"Seam-Team", "others", "seam-request-id", "7", "Connection", "X-Drop", "X-Drop", "1", "X-Keep", "2")
		if a.status != http.StatusOK {
			t.Fatalf("got %+v", a)
		}
		if a := fleet.send(i, "/clean?k="+fleet.apiKey, "", nil); a.header.Get("Seam-Code") != "104" {
			t.Errorf("a key in the query: %+v", a)
		}
		if a := fleet.send(i, "/clean", "", nil, "Connection", "Authorization"); a.header.Get("Seam-Code") != "104" {
			t.Errorf("Connection names Authorization: %+v", a)
		}
	}
	for _, s := range fleet.requests() {
		for field, values := range s.Headers {
			if strings.Contains(strings.Join(values, " "), fleet.apiKey) || field == "X-Drop" {
				t.Errorf("header %s was forwarded", field)
			}
		}
		if s.Team != "crew" || s.RequestID == "7" || s.Headers.Get("X-Keep") != "2" {
			t.Errorf("got %+v", s)
		}
	}
}

// rawUpstream is an upstream whose answer function writes the raw bytes of each answer to
// the connection.
type rawUpstream struct{ answer func(net.Conn, *http.Request) }

// ServeHTTP implements http.Handler.
func (u rawUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	u.answer(conn, r)
}

// TestBrokenAnswersAreNotReportedAsComplete sends requests to upstreams that give
// truncated or malformed answers. The caller must get an error, and the error must not
// state that the request didn't run. The requests aren't idempotent, so they must not be
// sent again.
func TestBrokenAnswersAreNotReportedAsComplete(t *testing.T) {
	id := func(r *http.Request) string { return "Seam-Request-Id: " + r.Header.Get("Seam-Request-Id") + "\r\n" }
	long := strings.Repeat("x", 200<<10)
	var invalidStatuses []string
	cases := map[string]func(*http.Request) string{
		"truncated": func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + id(r) + "Content-Length: 10\r\n\r\nshort" },
		"chunks": func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"
		},
		"undelimited": func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + id(r) + "Connection: close\r\n\r\nshort" },
		"crossed": func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nSeam-Request-Id: other\r\nContent-Length: 2\r\n\r\nok"
		},
		"crossedRefusal": func(*http.Request) string {
			return "HTTP/1.1 503 Service Unavailable\r\nSeam-Request-Id: other\r\nUpstream-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		},
		"refusalWithoutID": func(*http.Request) string {
			return "HTTP/1.1 503 Service Unavailable\r\nUpstream-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		},
		"longCut": func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + "Content-Length: 999999\r\n\r\n" + long
		},
		"header": func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + id(r) + "X: " + long + "\r\n\r\n" },
		"lost":   func(*http.Request) string { return "" },
	}
	// Guards against MIXED: a status that is none was passed to the server of the callers, which
	// panics, or to the caller; a refusal with such a status counted as not run.
	for _, status := range []string{"000", "099", "+20", "600", "999", "101"} {
		cases["status"+status] = func(r *http.Request) string {
			return "HTTP/1.1 " + status + " OK\r\n" + id(r) + "Content-Length: 2\r\n\r\nok"
		}
		cases["refusal"+status] = func(r *http.Request) string {
			return "HTTP/1.1 " + status + " OK\r\n" + id(r) + "Upstream-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
		}
		invalidStatuses = append(invalidStatuses, "status"+status, "refusal"+status)
	}
	var kind atomic.Value
	var runs atomic.Int64
	u := rawUpstream{answer: func(c net.Conn, r *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(c, cases[kind.Load().(string)](r))
	}}
	fleet := newTestFleet(t, 2, u, u)
	for name := range cases {
		kind.Store(name)
		for i := range 2 {
			runs.Store(0)
			a := fleet.send(i, "/x", "", strings.NewReader("body"))
			if a.err == nil && (a.status == http.StatusOK || a.header.Get("Seam-Not-Run") == "true") {
				t.Errorf("%s: status %d, not run %q", name, a.status, a.header.Get("Seam-Not-Run"))
			}
			if slices.Contains(invalidStatuses, name) && (a.err != nil || a.status != http.StatusBadGateway) {
				t.Errorf("%s: status %d, %v, want 502", name, a.status, a.err)
			}
			if n := runs.Load(); n != 1 {
				t.Errorf("%s: a non-idempotent request ran %d times", name, n)
			}
		}
	}
}

// TestTransportNeverSendsTwice has the upstream break a connection on the second request.
// After such a failure, Go's HTTP client sends a GET request, or one with an
// Idempotency-Key, again by itself. The forwarder must prevent this.
func TestTransportNeverSendsTwice(t *testing.T) {
	var receivedRequests atomic.Int64
	u := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receivedRequests.Add(1)
		w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
	})
	fleet := newTestFleet(t, 1, u, u)
	for k := range 10 {
		fleet.send(0, "/ok", "", nil)
		receivedRequests.Store(0)
		req, _ := http.NewRequest(http.MethodGet, "http://"+fleet.daemons[0].CallerAddress()+"/break", nil)
		req.Header.Set("Authorization", "Bearer "+fleet.apiKey)
		req.Header.Set("Idempotency-Key", "1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if n := receivedRequests.Load(); n != 1 || resp.Header.Get("Seam-Not-Run") != "unknown" {
			t.Errorf("try %d: received %d times, not run %q", k, n, resp.Header.Get("Seam-Not-Run"))
		}
	}
}

// TestCallerDisconnectCancelsUpstream checks that requests don't keep running at the
// upstream after their callers timed out and disconnected.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	slow := responder.New(responder.WithSlots(3), responder.WithWork(5*time.Second))
	fleet := newTestFleet(t, 0, slow, slow)
	fleet.start(0)
	fleet.start(1)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	deadline := time.Now().Add(readyWait)
	for slow.InUse() == 0 && time.Now().Before(deadline) {
		req, _ := http.NewRequest(http.MethodPost, "http://"+fleet.daemons[1].CallerAddress()+"/x", nil)
		req.Header.Set("Authorization", "Bearer "+fleet.apiKey)
		go func() { _, _ = client.Do(req) }()
		time.Sleep(50 * time.Millisecond)
	}
	if slow.InUse() == 0 {
		t.Fatal("no request reached the upstream")
	}
	time.Sleep(time.Second)
	if n := slow.InUse(); n > 0 {
		t.Errorf("%d requests still run after their callers disconnected", n)
	}
}

// TestSlowStreamIsForwardedAsItArrives has an upstream that sends the first part of its
// answer, and the last part only after the caller has received the first. If the daemon
// buffers the answer until its end, the first part never reaches the caller.
func TestSlowStreamIsForwardedAsItArrives(t *testing.T) {
	firstPartReceived := make(chan struct{})
	u := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seam-Request-Id", r.Header.Get("Seam-Request-Id"))
		if r.URL.Path != "/stream" {
			return
		}
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-firstPartReceived:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "last")
	})
	fleet := newTestFleet(t, 2, u, u)
	for i := range 2 {
		req, _ := http.NewRequest(http.MethodGet, "http://"+fleet.daemons[i].CallerAddress()+"/stream", nil)
		req.Header.Set("Authorization", "Bearer "+fleet.apiKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 5)
		_, err = io.ReadFull(resp.Body, first)
		if err != nil || string(first) != "first" {
			t.Fatalf("got %q, %v", first, err)
		}
		firstPartReceived <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(rest) != "last" || err != nil {
			t.Errorf("got %q, %v", rest, err)
		}
	}
}
