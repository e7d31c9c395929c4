package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"primroseseam.org/seam/caller"
	"primroseseam.org/seam/coder"
)

// fakeInstances serves lookups and requests like load balancer instances.
type fakeInstances struct {
	mu          sync.Mutex
	lookupCount int
	ticket      string
	ttl         time.Duration
	// names holds the Seam-Name header of each request.
	names []string
	// reply responds to the n-th request, counted from 0.
	reply   func(n int, w http.ResponseWriter)
	servers []*httptest.Server
}

func newFakeInstances(t testing.TB, count int, reply func(n int, w http.ResponseWriter)) *fakeInstances {
	f := &fakeInstances{ttl: time.Minute, reply: reply}
	for range count {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		f.servers = append(f.servers, server)
	}
	return f
}

// ServeHTTP implements http.Handler.
func (f *fakeInstances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/entries" {
		f.lookupCount++
		var list []string
		for n, s := range f.servers {
			list = append(list, fmt.Sprintf(`{"id":"i%d","address":%q}`, n, strings.TrimPrefix(s.URL, "http://")))
		}
		_, _ = fmt.Fprintf(w, `{"instances":[%s],"ttlNanoseconds":%d,"ticket":%q}`, strings.Join(list, ","), f.ttl, f.ticket)
		return
	}
	f.names = append(f.names, r.Header.Get("Seam-Name"))
	f.reply(len(f.names)-1, w)
}

// receivedNames returns the Seam-Name headers of all requests so far, with "" for a request
// without this header.
func (f *fakeInstances) receivedNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.names)
}

func (f *fakeInstances) setReply(reply func(n int, w http.ResponseWriter)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reply = reply
}

// refuse writes a refusal as an instance does.
func refuse(w http.ResponseWriter, code coder.Code, notRun string, retry time.Duration) {
	w.Header().Set("Seam-Code", fmt.Sprint(int(code)))
	w.Header().Set("Seam-Not-Run", notRun)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"retryAfterMs":%d}`, retry.Milliseconds())
}

// A non-idempotent request must be retried only if it was not executed, or if it has a
// name and got no response. All attempts of a request must have the same name.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	refusal := func(code coder.Code, notRun string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { refuse(w, code, notRun, 0) }
	}
	for _, c := range []struct {
		name       string
		firstReply func(http.ResponseWriter)
		idempotent bool
		ticket     string
		attempts   int
		code       coder.Code
	}{
		{"not run", refusal(coder.Stopping, "true"), false, "", 2, coder.OK},
		{"stale keys", refusal(coder.KeyEvidenceStale, "true"), false, "", 2, coder.OK},
		{"unknown key", refusal(coder.KeyUnknown, "true"), true, "", 1, coder.KeyUnknown},
		{"may have run", refusal(coder.UpstreamTimeout, "unknown"), false, "", 1, coder.UpstreamTimeout},
		{"may have run, idempotent", refusal(coder.UpstreamTimeout, "unknown"), true, "", 2, coder.OK},
		{"connection closed", abort, false, "", 1, coder.OutcomeUnknown},
		{"connection closed, idempotent", abort, true, "", 2, coder.OK},
		{"connection closed, with a ticket", abort, false, "ticket", 2, coder.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeInstances(t, 2, func(n int, w http.ResponseWriter) {
				if n == 0 {
					c.firstReply(w)
				}
			})
			f.ticket = c.ticket
			client := caller.New([]string{f.servers[0].URL}, caller.WithKey("k"))
			_, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/a", Idempotent: c.idempotent})
			names := f.receivedNames()
			if code := codeOf(err); code != c.code || len(names) != c.attempts {
				t.Fatalf("%d attempts, code %v, error %v", len(names), code, err)
			}
			for _, name := range names {
				if name != names[0] || (name == "") != (c.ticket == "") || !strings.HasPrefix(name, c.ticket) {
					t.Errorf("names %q", names)
				}
			}
		})
	}
}

// codeOf returns the code of a Refusal or of another error.
func codeOf(err error) coder.Code {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code()
	}
	return coder.CodeOf(err)
}

// A part of a response that is too long must not be returned as the whole one.
func TestTooLongResponseIsAnError(t *testing.T) {
	part := make([]byte, 1<<20)
	f := newFakeInstances(t, 1, func(_ int, w http.ResponseWriter) {
		for range 65 {
			_, _ = w.Write(part)
		}
	})
	client := caller.New([]string{f.servers[0].URL}, caller.WithKey("k"))
	response, err := client.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/a"})
	if codeOf(err) != coder.OutcomeUnknown {
		t.Errorf("%d bytes, %v; want OutcomeUnknown", len(response.Body), err)
	}
}

// Five requests must cause a single lookup. The first request is refused and must be
// retried only after the delay in its refusal. If that delay ends after the deadline of
// the request, the client must return the refusal without a retry.
func TestLookupsAreCachedAndRetryAfterIsFollowed(t *testing.T) {
	f := newFakeInstances(t, 1, func(n int, w http.ResponseWriter) {
		if n == 0 {
			refuse(w, coder.TeamOverRate, "true", 300*time.Millisecond)
		}
	})
	f.ticket = "ticket"
	client := caller.New([]string{f.servers[0].URL}, caller.WithKey("k"))
	started := time.Now()
	names := map[string]bool{}
	for range 5 {
		response, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/a"})
		if err != nil {
			t.Fatal(err)
		}
		names[response.Name] = true
	}
	if elapsed := time.Since(started); elapsed < 300*time.Millisecond {
		t.Errorf("sent 5 requests within %v although the first was refused for 300 ms", elapsed)
	}
	if f.lookupCount != 1 || len(names) != 5 {
		t.Errorf("%d lookups, %d names for 5 requests", f.lookupCount, len(names))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	f.setReply(func(_ int, w http.ResponseWriter) { refuse(w, coder.TeamOverRate, "true", time.Second) })
	if _, err := client.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/a"}); codeOf(err) != coder.TeamOverRate {
		t.Errorf("got %v", err)
	}
}

func ExampleClient_Do() {
	instances := &fakeInstances{ttl: time.Minute, reply: func(_ int, w http.ResponseWriter) { _, _ = w.Write([]byte("stamped")) }}
	server := httptest.NewServer(instances)
	defer server.Close()
	instances.servers = []*httptest.Server{server}

	client := caller.New([]string{server.URL}, caller.WithKey("seam_..."), caller.WithRegion("kolkata"))
	response, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/stamping/7"})
	fmt.Println(string(response.Body), err)
	// Output: stamped <nil>
}
