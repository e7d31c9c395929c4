package loader_test

import (
	"errors"
	"strings"
	"testing"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/loader"
)

const validSettings = `{
	"instance": {"id": "a", "region": "west", "failureDomain": "west-a"},
	"listen": {"callers": "127.0.0.1:1", "lookups": "127.0.0.1:2", "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
	"platform": {"address": "http://127.0.0.1:7000"},
	"shutdown": {"linger": "5s"},
	"log": {"level": "warn"},
	"security": {"unauthenticatedPeers": true}
}`

func TestOmittedSettingsGetDefaults(t *testing.T) {
	s, err := loader.Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Shutdown.Timeout == 0 || s.Log.Sampling.First == 0 || s.Log.Level != "warn" {
		t.Fatalf("got %+v", s)
	}
}

// TestInvalidSettingsAreReportedWithTheirPath replaces one part of the valid settings in
// each case. The error must carry SettingsInvalid and the path of the invalid field.
func TestInvalidSettingsAreReportedWithTheirPath(t *testing.T) {
	cases := []struct{ path, old, new string }{
		{"surprise", `"log":`, `"surprise": 1, "log":`},
		{"instance.id", `"id": "a"`, `"id": ""`},
		{"instance.id", `"id": "a"`, `"id": 7`},
		{"instance.ID", `"id": "a"`, `"id": "a", "ID": "b"`},
		{"instance.region", `"west"`, `"we st"`},
		{"listen.peers", `127.0.0.1:3`, `127.0.0.1`},
		{"listen.peers", `127.0.0.1:3`, `127.0.0.1:2`},
		{"listen.metrics", `127.0.0.1:4`, `host:4`},
		{"platform.address", `http://127`, `ftp://127`},
		{"shutdown.linger", `"5s"`, `"-5s"`},
		{"security", `"unauthenticatedPeers": true`, ``},
		{"security.peers", `true}`, `true, "peers": {"certFile": "a"}}`},
		{"security.callers.certFile", `true}`, `true, "callers": {"certFile": "/does/not/exist", "keyFile": "/nor/this"}}`},
		{"security.peerSecretFile", `true}`, `true, "peerSecretFile": "/does/not/exist"}`},
		{"security.peerSecretVariable", `true}`, `true, "peerSecretVariable": "SEAM_NOT_SET"}`},
		{"log.level", `warn`, `loud`},
		{"log.sampling.first", `"warn"`, `"warn", "sampling": {"first": -1}`},
		{"log", `"log": {`, `"log": {}, "log": {`},
	}
	for _, c := range cases {
		modified := strings.Replace(validSettings, c.old, c.new, 1)
		_, err := loader.Parse([]byte(modified))
		var coded *coder.Error
		if !errors.As(err, &coded) || coded.Code() != coder.SettingsInvalid || coded.Path() != c.path {
			t.Errorf("%s: %s: got %v", c.path, c.new, err)
		}
	}
}

func TestTruncatedSettingsAreRejected(t *testing.T) {
	for n := range len(validSettings) {
		if _, err := loader.Parse([]byte(validSettings[:n])); coder.CodeOf(err) != coder.SettingsInvalid {
			t.Fatalf("%d bytes: got %v", n, err)
		}
	}
	if _, err := loader.Parse([]byte(validSettings + "{}")); coder.CodeOf(err) != coder.SettingsInvalid {
		t.Fatalf("got %v", err)
	}
}
