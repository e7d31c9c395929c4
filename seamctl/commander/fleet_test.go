package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamctl/commander"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/storekeeper"
)

const loopback = "127.0.0.1:0"

// startInstance starts a stand-in of the platform and a daemon that the platform lists as
// west-1. It returns the daemon, the URL of the platform, and the path of the file with the
// secret shared by instances and operators.
func startInstance(t *testing.T) (d *daemon.Daemon, platform, secretFile string) {
	t.Helper()
	store := storekeeper.New(storekeeper.WithListLag(0))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	secretFile = filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secretFile, []byte(strings.Repeat("s", 40)), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := daemon.New(loader.Settings{
		Instance: loader.Instance{ID: "west-1", Region: "west", FailureDomain: "west-a"},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: server.URL},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(100 * time.Millisecond), Timeout: configurer.Duration(time.Second)},
		Security: loader.Security{PeerSecretFile: secretFile},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.SetInstance(storer.Instance{
		ID: "west-1", Region: "west", FailureDomain: "west-a", State: storer.InstanceLive,
		CallerAddress: d.CallerAddress(), LookupAddress: d.LookupAddress(), PeerAddress: d.PeerAddress(),
	})
	go func() { _ = d.Run(context.Background()) }()
	t.Cleanup(d.Kill)
	return d, server.URL, secretFile
}

// runSeamctl runs a command and returns its exit code and output.
func runSeamctl(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = commander.Execute(context.Background(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestInstanceCommands(t *testing.T) {
	d, platform, secret := startInstance(t)
	resp, err := http.Get("http://" + d.CallerAddress() + "/lessons/1")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	request := resp.Header.Get("Seam-Request-Id")
	steps := []struct {
		args string
		code int
		want string
	}{
		{"status --platform " + platform, 0, "west-1"},
		{"status --output json --platform " + platform, 0, `"reachable": true`},
		{"status --output xml --platform " + platform, 9, "ArgumentInvalid (220)"},
		{"instance list --output json --platform " + platform, 0, d.PeerAddress()},
		{"explain " + request + " --platform " + platform, 1, "PeerUnauthenticated (400)"},
		{"explain " + request + " --secret-file " + secret + " --platform " + platform, 0, "refused"},
		{"explain west-1-99 --secret-file " + secret + " --platform " + platform, 8, "StoreNotFound (302)"},
		{"explain nonsense --platform " + platform, 9, "ArgumentInvalid (220)"},
		{"instance drain east-1 --platform " + platform, 8, "StoreNotFound (302)"},
		{"instance drain west-1 --platform " + platform, 1, "PeerUnauthenticated (400)"},
		{"instance drain west-1 --secret-file " + secret + " --platform " + platform, 0, "has stopped"},
		{"status --platform " + platform, 1, "can't be reached"},
		{"completion bash", 0, "seamctl"},
	}
	for _, s := range steps {
		code, stdout, stderr := runSeamctl(strings.Fields(s.args)...)
		if code != s.code || !strings.Contains(stdout+stderr, s.want) {
			t.Fatalf("seamctl %s: exit code %d\n%s%s", s.args, code, stdout, stderr)
		}
		if code != 0 && !strings.HasPrefix(stderr, "seamctl: ") && !strings.Contains(stderr, "\nseamctl: ") {
			t.Errorf("seamctl %s: no error on stderr: %q", s.args, stderr)
		}
	}
}

func TestDemoRejectsInvalidArguments(t *testing.T) {
	for _, args := range []string{
		"--deployment nowhere", "--fault flood", "--break nothing", "--output xml", "--duration -1s",
	} {
		if code, _, stderr := runSeamctl(append([]string{"demo"}, strings.Fields(args)...)...); code != 9 || !strings.Contains(stderr, "(220)") {
			t.Errorf("demo %s: exit code %d: %s", args, code, stderr)
		}
	}
}

func TestDemoPrintsReportAsJSON(t *testing.T) {
	code, stdout, stderr := runSeamctl("demo", "--fault", "none", "--duration", "3s", "--output", "json")
	var report struct {
		Deployment string
		Promises   []struct{ Name string }
		Measures   struct{ Requests int }
	}
	if err := json.Unmarshal([]byte(stdout), &report); err != nil || code != 0 {
		t.Fatalf("exit code %d, %v: %s%s", code, err, stderr, stdout)
	}
	if report.Deployment != "nathibandh" || len(report.Promises) == 0 || report.Measures.Requests == 0 {
		t.Fatalf("got %s", stdout)
	}
}
