package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/responder"
	"primroseseam.org/standin/storekeeper"
)

const (
	anyPort   = "127.0.0.1:0"
	readyWait = 10 * time.Second
)

// testFleet is a region of daemons that listen on loopback ports, with upstreams and a
// store.
type testFleet struct {
	t      testing.TB
	keeper *storekeeper.FakeStore
	store  storer.Store
	url    string
	secret string
	// secretFile holds the shared secret with which instances authenticate each other.
	secretFile string
	linger     time.Duration
	daemons    []*daemon.Daemon
	stops      []func()

	mu   sync.Mutex
	seen []responder.ObservedRequest
}

// newTestFleet starts the given number of daemons in front of the upstreams and waits
// until they are ready. If there are fewer than two upstreams, it adds responders.
func newTestFleet(t testing.TB, daemons int, upstreams ...http.Handler) *testFleet {
	t.Helper()
	r := &testFleet{t: t, keeper: storekeeper.New(), linger: 50 * time.Millisecond}
	r.url = r.serve(r.keeper)
	r.secretFile = filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(r.secretFile, []byte(strings.Repeat("s", 40)), 0o600); err != nil {
		t.Fatal(err)
	}
	r.store = storer.NewHTTP(r.url)
	for range 2 {
		if len(upstreams) < 2 {
			upstreams = append(upstreams, responder.New(responder.WithSlots(3),
				responder.WithWork(20*time.Millisecond), responder.WithObserver(r.observe)))
		}
	}
	r.configure(upstreams)
	for i := range daemons {
		r.start(i)
	}
	r.awaitReady(daemons)
	return r
}

func (r *testFleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(s.Close)
	return s.URL
}

// observe records the starts of requests at the responders, which also report their
// ends.
func (r *testFleet) observe(s responder.ObservedRequest) {
	if s.Ended {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, s)
}

// requests returns the requests that the responders have received since all daemons were
// ready.
func (r *testFleet) requests() []responder.ObservedRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]responder.ObservedRequest(nil), r.seen...)
}

func (r *testFleet) put(kind storer.Kind, name string, value any) {
	r.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.store.Put(context.Background(), storer.Object{Kind: kind, Name: name, Value: data}); err != nil {
		r.t.Fatal(err)
	}
}

// configure writes the configuration and a team's key to the store.
func (r *testFleet) configure(upstreams []http.Handler) {
	svc := configurer.Service{Name: "svc", Timeout: configurer.Duration(20 * time.Second)}
	for _, h := range upstreams {
		svc.Endpoints = append(svc.Endpoints, configurer.Endpoint{
			Address: strings.TrimPrefix(r.serve(h), "http://"), Region: "west", FailureDomain: "west-a",
			Slots: 3, MaxConnections: 60,
		})
	}
	r.put(storer.KindConfig, storer.ConfigName, configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 3,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services:  []configurer.Service{svc},
		Routes:    []configurer.Route{{PathPrefix: "/", Service: "svc", OpenToAll: true}},
		Teams:     []configurer.Team{{Name: "crew", RatePerSecond: 3000, Burst: 3000, Weight: 1}},
	}})
	secret, record, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		r.t.Fatal(err)
	}
	r.secret = secret
	r.put(storer.KindKey, record.Digest.String(), record)
}

// start starts daemon i and adds it to the platform's instance list.
func (r *testFleet) start(i int) {
	r.t.Helper()
	settings := loader.Settings{
		Security: loader.Security{PeerSecretFile: r.secretFile},
		Instance: loader.Instance{ID: fmt.Sprint("seamd-", i), Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: anyPort, Lookups: anyPort, Peers: anyPort, Metrics: anyPort},
		Platform: loader.Platform{Address: r.url},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(r.linger), Timeout: configurer.Duration(10 * time.Second)},
	}
	d, err := daemon.New(settings)
	if err != nil {
		r.t.Fatal(err)
	}
	r.keeper.SetInstance(storer.Instance{
		ID: settings.Instance.ID, Region: "west", FailureDomain: "west-a", CallerAddress: d.CallerAddress(),
		LookupAddress: d.LookupAddress(), PeerAddress: d.PeerAddress(), State: storer.InstanceLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	stop := func() { cancel(); <-done }
	r.t.Cleanup(stop)
	r.daemons = append(r.daemons, d)
	r.stops = append(r.stops, stop)
}

// awaitReady waits until every daemon lists all daemons, issues tickets and serves
// requests.
func (r *testFleet) awaitReady(daemons int) {
	r.t.Helper()
	deadline := time.Now().Add(readyWait)
	for i := range r.daemons {
		for {
			a := r.lookUp(i)
			answer := r.send(i, "/ready", "", nil)
			if len(a.Instances) == daemons && a.Ticket != "" && answer.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				r.t.Fatalf("instance %d is not ready: %+v, %+v", i, a, answer)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = nil
}

// lookUp asks daemon i which instances to use. It returns an empty answer if that fails.
func (r *testFleet) lookUp(i int) steerer.Answer {
	var a steerer.Answer
	resp, err := http.Get("http://" + r.daemons[i].LookupAddress() + "/v1/entries")
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&a)
	return a
}

// reply is the response that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a POST request to daemon i, under a name unless that is empty. headers
// alternates names and values.
func (r *testFleet) send(i int, path, name string, body io.Reader, headers ...string) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.daemons[i].CallerAddress()+path, body)
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.secret)
	if name != "" {
		req.Header.Set("Seam-Name", name)
	}
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Add(headers[k], headers[k+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var data bytes.Buffer
	_, err = io.Copy(&data, resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: data.String(), err: err}
}
