package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamctl/commander"
	"primroseseam.org/standin/storekeeper"
)

// commandTest runs seamctl against a stand-in of the store.
type commandTest struct {
	*testing.T
	store *storekeeper.FakeStore
	url   string
	dir   string
}

func newCommandTest(t *testing.T) *commandTest {
	store := storekeeper.New(storekeeper.WithListLag(0))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &commandTest{T: t, store: store, url: server.URL, dir: t.TempDir()}
}

// run runs a command against the store, and returns the exit code and everything that the
// command printed. "config check" gets no store flags, since it uses no store.
func (c *commandTest) run(args ...string) (int, string) {
	var out bytes.Buffer
	if args[1] != "check" {
		args = append(args, "--platform", c.url, "--store-limit", "2s")
	}
	code := commander.Execute(context.Background(), args, &out, &out)
	return code, out.String()
}

// writeConfig writes a configuration file with one team, which has the given rate.
func (c *commandTest) writeConfig(name string, rate float64, change *configurer.Change) string {
	doc := configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 2,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{
			Name: "lessons", Timeout: configurer.Duration(time.Second),
			Endpoints: []configurer.Endpoint{{Address: "10.0.0.1:9000", Region: "west", FailureDomain: "west-a", Slots: 3, MaxConnections: 9}},
		}},
		Routes: []configurer.Route{{PathPrefix: "/lessons/", Service: "lessons", OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: rate, Burst: 5, Weight: 1}},
	}}
	data, err := json.Marshal(configurer.Stored{Document: doc, Change: change})
	if err != nil {
		c.Fatal(err)
	}
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		c.Fatal(err)
	}
	return path
}

// expect runs a command, checks its exit code and a part of its output, and returns the
// output.
func (c *commandTest) expect(want int, part string, args ...string) string {
	c.Helper()
	code, out := c.run(args...)
	if code != want || !strings.Contains(out, part) {
		c.Fatalf("%v: exit code %d, not %d with %q:\n%s", args, code, want, part, out)
	}
	return out
}

func TestExitCodesOfApply(t *testing.T) {
	c := newCommandTest(t)
	first := c.writeConfig("first.json", 10, nil)
	c.expect(0, "valid", "config", "check", first)
	c.expect(0, "accepted: sequence 1", "config", "apply", first, "--no-wait", "--id", "one")
	c.expect(0, "accepted: sequence 1", "config", "apply", first, "--no-wait", "--id", "one")

	second := c.writeConfig("second.json", 20, &configurer.Change{Sequence: 1})
	// The store applies the change but sends no response. The command reads the
	// configuration again and finds that the change was accepted.
	c.store.LoseAnswers(2)
	c.expect(0, "accepted: sequence 2", "config", "apply", second, "--no-wait")
	third := c.writeConfig("third.json", 30, &configurer.Change{Sequence: 1})
	c.expect(4, "defaults.teams[crew].ratePerSecond\t10\t20\t30", "config", "apply", third, "--no-wait")
	c.expect(0, "ratePerSecond: 20 -> 30", "config", "diff", third)
	c.expect(0, "result: {\"name\":\"crew\",\"ratePerSecond\":20", "config", "explain", "--team", "crew")
	if out := c.expect(0, "1\t", "config", "history"); strings.Count(out, "\n") != 2 {
		t.Fatalf("history:\n%s", out)
	}

	invalid := c.writeConfig("invalid.json", -1, nil)
	c.expect(3, "defaults.teams[0].ratePerSecond", "config", "apply", invalid, "--no-wait")

	// An instance that is listed but doesn't respond: the command waits for it until the
	// time limit, and reports that the change isn't in force.
	c.store.SetInstance(storer.Instance{ID: "gone", LookupAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:1", State: storer.InstanceLive})
	c.expect(5, "gone", "config", "apply", third, "--base", "2", "--in-force-limit", "300ms")
	c.store.SetDown(true)
	c.expect(7, "StoreUnavailable", "config", "apply", third, "--base", "3", "--no-wait")
}

// The store accepts a change, sends no response and then goes down. The command must
// report that the outcome is unknown. After the store has recovered, a retry with the same
// id must find the accepted change.
func TestApplyWithUnknownOutcomeCanBeRetried(t *testing.T) {
	c := newCommandTest(t)
	c.store.LoseAnswers(1)
	c.store.DownAfterWrites(1)
	c.expect(6, "StoreOutcomeUnknown", "config", "apply", c.writeConfig("a.json", 10, nil), "--no-wait", "--id", "one")
	c.store.SetDown(false)
	c.expect(0, "accepted: sequence 1", "config", "apply", c.writeConfig("a.json", 10, nil), "--no-wait", "--id", "one")
}

func TestKeySecretIsPrintedOnlyOnce(t *testing.T) {
	c := newCommandTest(t)
	out := c.expect(0, "secret: seam_", "key", "issue", "--team", "crew", "--no-wait")
	secret := regexp.MustCompile(`secret: (\S+)`).FindStringSubmatch(out)[1]
	digest := regexp.MustCompile(`digest: (\S+)`).FindStringSubmatch(out)[1]
	if out := c.expect(0, digest, "key", "list"); strings.Contains(out, secret) || !strings.Contains(out, "in force") {
		t.Fatalf("list:\n%s", out)
	}
	c.expect(0, "secret: seam_", "key", "issue", "--team", "crew", "--no-wait", "--replaces", digest, "--overlap", "1h")
	c.expect(0, digest+"\tcrew", "key", "list")
	c.expect(0, "withdrawn", "key", "withdraw", digest, "--no-wait")
	c.expect(0, "withdrawn", "key", "list")
	c.expect(8, "no such key", "key", "withdraw", strings.Repeat("00", 31)+"01", "--no-wait")
}

func TestUpstreamDrainSetsAnException(t *testing.T) {
	c := newCommandTest(t)
	c.expect(0, "accepted", "config", "apply", c.writeConfig("a.json", 10, nil), "--no-wait")
	c.expect(0, "accepted: sequence 2", "upstream", "drain", "10.0.0.1:9000", "--reason", "new disks", "--expires", "1h", "--no-wait")
	c.expect(0, `{"draining":true} because "new disks"`, "config", "explain", "--endpoint", "10.0.0.1:9000")
	c.expect(0, "accepted: sequence 3", "upstream", "drain", "10.0.0.1:9000", "--reason", "done", "--undo", "--no-wait")
	c.expect(8, "no such endpoint", "upstream", "drain", "10.0.0.9:9000", "--reason", "x", "--no-wait")
}
