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

// operator runs the client against a store stand-in.
type operator struct {
	*testing.T
	keeper *storekeeper.FakeStore
	url    string
	dir    string
}

func newOperator(t *testing.T) *operator {
	keeper := storekeeper.New(storekeeper.WithListLag(0))
	server := httptest.NewServer(keeper)
	t.Cleanup(server.Close)
	return &operator{T: t, keeper: keeper, url: server.URL, dir: t.TempDir()}
}

// run returns the exit code and what was printed.
func (o *operator) run(args ...string) (int, string) {
	var out bytes.Buffer
	if args[1] != "check" {
		args = append(args, "--platform", o.url, "--store-limit", "2s")
	}
	code := commander.Execute(context.Background(), args, &out, &out)
	return code, out.String()
}

// file writes a configuration whose only team has a rate.
func (o *operator) file(name string, rate float64, change *configurer.Change) string {
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
		o.Fatal(err)
	}
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		o.Fatal(err)
	}
	return path
}

func (o *operator) expect(want int, part string, args ...string) string {
	o.Helper()
	code, out := o.run(args...)
	if code != want || !strings.Contains(out, part) {
		o.Fatalf("%v: exit code %d, not %d with %q:\n%s", args, code, want, part, out)
	}
	return out
}

func TestOutcomesOfAnApplyAreToldApart(t *testing.T) {
	o := newOperator(t)
	first := o.file("first.json", 10, nil)
	o.expect(0, "valid", "config", "check", first)
	o.expect(0, "accepted: sequence 1", "config", "apply", first, "--no-wait", "--id", "one")
	o.expect(0, "accepted: sequence 1", "config", "apply", first, "--no-wait", "--id", "one")

	second := o.file("second.json", 20, &configurer.Change{Sequence: 1})
	o.keeper.LoseAnswers(2)
	o.expect(0, "accepted: sequence 2", "config", "apply", second, "--no-wait")
	third := o.file("third.json", 30, &configurer.Change{Sequence: 1})
	o.expect(4, "defaults.teams[crew].ratePerSecond\t10\t20\t30", "config", "apply", third, "--no-wait")
	o.expect(0, "ratePerSecond: 20 -> 30", "config", "diff", third)
	o.expect(0, "result: {\"name\":\"crew\",\"ratePerSecond\":20", "config", "explain", "--team", "crew")
	if out := o.expect(0, "1\t", "config", "history"); strings.Count(out, "\n") != 2 {
		t.Fatalf("history:\n%s", out)
	}

	invalid := o.file("invalid.json", -1, nil)
	o.expect(3, "defaults.teams[0].ratePerSecond", "config", "apply", invalid, "--no-wait")

	o.keeper.SetInstance(storer.Instance{ID: "gone", LookupAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:1", State: storer.InstanceLive})
	o.expect(5, "gone", "config", "apply", third, "--base", "2", "--in-force-limit", "300ms")
	o.keeper.SetDown(true)
	o.expect(7, "StoreUnavailable", "config", "apply", third, "--base", "3", "--no-wait")
}

func TestAnAnswerThatStaysLostIsUnknown(t *testing.T) {
	o := newOperator(t)
	o.keeper.LoseAnswers(1)
	o.keeper.DownAfterWrites(1)
	o.expect(6, "StoreOutcomeUnknown", "config", "apply", o.file("a.json", 10, nil), "--no-wait", "--id", "one")
	o.keeper.SetDown(false)
	o.expect(0, "accepted: sequence 1", "config", "apply", o.file("a.json", 10, nil), "--no-wait", "--id", "one")
}

func TestKeysAreShownOnceAndWithdrawn(t *testing.T) {
	o := newOperator(t)
	out := o.expect(0, "secret: seam_", "key", "issue", "--team", "crew", "--no-wait")
	secret := regexp.MustCompile(`secret: (\S+)`).FindStringSubmatch(out)[1]
	digest := regexp.MustCompile(`digest: (\S+)`).FindStringSubmatch(out)[1]
	if out := o.expect(0, digest, "key", "list"); strings.Contains(out, secret) || !strings.Contains(out, "in force") {
		t.Fatalf("list:\n%s", out)
	}
	o.expect(0, "secret: seam_", "key", "issue", "--team", "crew", "--no-wait", "--replaces", digest, "--overlap", "1h")
	o.expect(0, digest+"\tcrew", "key", "list")
	o.expect(0, "withdrawn", "key", "withdraw", digest, "--no-wait")
	o.expect(0, "withdrawn", "key", "list")
	o.expect(8, "no such key", "key", "withdraw", strings.Repeat("00", 31)+"01", "--no-wait")
}

func TestDrainIsAnExceptionWithAReason(t *testing.T) {
	o := newOperator(t)
	o.expect(0, "accepted", "config", "apply", o.file("a.json", 10, nil), "--no-wait")
	o.expect(0, "accepted: sequence 2", "upstream", "drain", "10.0.0.1:9000", "--reason", "new disks", "--expires", "1h", "--no-wait")
	o.expect(0, `{"draining":true} because "new disks"`, "config", "explain", "--endpoint", "10.0.0.1:9000")
	o.expect(0, "accepted: sequence 3", "upstream", "drain", "10.0.0.1:9000", "--reason", "done", "--undo", "--no-wait")
	o.expect(8, "no such endpoint", "upstream", "drain", "10.0.0.9:9000", "--reason", "x", "--no-wait")
}
