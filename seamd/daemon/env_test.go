package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/responder"
	"primroseseam.org/standin/storekeeper"
)

const loopback = "127.0.0.1:0"

// testEnv is a running daemon with one upstream and a store. runResult receives the
// result of Run.
type testEnv struct {
	daemon    *daemon.Daemon
	upstream  string
	apiKey    string
	stop      context.CancelFunc
	runResult chan error
}

func newTestEnv(t testing.TB, upstream *responder.FakeUpstream, opts ...daemon.Option) *testEnv {
	t.Helper()
	platform := httptest.NewServer(storekeeper.New())
	t.Cleanup(platform.Close)
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	env := &testEnv{upstream: server.Listener.Addr().String(), runResult: make(chan error, 1)}
	env.writeConfigAndKey(t, storer.NewHTTP(platform.URL))
	settings := loader.Settings{
		Instance: loader.Instance{ID: "a", Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: platform.URL},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(linger), Timeout: configurer.Duration(10 * time.Second)},
		Seed:     1,
	}
	d, err := daemon.New(settings, append([]daemon.Option{daemon.WithLogger(zap.NewNop())}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	env.daemon = d
	ctx, stop := context.WithCancel(context.Background())
	env.stop = stop
	go func() { env.runResult <- d.Run(ctx) }()
	t.Cleanup(d.Kill)
	env.awaitReady(t)
	return env
}

// writeConfigAndKey writes the configuration and a key of the team crew to the store.
func (env *testEnv) writeConfigAndKey(t testing.TB, store storer.Store) {
	t.Helper()
	endpoint := configurer.Endpoint{Address: env.upstream, Region: "west", FailureDomain: "west-a", Slots: 1000, MaxConnections: 1000}
	doc := configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 1,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services:  []configurer.Service{{Name: "lessons", Timeout: configurer.Duration(10 * time.Second), Endpoints: []configurer.Endpoint{endpoint}}},
		Routes:    []configurer.Route{{PathPrefix: "/lessons/", Service: "lessons", OpenToAll: true}},
		Teams:     []configurer.Team{{Name: "crew", RatePerSecond: 1e6, Burst: 1e6, Weight: 1}},
	}}
	apiKey, record, err := authenticator.Issue("crew", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	env.apiKey = apiKey
	put(t, store, storer.KindConfig, storer.ConfigName, doc)
	put(t, store, storer.KindKey, record.Digest.String(), record)
}

func put(t testing.TB, store storer.Store, kind storer.Kind, name string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(context.Background(), storer.Object{Kind: kind, Name: name, Value: data}); err != nil {
		t.Fatal(err)
	}
}

func (env *testEnv) awaitReady(t testing.TB) {
	t.Helper()
	for range 500 {
		if resp, err := env.send(http.DefaultClient, strings.NewReader("ready")); err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the daemon never became ready")
}

// send sends a request to the daemon and reads the whole answer.
func (env *testEnv) send(client *http.Client, body io.Reader) (*http.Response, error) {
	return exchange(client, "http://"+env.daemon.CallerAddress()+"/lessons/1", env.apiKey, body)
}

// exchange sends a POST request with an API key and reads the whole answer. It returns
// the response without its body.
func exchange(client *http.Client, url, apiKey string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
