package generator

import (
	"cmp"
	"io"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/tracer"
)

// scenario adds events and outcomes to a trace.
type scenario struct {
	name     string
	duration time.Duration
	build    func(*maker)
}

const (
	minute = time.Minute
	// quietPart, busyPart and fullPart are parts of the teams' rates.
	quietPart = 0.1
	busyPart  = 0.6
	fullPart  = 0.9
)

// scenarios lists what can be made.
func scenarios() []scenario {
	return []scenario{
		{"quietSummer", minute, func(m *maker) { m.steady(quietPart) }},
		{"listMorning", minute, buildListMorning},
		{"deadlineSurge", 2 * minute, buildDeadlineSurge},
		{"groupSessions", minute, buildGroupSessions},
		{"instanceCrash", minute, buildInstanceCrash},
		{"regionLost", 2 * minute, buildRegionLost},
		{"storeDownHour", 62 * minute, buildStoreDownHour},
		{"domainDrain", minute, buildDomainDrain},
		{"coldCaches", minute, buildColdCaches},
		{"silentConnections", minute, buildSilentConnections},
		{"failingUpstream", minute, buildFailingUpstream},
		{"keyWithdrawn", minute, buildKeyWithdrawn},
		{"rollingReplace", 3 * minute, buildRollingReplace},
		{"regionLostStoreDown", 2 * minute, buildRegionLostStoreDown},
	}
}

// Scenarios lists the names of the scenarios.
func Scenarios() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Trace is a trace before it is written.
type Trace struct {
	header tracer.Header
	events []tracer.Event
}

// Make returns the trace of a deployment, scenario and seed.
func Make(deploymentName, scenarioName string, seed uint64) (Trace, error) {
	d, err := deploymentOf(deploymentName)
	if err != nil {
		return Trace{}, err
	}
	for _, s := range scenarios() {
		if s.name == scenarioName {
			return makeTrace(d, s, seed), nil
		}
	}
	return Trace{}, coder.Errorf(coder.TraceInvalid, "scenario", "no scenario %q", scenarioName)
}

// Write writes the trace as JSON lines.
func (t Trace) Write(w io.Writer) error {
	writer, err := tracer.NewWriter(w, t.header)
	if err != nil {
		return err
	}
	for _, e := range t.events {
		if err := writer.Write(e); err != nil {
			return err
		}
	}
	return nil
}

func makeTrace(d deployment, s scenario, seed uint64) Trace {
	m := &maker{deployment: d, duration: s.duration}
	m.promise(tracer.Promises()...)
	s.build(m)
	slices.SortStableFunc(m.events, func(a, b tracer.Event) int { return cmp.Compare(a.At(), b.At()) })
	return Trace{events: m.events, header: tracer.Header{
		Name: d.name + "-" + s.name, Deployment: d.name, Seed: seed, Duration: configurer.Duration(s.duration),
		Network: d.network, Instances: d.instanceList(), Upstreams: d.upstreams(),
		Config: d.document(), Outcomes: m.outcomes,
	}}
}
