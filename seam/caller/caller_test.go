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

// instances answers look-ups and requests as a few entry instances would.
type instances struct {
	mu      sync.Mutex
	lookups int
	ticket  string
	ttl     time.Duration
	names   []string
	// reply answers the n-th request, counted from 0.
	reply   func(n int, w http.ResponseWriter)
	servers []*httptest.Server
}

func newInstances(t testing.TB, count int, reply func(n int, w http.ResponseWriter)) *instances {
	i := &instances{ttl: time.Minute, reply: reply}
	for range count {
		server := httptest.NewServer(i)
		t.Cleanup(server.Close)
		i.servers = append(i.servers, server)
	}
	return i
}

// ServeHTTP implements http.Handler.
func (i *instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.URL.Path == "/v1/entries" {
		i.lookups++
		var list []string
		for n, s := range i.servers {
			list = append(list, fmt.Sprintf(`{"id":"i%d","address":%q}`, n, strings.TrimPrefix(s.URL, "http://")))
		}
		_, _ = fmt.Fprintf(w, `{"instances":[%s],"ttlNanoseconds":%d,"ticket":%q}`, strings.Join(list, ","), i.ttl, i.ticket)
		return
	}
	i.names = append(i.names, r.Header.Get("Seam-Name"))
	i.reply(len(i.names)-1, w)
}

// seen returns the names of the requests so far.
func (i *instances) seen() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.names)
}

func (i *instances) setReply(reply func(n int, w http.ResponseWriter)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reply = reply
}

func refuse(w http.ResponseWriter, code coder.Code, notRun string, retry time.Duration) {
	w.Header().Set("Seam-Code", fmt.Sprint(int(code)))
	w.Header().Set("Seam-Not-Run", notRun)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"retryAfterMs":%d}`, retry.Milliseconds())
}

func TestTriesAgainOnlyWhereItIsSafe(t *testing.T) {
	cut := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	answer := func(code coder.Code, notRun string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { refuse(w, code, notRun, 0) }
	}
	for _, c := range []struct {
		name       string
		first      func(http.ResponseWriter)
		idempotent bool
		ticket     string
		tries      int
		code       coder.Code
	}{
		{"not run", answer(coder.Stopping, "true"), false, "", 2, coder.OK},
		{"stale keys", answer(coder.KeyEvidenceStale, "true"), false, "", 2, coder.OK},
		{"unknown key", answer(coder.KeyUnknown, "true"), true, "", 1, coder.KeyUnknown},
		{"may have run", answer(coder.UpstreamTimeout, "unknown"), false, "", 1, coder.UpstreamTimeout},
		{"may have run, idempotent", answer(coder.UpstreamTimeout, "unknown"), true, "", 2, coder.OK},
		{"cut", cut, false, "", 1, coder.OutcomeUnknown},
		{"cut, idempotent", cut, true, "", 2, coder.OK},
		{"cut, with a ticket", cut, false, "ticket", 2, coder.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := newInstances(t, 2, func(n int, w http.ResponseWriter) {
				if n == 0 {
					c.first(w)
				}
			})
			i.ticket = c.ticket
			client := caller.New([]string{i.servers[0].URL}, caller.WithKey("k"))
			_, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/a", Idempotent: c.idempotent})
			names := i.seen()
			if code := codeOf(err); code != c.code || len(names) != c.tries {
				t.Fatalf("%d tries, code %v, error %v", len(names), code, err)
			}
			for _, name := range names {
				if name != names[0] || (name == "") != (c.ticket == "") || !strings.HasPrefix(name, c.ticket) {
					t.Errorf("names %q", names)
				}
			}
		})
	}
}

func codeOf(err error) coder.Code {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal.Code()
	}
	return coder.CodeOf(err)
}

func TestLookUpsAreCachedAndHintsFollowed(t *testing.T) {
	i := newInstances(t, 1, func(n int, w http.ResponseWriter) {
		if n == 0 {
			refuse(w, coder.TeamOverRate, "true", 300*time.Millisecond)
		}
	})
	i.ticket = "ticket"
	client := caller.New([]string{i.servers[0].URL}, caller.WithKey("k"))
	started := time.Now()
	names := map[string]bool{}
	for range 5 {
		answer, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/a"})
		if err != nil {
			t.Fatal(err)
		}
		names[answer.Name] = true
	}
	if took := time.Since(started); took < 300*time.Millisecond {
		t.Errorf("the hint of 300 ms was not followed: %v", took)
	}
	if i.lookups != 1 || len(names) != 5 {
		t.Errorf("%d look-ups, %d names for 5 requests", i.lookups, len(names))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	i.setReply(func(_ int, w http.ResponseWriter) { refuse(w, coder.TeamOverRate, "true", time.Second) })
	if _, err := client.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/a"}); codeOf(err) != coder.TeamOverRate {
		t.Errorf("got %v", err)
	}
}

func ExampleClient_Do() {
	fleet := &instances{ttl: time.Minute, reply: func(_ int, w http.ResponseWriter) { _, _ = w.Write([]byte("stamped")) }}
	server := httptest.NewServer(fleet)
	defer server.Close()
	fleet.servers = []*httptest.Server{server}

	client := caller.New([]string{server.URL}, caller.WithKey("seam_..."), caller.WithRegion("kolkata"))
	answer, err := client.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/stamping/7"})
	fmt.Println(string(answer.Body), err)
	// Output: stamped <nil>
}
