package commander_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
)

func TestExplainRequest(t *testing.T) {
	const key = "key-that-is-a-secret"
	t.Setenv("CALLER_KEY", key)
	var got *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		if r.URL.Query().Get("host") == "broken.example" {
			http.Error(w, "want GET", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(conductor.Explanation{
			Outcome: "sent", Instance: "one", Route: "pages", Team: "team-1", TeamRoom: &conductor.TeamRoom{Rate: 10, Burst: 20, Tokens: 5, Probability: 2},
			RegionParts: map[string]float64{"east": 0.75, "west": 0.25},
			Services: []conductor.ServiceExplanation{{Service: "s", Weight: 90, Admitted: true, Candidates: []conductor.CandidateExplanation{
				{Endpoint: "i-1", Zone: "z", Slots: 3, Warm: true, ExpectedMs: 120, Total: 0.15, Cost: placer.Cost{Latency: 0.12, Locality: 0.03}},
			}}},
		})
	}))
	t.Cleanup(server.Close)
	from := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--from " + from + " --host h --path /x/ --object 7 --key-variable CALLER_KEY", 0, "latency 0.120, locality 0.030"},
		{"--from " + from + " --host h --output json", 0, `"outcome": "sent"`},
		{"--from " + from + " --host h", 0, "east 0.75, west 0.25"},
		{"--from " + from + " --host broken.example", 1, "status 400: want GET"},
		{"--from " + from, 9, "--host"},
		{"--from nowhere --host h", 9, "--from"},
		{"--from " + from + " --host h --path x", 9, "--path"},
		{"--from " + from + " --host h --key-variable NOT_SET", 9, "NOT_SET is not set"},
	} {
		code, out, errs := runSeamctl(append([]string{"explain", "request"}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit code %d, want %d with %q\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
		if strings.Contains(out+errs, key) {
			t.Errorf("%s: the key is printed", c.args)
		}
		if c.code == 0 && strings.Contains(c.args, "CALLER_KEY") && (got.Header.Get("Authorization") != "Bearer "+key || strings.Contains(got.URL.String(), key)) {
			t.Errorf("the key was sent as %q to %s", got.Header.Get("Authorization"), got.URL)
		}
	}
}
