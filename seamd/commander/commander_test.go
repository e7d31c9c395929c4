package commander_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seamd/commander"
	"primroseseam.org/standin/storekeeper"
)

const settings = `{
	"instance": {"id": "a", "region": "west", "failureDomain": "west-a"},
	"listen": {"callers": "127.0.0.1:0", "lookups": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"platform": {"address": "PLATFORM"},
	"shutdown": {"linger": "50ms"},
	"security": {"unauthenticatedPeers": true}
}`

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "seamd.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunShutsDownGracefullyWhenItsContextEnds(t *testing.T) {
	platform := httptest.NewServer(storekeeper.New())
	defer platform.Close()
	path := writeSettings(t, strings.Replace(settings, "PLATFORM", platform.URL, 1))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var out, errs bytes.Buffer
	if code := commander.Execute(ctx, []string{"run", "--settings", path}, &out, &errs); code != 0 {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	for _, line := range []string{"daemon: started", "daemon: leaving", "daemon: stopped"} {
		if !strings.Contains(errs.String(), line) {
			t.Errorf("log lacks %q: %s", line, errs.String())
		}
	}
}

func TestSettingsCheckExitCodes(t *testing.T) {
	good := strings.Replace(settings, "PLATFORM", "http://127.0.0.1:1", 1)
	cases := map[string]struct {
		content string
		code    int
	}{
		"good":      {good, 0},
		"truncated": {good[:len(good)/2], 2},
		"unknown":   {strings.Replace(good, `"instance":`, `"surprise": 1, "instance":`, 1), 2},
		"negative":  {strings.Replace(good, "50ms", "-50ms", 1), 2},
		"twice":     {strings.Replace(good, `"id": "a"`, `"id": "a", "id": "b"`, 1), 2},
	}
	for name, c := range cases {
		var out, errs bytes.Buffer
		code := commander.Execute(context.Background(), []string{"settings", "check", writeSettings(t, c.content)}, &out, &errs)
		if code != c.code {
			t.Errorf("%s: exit code %d: %s", name, code, errs.String())
		}
		if c.code != 0 && !strings.Contains(errs.String(), "SettingsInvalid (210)") {
			t.Errorf("%s: error lacks its code: %s", name, errs.String())
		}
	}
}
