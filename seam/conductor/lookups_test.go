package conductor_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/router"
)

// A lookup returns the instances in the caller's zone, and no instance that is silent
// or leaving.
func TestLookupsReturnOnlyLiveInstances(t *testing.T) {
	m := newModel(oneRoute(true), nil)
	heartbeat := func(id, zone string, leaving bool, sequenceNumber uint64, at time.Time) {
		m.Update(at, conductor.HeartbeatReceived{Heartbeat: conductor.Heartbeat{
			ID: id, StartedAtMs: 1, SequenceNumber: sequenceNumber, Zone: zone, Region: "region-" + zone[5:],
			CallerAddress: id, PeerAddress: id, Leaving: leaving,
		}})
	}
	heartbeat("edge-2", "zone-0", false, 1, start)
	heartbeat("edge-3", "zone-1", false, 1, start)
	lookUp := func(at time.Time, zone string) []string {
		return m.LookUp(at, "edge-1", conductor.Lookup{Host: "h", Region: "region-" + zone[5:], Zone: zone}).Addresses
	}
	if got := lookUp(start, "zone-0"); len(got) != 2 {
		t.Errorf("zone-0: %v", got)
	}
	if got := lookUp(start, "zone-1"); len(got) != 1 || got[0] != "edge-3" {
		t.Errorf("zone-1: %v", got)
	}
	if got := lookUp(start.Add(4*time.Second), "zone-1"); len(got) != 1 || got[0] != "edge-1" {
		t.Errorf("zone-1 after its instance fell silent: %v", got)
	}
	heartbeat("edge-2", "zone-0", true, 2, start.Add(time.Second))
	if got := lookUp(start.Add(time.Second), "zone-0"); len(got) != 1 || got[0] != "edge-1" {
		t.Errorf("zone-0 after an instance started leaving: %v", got)
	}
	heartbeat("edge-2", "zone-0", false, 1, start.Add(2*time.Second))
	if got := lookUp(start.Add(2*time.Second), "zone-0"); len(got) != 1 {
		t.Errorf("zone-0 after an outdated heartbeat: %v", got)
	}
}

// Guards against HOME: lookups named instances in regions that are neither home to a route of
// the host nor the caller's, once the caller's region had no instance left.
func TestLookupsReturnOnlyHomesAndTheCallersRegion(t *testing.T) {
	for name, c := range map[string]struct {
		// homes holds the homes of each route of host h.
		homes [][]string
		// host is the host that the caller asks for, from region-client.
		host string
		// live lists the regions that have an instance, beside that of the instance that answers,
		// region-0.
		live []string
		// want lists the regions in the answer.
		want string
	}{
		"one route":                         {[][]string{{"region-home"}}, "h", []string{"home", "other"}, "home"},
		"two homes":                         {[][]string{{"region-home", "region-0"}}, "h", []string{"home", "other"}, "0 home"},
		"beside a route without homes":      {[][]string{{}, {"region-home"}}, "h", []string{"home", "other"}, "home"},
		"before a route without homes":      {[][]string{{"region-home"}, {}}, "h", []string{"home", "other"}, "home"},
		"routes that share one home":        {[][]string{{"region-home", "region-0"}, {"region-other", "region-home"}}, "h", []string{"home", "other"}, "home"},
		"routes with different homes":       {[][]string{{"region-home"}, {"region-other"}, {"region-0"}}, "h", []string{"home", "other"}, ""},
		"home without instances":            {[][]string{{"region-home"}}, "h", []string{"other"}, ""},
		"caller's region is no home":        {[][]string{{"region-home"}}, "h", []string{"home", "other", "client"}, "client"},
		"caller's region, homes differ":     {[][]string{{"region-home"}, {"region-other"}}, "h", []string{"home", "client"}, "client"},
		"caller's region, home is empty":    {[][]string{{"region-home"}}, "h", []string{"other", "client"}, "client"},
		"no route with homes":               {[][]string{{}, {}}, "h", []string{"home", "other"}, "0 home other"},
		"host without routes":               {[][]string{{"region-home"}}, "unknown", []string{"home", "other"}, "0 home other"},
		"host with a port":                  {[][]string{{"region-home"}}, "h:8389", []string{"home", "other"}, "home"},
		"host in capitals":                  {[][]string{{"region-home"}}, "H", []string{"home", "other"}, "home"},
		"fully qualified host with a port":  {[][]string{{"region-home"}}, "h.:8389", []string{"home", "other"}, "home"},
		"home is that of the answering one": {[][]string{{"region-0"}}, "h", []string{"home", "other"}, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			m := conductor.New(conductor.WithSelf("0", "zone-0", map[string]string{"zone-0": "region-0"}))
			m.Update(start, conductor.ConfigReceived{Config: homedConfig(3, c.homes...)})
			for _, region := range c.live {
				m.Update(start, conductor.HeartbeatReceived{Heartbeat: heartbeatFrom(region, 1)})
			}
			if got := namedRegions(m, start, c.host); got != c.want {
				t.Errorf("named: %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against HOME: an instance that has no configuration yet, and doesn't know the homes,
// named instances of all regions.
func TestLookupsWithoutConfigurationReturnOnlyTheCallersRegion(t *testing.T) {
	m := conductor.New(conductor.WithSelf("0", "zone-0", map[string]string{"zone-0": "region-0"}))
	m.Update(start, conductor.HeartbeatReceived{Heartbeat: heartbeatFrom("home", 1)})
	if got := namedRegions(m, start, "h"); got != "" {
		t.Errorf("named without a configuration: %q", got)
	}
	m.Update(start, conductor.HeartbeatReceived{Heartbeat: heartbeatFrom("client", 1)})
	if got := namedRegions(m, start, "h"); got != "client" {
		t.Errorf("named without a configuration: %q, want only the caller's region", got)
	}
}

// Guards against HOME: lookups must follow homes that are added, moved and removed, from the
// moment at which a configuration is in force.
func TestLookupsFollowHomesThatChange(t *testing.T) {
	m := conductor.New(conductor.WithSelf("0", "zone-0", map[string]string{"zone-0": "region-0"}))
	for _, region := range []string{"home", "other"} {
		m.Update(start, conductor.HeartbeatReceived{Heartbeat: heartbeatFrom(region, 1)})
	}
	for version, c := range []struct {
		homes []string
		want  string
	}{{nil, "0 home other"}, {[]string{"region-home"}, "home"}, {[]string{"region-other"}, "other"}, {nil, "0 home other"}} {
		m.Update(start, conductor.ConfigReceived{Config: homedConfig(uint64(version+1), c.homes)})
		if got := namedRegions(m, start, "h"); got != c.want {
			t.Errorf("homes %v: named %q, want %q", c.homes, got, c.want)
		}
	}
}

// A stopping instance that knows of no other one is the last to which callers can go, but not
// for hosts whose homes are elsewhere.
func TestStoppingInstanceNamesItselfOnlyWithinHomes(t *testing.T) {
	m := conductor.New(conductor.WithSelf("0", "zone-0", map[string]string{"zone-0": "region-0"}))
	m.Update(start, conductor.ConfigReceived{Config: homedConfig(1, []string{"region-home"})})
	m.Update(start, conductor.StopRequested{End: start.Add(time.Second)})
	if got := namedRegions(m, start, "h"); got != "" {
		t.Errorf("host with homes elsewhere: %q", got)
	}
	if got := namedRegions(m, start, "unknown"); got != "0" {
		t.Errorf("host without homes: %q, want the instance itself", got)
	}
}

// homedConfig returns a configuration in which host h has a route for each list of homes.
func homedConfig(version uint64, homes ...[]string) *router.Config {
	var routes []router.Route
	for n, regions := range homes {
		routes = append(routes, router.Route{
			Name: "r" + strings.Repeat("x", n), Host: "h", Prefix: "/" + strings.Repeat("x", n), HomeRegions: regions,
			TrafficSplit: []router.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	return router.NewConfig(version, routes, []router.Service{{Name: "a"}}, router.Limits{})
}

// heartbeatFrom returns a heartbeat of the instance of a region, whose ID and address are the
// region's name without its prefix.
func heartbeatFrom(region string, sequenceNumber uint64) conductor.Heartbeat {
	return conductor.Heartbeat{
		ID: region, StartedAtMs: 1, SequenceNumber: sequenceNumber, Zone: "zone-" + region, Region: "region-" + region,
		CallerAddress: region, PeerAddress: region,
	}
}

// namedRegions returns the addresses that a lookup from region-client returns, in their order.
func namedRegions(m *conductor.Model, now time.Time, host string) string {
	addresses := m.LookUp(now, "0", conductor.Lookup{Host: host, Region: "region-client", Zone: "zone-client"}).Addresses
	return strings.Join(slices.Sorted(slices.Values(addresses)), " ")
}

// Guards against DRAIN and CONFIG: what a heartbeat states is as old as its way was long. An
// instance that stood still must not take the heartbeats that lay in its socket for signs of life.
func TestDelayedHeartbeatsAreNoFreshSignsOfLife(t *testing.T) {
	m := conductor.New(conductor.WithSelf("0", "zone-0", map[string]string{"zone-0": "region-0"}))
	m.Update(start, conductor.ConfigReceived{Config: homedConfig(1, nil)})
	first := heartbeatFrom("other", 1)
	m.Update(start, conductor.HeartbeatReceived{Heartbeat: first})
	late := heartbeatFrom("other", 2)
	late.Delay, late.DelayKnown = 6*time.Second, true
	received := start.Add(7 * time.Second)
	m.Update(received, conductor.HeartbeatReceived{Heartbeat: late})
	if got := namedRegions(m, received, "h"); got != "0" {
		t.Errorf("named after a heartbeat that was 6 s on its way: %q", got)
	}
	m.Update(received, conductor.HeartbeatReceived{Heartbeat: heartbeatFrom("other", 3)})
	if got := namedRegions(m, received, "h"); got != "0 other" {
		t.Errorf("named after a heartbeat without a delay: %q", got)
	}
}
