package commander_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
)

// startDaemon starts an instance, adds it to the platform's instance list and returns it.
func (c *commandTest) startDaemon(id, secretFile string) *daemon.Daemon {
	const loopback = "127.0.0.1:0"
	d, err := daemon.New(loader.Settings{
		Instance: loader.Instance{ID: id, Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: c.url},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(time.Millisecond), Timeout: configurer.Duration(time.Second)},
		Security: loader.Security{PeerSecretFile: secretFile},
	})
	if err != nil {
		c.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
	c.store.SetInstance(storer.Instance{
		ID: id, Region: "west", FailureDomain: "west-a", CallerAddress: d.CallerAddress(),
		LookupAddress: d.LookupAddress(), PeerAddress: d.PeerAddress(), State: storer.InstanceLive,
	})
	return d
}

func (c *commandTest) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.Fatal(err)
	}
	return path
}

func TestChangesWaitForEveryInstance(t *testing.T) {
	c := newCommandTest(t)
	secret := c.writeFile("secret", "a secret of the fleet, long enough for it")
	first := c.startDaemon("a", secret)
	c.startDaemon("b", secret)
	c.expect(0, "in force: b (west)", "config", "apply", c.writeConfig("a.json", 10, nil), "--peer-secret-file", secret)
	c.expect(0, "sequence 1", "config", "status")
	c.expect(0, "in force everywhere", "key", "issue", "--team", "crew", "--peer-secret-file", secret)

	c.expect(0, "accepted: 2 blocks", "clients", "publish", c.writeFile("map", "10.0.0.0/8 west\n\n10.9.0.0/16 east\n"))
	for client, want := range map[string]string{"10.1.2.3": "west", "10.9.2.3": "east"} {
		resp, err := http.Get("http://" + first.LookupAddress() + "/v1/entries?client=" + client)
		if err != nil {
			t.Fatal(err)
		}
		var answer struct {
			Region string        `json:"region"`
			TTL    time.Duration `json:"ttlNanoseconds"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || answer.Region != want || answer.TTL <= 0 {
			t.Errorf("%s: %+v, %v", client, answer, err)
		}
	}
	c.expect(3, "map:1", "clients", "publish", c.writeFile("map", "10.0.0.0/33 west\n"))
}
