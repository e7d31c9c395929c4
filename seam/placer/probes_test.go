package placer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// Guards against probes that reach endpoints which should get nothing, or little.
func TestOnlyEndpointsInUseGetProbes(t *testing.T) {
	config := router.NewConfig(1, nil, []router.Service{{Name: "s", HealthPath: "/health", Warmup: time.Second}, {Name: "bare"}}, router.Limits{})
	spec := func(id, zone string) router.Endpoint {
		return router.Endpoint{ID: id, Address: id, Service: "s", Zone: zone, Slots: 3}
	}
	list := []router.Endpoint{spec("used", "b-1"), spec("draining", "b-1"), spec("evacuated", "a-2"), spec("leaving", "b-1"), spec("limited", "b-1"), spec("cold", "b-1"), spec("bare", "b-1")}
	list[1].Draining = true
	list[5].ColdRemaining = time.Minute
	list[6].Service = "bare"
	b := placer.New("a-1", zones)
	b.SetEndpoints(start, list, config)
	b.SetEvacuated(start, []string{"a-2"})
	b.RecordLeaving("leaving")
	b.RecordLimit(start, "limited", router.RateLimit{Statement: router.LimitNamed, PerSecond: 5}, true)
	addresses := []string{"elsewhere"}
	for _, e := range list {
		addresses = append(addresses, e.Address)
	}
	targets := b.ProbeTargets(start, addresses)
	if len(targets) != 1 || targets[0] != (placer.ProbeTarget{ID: "used", Address: "used", Path: "/health"}) {
		t.Errorf("got %+v, want the one endpoint that is in use", targets)
	}
}
