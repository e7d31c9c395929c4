// Package exerciser plays HTTP exchanges of a client and an endpoint through an instance of seamedge, and
// checks what must hold for each of them. The command "seamctl soak exchanges" uses it.
//
// A [Scenario] is one exchange. It is composed from dimensions: the sizes and framings of the body and of
// the answer, who pauses, who ends the connection, how and when, and what comes before and after on the
// client's connection. The scenarios of a run are chosen by a seed, so that together they hold each pair of
// values of two dimensions. Nothing in a scenario is drawn at random while it is played.
//
// Each scenario has a route and an endpoint of its own, so that scenarios don't influence each other. A
// scenario in which a rule is violated is played again with one dimension after the other set to its simplest
// value, and reported in the simplest form that still violates the rule.
//
// # Usage
//
//	report, err := exerciser.Run(ctx, "./seamedge", exerciser.WithSeed(7), exerciser.WithCount(120))
//	if !report.Passed() { fmt.Println(report.Violations) }
package exerciser

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
)

const (
	// defaultCount is the number of scenarios of a run.
	defaultCount = 600
	// parallelPlays is how many scenarios are played at the same time.
	parallelPlays = 12
	// shrinkPlays is how often a simpler scenario is played to see whether it still violates a rule.
	shrinkPlays = 2
	// spareRoutes is how many routes of each kind are left for scenarios that are played again.
	spareRoutes = 60
	// maxShrunk is how many violations of each rule are shrunk.
	maxShrunk = 1
)

// Exerciser is a run of scenarios.
type Exerciser struct {
	binary string
	seed   uint64
	count  int
	only   []Scenario
	shrink bool
	output io.Writer
}

// Option configures a run.
type Option func(*Exerciser)

// WithSeed sets the seed by which scenarios are chosen.
func WithSeed(seed uint64) Option { return func(x *Exerciser) { x.seed = seed } }

// WithCount sets the number of scenarios.
func WithCount(n int) Option { return func(x *Exerciser) { x.count = n } }

// WithScenario plays one scenario only.
func WithScenario(s Scenario) Option { return func(x *Exerciser) { x.only = []Scenario{s} } }

// WithShrinking makes violations be played again in simpler forms. That takes some seconds for each step.
func WithShrinking() Option { return func(x *Exerciser) { x.shrink = true } }

// WithOutput sets where the log of the instance is written.
func WithOutput(w io.Writer) Option { return func(x *Exerciser) { x.output = w } }

// Run plays scenarios through an instance of the seamedge executable at the path binary. It returns an error
// if the instance couldn't be started or ctx has ended.
func Run(ctx context.Context, binary string, opts ...Option) (Report, error) {
	x := &Exerciser{binary: binary, seed: 1, count: defaultCount, output: io.Discard}
	for _, opt := range opts {
		opt(x)
	}
	scenarios := x.only
	if len(scenarios) == 0 {
		scenarios = compose(rand.New(rand.NewPCG(x.seed, x.seed)), x.count)
	}
	e, err := newEnvironment(ctx, binary, routesFor(scenarios), x.output)
	if err != nil {
		return Report{}, err
	}
	defer e.close()
	report := newReport(x.seed, scenarios)
	for _, p := range e.playAll(ctx, scenarios) {
		report.add(p.scenario, judge(p))
	}
	report.Judged[RunsOn.String()]++
	if !e.runs(ctx) {
		report.addEnd("the instance has ended or doesn't answer an ordinary request")
		return report, ctx.Err()
	}
	if x.shrink {
		report.shrink(func(s Scenario, r Rule) bool { return e.violates(ctx, s, r) })
	}
	return report, ctx.Err()
}

// routesFor returns how many routes scenarios need, of which half are for requests that may run once.
func routesFor(scenarios []Scenario) int {
	needed := map[string]int{}
	for _, s := range scenarios {
		needed[s.value(Runs)]++
	}
	return 2 * (max(needed[many], needed[once]) + spareRoutes)
}

// playAll plays scenarios, a few at a time, and returns what was observed.
func (e *environment) playAll(ctx context.Context, scenarios []Scenario) []*play {
	plays := make([]*play, len(scenarios))
	var wg sync.WaitGroup
	turns := make(chan struct{}, parallelPlays)
	for n, s := range scenarios {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			plays[n] = e.play(ctx, s)
		})
	}
	wg.Wait()
	return plays
}

// violates plays a scenario alone and reports whether it violates a rule.
func (e *environment) violates(ctx context.Context, s Scenario, r Rule) bool {
	for range shrinkPlays {
		p := e.play(ctx, s)
		if p == nil {
			return false
		}
		if _, violated := judge(p).violations[r]; violated {
			return true
		}
	}
	return false
}

// Report is the result of a run. Judged counts for each rule the scenarios to which it applied.
type Report struct {
	Seed         uint64
	Scenarios    int
	PairsCovered int
	Pairs        int
	Judged       map[string]int
	Violations   []Violation
}

// Violation is a scenario that violated a rule. Shrunk is the simplest one found that still does, or empty if
// it wasn't tried.
type Violation struct {
	Rule     string
	Detail   string
	Scenario string
	Shrunk   string `json:",omitempty"`
	scenario Scenario
	rule     Rule
}

// newReport returns a report without results. It names all rules.
func newReport(seed uint64, scenarios []Scenario) Report {
	covered := newCover()
	for _, s := range scenarios {
		covered.add(s)
	}
	r := Report{Seed: seed, Scenarios: len(scenarios), PairsCovered: covered.count(), Pairs: pairCount(), Judged: map[string]int{}}
	for rule := range ruleCount {
		r.Judged[rule.String()] = 0
	}
	return r
}

// Passed reports whether no rule was violated.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// add adds the verdict on a scenario.
func (r *Report) add(s Scenario, v verdict) {
	for rule, judged := range v.judged {
		if judged {
			r.Judged[rule.String()]++
		}
	}
	for rule := range ruleCount {
		if detail, ok := v.violations[rule]; ok {
			r.Violations = append(r.Violations, Violation{Rule: rule.String(), Detail: detail, Scenario: s.String(), scenario: s, rule: rule})
		}
	}
}

// addEnd adds a violation of RunsOn, which belongs to no single scenario.
func (r *Report) addEnd(detail string) {
	r.Violations = append(r.Violations, Violation{Rule: RunsOn.String(), Detail: detail, rule: RunsOn})
}

// shrink finds simpler scenarios for the first violations of each rule.
func (r *Report) shrink(violates func(Scenario, Rule) bool) {
	tried := map[Rule]int{}
	for n := range r.Violations {
		v := &r.Violations[n]
		if tried[v.rule]++; tried[v.rule] > maxShrunk {
			continue
		}
		simplest := v.scenario.shrunk(func(s Scenario) bool { return violates(s, v.rule) })
		v.Shrunk = fmt.Sprint(simplest)
	}
}
