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

// scenario is a load with faults that can be combined with any deployment. Its build
// function adds the events and the outcomes to a trace of the given duration.
type scenario struct {
	name     string
	duration time.Duration
	build    func(*traceBuilder)
}

const (
	minute = time.Minute
	// quietFraction, busyFraction and fullFraction are levels of load. Each is the
	// fraction of its rate that a team sends.
	quietFraction = 0.1
	busyFraction  = 0.6
	fullFraction  = 0.9
)

// scenarios returns all scenarios, in the order in which Scenarios lists them.
func scenarios() []scenario {
	return []scenario{
		{"quietSummer", minute, func(b *traceBuilder) { b.addSteadyLoad(quietFraction) }},
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

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Trace is a generated trace in memory. Its only use is to be written with
// [Trace.Write].
type Trace struct {
	header tracer.Header
	events []tracer.Event
}

// Make generates the trace of a scenario for a deployment. The seed is stored in the
// header of the trace for the random choices of a replay. The events don't depend on it.
// Errors carry [coder.TraceInvalid].
func Make(deploymentName, scenarioName string, seed uint64) (Trace, error) {
	d, err := deploymentByName(deploymentName)
	if err != nil {
		return Trace{}, err
	}
	for _, s := range scenarios() {
		if s.name == scenarioName {
			return makeTrace(d, s, seed), nil
		}
	}
	return Trace{}, coder.Errorf(coder.TraceInvalid, "scenario", "unknown scenario %q", scenarioName)
}

// Write writes the trace in the format that package tracer reads.
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

// makeTrace builds the trace of a scenario. Every trace has the outcomes that no promise
// is violated.
func makeTrace(d deployment, s scenario, seed uint64) Trace {
	builder := &traceBuilder{deployment: d, duration: s.duration}
	builder.forbidViolations(tracer.Promises()...)
	s.build(builder)
	slices.SortStableFunc(builder.events, func(a, b tracer.Event) int { return cmp.Compare(a.At(), b.At()) })
	return Trace{events: builder.events, header: tracer.Header{
		Name: d.name + "-" + s.name, Deployment: d.name, Seed: seed, Duration: configurer.Duration(s.duration),
		Network: d.network, Instances: d.instanceList(), Upstreams: d.upstreams(),
		Config: d.document(), Outcomes: builder.outcomes,
	}}
}
