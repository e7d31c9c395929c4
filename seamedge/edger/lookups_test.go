package edger_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// lookUp asks an instance where to connect for a host, as a caller in a region. It returns the
// status, and the addresses or the error.
func (r *runningEdge) lookUp(host, region string) (status int, answer string) {
	query := url.Values{"name": {host}, "region": {region}, "zone": {"zone of " + region}}
	resp, err := http.Get("http://" + r.settings.Listen.Lookups + "/resolve?" + query.Encode())
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	var decoded struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &decoded) != nil {
		return resp.StatusCode, strings.TrimSpace(string(body))
	}
	return resp.StatusCode, strings.Join(decoded.Addresses, " ")
}

// configureHomes writes a configuration in which host h has one route, with the given homes, and
// host free one without homes.
func (r *testEnv) configureHomes(homes ...string) {
	r.version++
	list, _ := json.Marshal(homes)
	r.store.Put("config", "main", json.RawMessage(fmt.Sprintf(`{"version":"r%d","routes":{
	"r":{"host":"h","path-prefix":"/x/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":1,"service":"s","max-attempts":2,"home-regions":%s},
	"f":{"host":"free","path-prefix":"/x/","route-type":"non_idempotent","timeout-s":2,"target-latency-s":1,"service":"s","max-attempts":2}},
	"services":{"s":{"health-path":"/health","warmup-s":1,"cold-per-s":10}},"limits":{}}`, r.version, list)))
}

// Guards against HOME (review/9): callers of a region without instances were named the instances
// of all regions, also for hosts whose routes have homes elsewhere.
func TestLookupsStayWithinHomes(t *testing.T) {
	const instanceRegion, callerRegion = "region-1", "region-2"
	r := newTestEnv(t)
	r.endpoint("i-1", "s", nil)
	log := &logSink{}
	run := r.start("one", log)
	self := run.settings.Listen.Callers
	run.waitFor(5*time.Second, "listening", func() bool {
		resp, err := http.Get("http://" + run.settings.Listen.Ready + "/readiness")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	if status, answer := run.lookUp("h", callerRegion); status != http.StatusServiceUnavailable || answer != "116 NoConfiguration" {
		t.Errorf("without a configuration: %d %q", status, answer)
	}
	if status, answer := run.lookUp("h", instanceRegion); status != http.StatusOK || answer != self {
		t.Errorf("without a configuration, from the instance's region: %d %q", status, answer)
	}

	r.configureHomes("region-3")
	run.waitFor(5*time.Second, "ready", run.ready)
	for _, host := range []string{"h", "H", "h.", "h:8389"} {
		if status, answer := run.lookUp(host, callerRegion); status != http.StatusServiceUnavailable || answer != "126 NoHomeInstance" {
			t.Errorf("%s, whose home has no instance: %d %q", host, status, answer)
		}
	}
	if status, answer := run.lookUp("h", instanceRegion); status != http.StatusOK || answer != self {
		t.Errorf("from the instance's region: %d %q", status, answer)
	}
	if status, answer := run.lookUp("free", callerRegion); status != http.StatusOK || answer != self {
		t.Errorf("host without homes: %d %q", status, answer)
	}
	if !log.contains(`"msg":"lookup: no instance may receive the requests"`) {
		t.Error("no line in the log says why no instance was named")
	}

	r.configureHomes(instanceRegion)
	run.waitFor(5*time.Second, "named after the homes have changed", func() bool {
		status, answer := run.lookUp("h", callerRegion)
		return status == http.StatusOK && answer == self
	})
}
