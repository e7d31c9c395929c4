// Package demonstrator runs a small deployment in one process, sends requests to it,
// injects faults and checks the system's promises, which are properties that must hold in
// every run. The operators' client seamctl uses it.
//
// A deployment consists of a store stand-in, upstream stand-ins and several daemons, which
// are connected by real loopback sockets. These terms are used:
//
//   - An instance is one daemon. It forwards the requests of callers to endpoints.
//   - An endpoint is one upstream stand-in of a service. Its slots are the requests that it
//     can run at once.
//   - A team is a group of callers with API keys and a rate limit of its own.
//   - A lookup asks an instance which instances a caller should send its requests to.
//   - The prober sends requests, called probes, to each instance to find out whether a
//     configuration change is in force there.
//
// The checker uses only what the callers, the prober and the upstream stand-ins observe. It
// doesn't rely on what the daemons report about themselves.
//
// # Usage
//
//	report, err := demonstrator.Run(ctx, demonstrator.WithDeployment("nathibandh"))
//	report.WriteTable(os.Stdout)
package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/standin/storekeeper"
)

const (
	defaultDuration = 20 * time.Second
	// readyTimeout limits the time from the start of the daemons until all of them
	// serve requests. The HTTP servers of the run also use it as the time limit for
	// reading a request header.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	loopback          = "127.0.0.1:0"
	// callersPerTeam is the number of callers of each team. Each caller makes its own
	// lookups and opens its own connections.
	callersPerTeam = 4
)

// Demo is one run of a deployment.
type Demo struct {
	deployment string
	seed       uint64
	duration   time.Duration
	faults     []Fault
	// disabled is the mechanism that is disabled in all daemons, or 0 if none is.
	disabled daemon.Mechanism
	log      *zap.Logger
	progress func(string)

	shape       Shape
	storeServer *storekeeper.FakeStore
	operator    operator
	storeURL    string
	instances   []*instance
	endpoints   []*endpoint
	// secrets holds the API key of each team, by the index of the team.
	secrets []string
	// withdrawnRecord is the stored record of the API key that is withdrawn during
	// the run. It is empty if the run doesn't contain FaultKeyWithdrawal.
	withdrawnRecord authenticator.Record
	prober          *prober
	checker         *checker
	// cleanups are called in reverse order at the end of the run.
	cleanups []func()
}

// Option configures a run.
type Option func(*Demo)

// WithDeployment sets the name of the deployment to run; see ShapeOf.
func WithDeployment(name string) Option { return func(d *Demo) { d.deployment = name } }

// WithSeed sets the seed of the callers, the daemons and the upstream stand-ins.
func WithSeed(seed uint64) Option { return func(d *Demo) { d.seed = seed } }

// WithDuration sets how long callers send requests; the default is defaultDuration.
func WithDuration(t time.Duration) Option { return func(d *Demo) { d.duration = t } }

// WithFaults sets the faults of the run; the default is none.
func WithFaults(faults ...Fault) Option { return func(d *Demo) { d.faults = faults } }

// WithoutMechanism disables a mechanism in all daemons.
func WithoutMechanism(m daemon.Mechanism) Option { return func(d *Demo) { d.disabled = m } }

// WithLogger sets the daemons' logger.
func WithLogger(log *zap.Logger) Option { return func(d *Demo) { d.log = log } }

// WithProgress sets the function that is called with a line of text for each step of the
// run and for each error of a step.
func WithProgress(report func(string)) Option { return func(d *Demo) { d.progress = report } }

// Run starts a deployment, sends requests to it while injecting the faults, and stops it.
// It returns the checker's report. If the deployment can't be started, it returns the
// error. If ctx ends early, it returns the report together with ctx's error.
func Run(ctx context.Context, opts ...Option) (Report, error) {
	d := &Demo{
		deployment: "nathibandh", seed: 1, duration: defaultDuration,
		log: zap.NewNop(), progress: func(string) {}, checker: newChecker(),
	}
	for _, opt := range opts {
		opt(d)
	}
	shape, err := ShapeOf(d.deployment)
	if err != nil {
		return Report{}, err
	}
	d.shape = shape
	defer d.cleanUp()
	if err := d.start(ctx); err != nil {
		return Report{}, err
	}
	d.progress(fmt.Sprintf("%d instances and %d endpoints are up", len(d.instances), len(d.endpoints)))
	d.runLoad(ctx)
	d.progress("all requests have ended")
	return d.checker.report(d), ctx.Err()
}

func (d *Demo) cleanUp() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// reportError passes the error of a step to the progress function. A failed step doesn't
// end the run.
func (d *Demo) reportError(step string, err error) {
	if err != nil {
		d.progress(step + ": " + err.Error())
	}
}

// start starts the store, the upstreams and the daemons, and waits until all daemons are
// ready.
func (d *Demo) start(ctx context.Context) error {
	d.storeServer = storekeeper.New()
	address, err := d.serve(d.storeServer)
	if err != nil {
		return err
	}
	d.storeURL = "http://" + address
	d.operator = operator{store: storer.NewHTTP(d.storeURL)}
	if err := d.writeConfig(ctx); err != nil {
		return err
	}
	if err := d.issueKeys(ctx); err != nil {
		return err
	}
	for n := range d.shape.Instances {
		if err := d.startInstance(ctx, n); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		d.checker.regions[i.id] = i.region
	}
	return d.awaitReady(ctx)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (d *Demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(l) }()
	d.cleanups = append(d.cleanups, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// writeConfig starts the upstreams and writes the configuration with their addresses to
// the store.
func (d *Demo) writeConfig(ctx context.Context) error {
	endpoints, err := d.startUpstreams()
	if err != nil {
		return err
	}
	doc := d.shape.document(endpoints)
	for _, r := range doc.Defaults.Regions {
		d.checker.sharedSlots[r.Name] = r.SlotsForOthers
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return d.operator.write(ctx, storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Value: value})
}

// issueKeys issues an API key for each team and one for the prober. If the run contains
// FaultKeyWithdrawal, it also issues a second key for the team keyTeam, which is withdrawn
// during the run.
func (d *Demo) issueKeys(ctx context.Context) error {
	for n := range d.shape.Teams {
		secret, _, err := d.operator.issueKey(ctx, teamName(n))
		if err != nil {
			return err
		}
		d.secrets = append(d.secrets, secret)
	}
	secret, _, err := d.operator.issueKey(ctx, probeTeam)
	if err != nil {
		return err
	}
	d.prober = &prober{demo: d, secret: secret, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	if slices.Contains(d.faults, FaultKeyWithdrawal) {
		d.prober.withdrawnSecret, d.withdrawnRecord, err = d.operator.issueKey(ctx, teamName(keyTeam))
	}
	return err
}

// awaitReady waits until isReady is true for each instance. It returns an error if that
// takes longer than readyTimeout.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range d.instances {
		for !d.isReady(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("instances did not become ready: %w", ctx.Err())
			}
			waiter.Pause(ctx, readyPollInterval)
		}
	}
	return nil
}

// isReady reports whether a lookup at the instance returns all instances of the run and
// the instance forwards a request to an upstream.
func (d *Demo) isReady(ctx context.Context, i *instance) bool {
	entries, err := fetchEntries(ctx, i.daemon.LookupAddress(), d.shape.Regions[0])
	if err != nil || len(entries.Instances) != len(d.instances) {
		return false
	}
	path := fmt.Sprintf("/%s/%s/ready", d.shape.Services[0].Name, probeTeam)
	result := postRequest(ctx, d.prober.client, i.daemon.CallerAddress(), d.prober.secret, callerRequest{path: path})
	return result.kind == attemptAnswered
}

// runLoad runs the callers, the prober, the headroom samples and the steps of the run, and
// waits until all of them have ended. The callers of a team together send requests at a
// third of the team's rate limit.
func (d *Demo) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.duration)
	defer cancel()
	var wg sync.WaitGroup
	for n := range d.shape.Teams {
		for m := range callersPerTeam {
			c := d.newCaller(n, fmt.Sprintf("%c", 'a'+m), teamRate(n)/3/callersPerTeam)
			wg.Go(func() { c.run(ctx) })
		}
	}
	wg.Go(func() { d.prober.run(ctx) })
	wg.Go(func() { d.sampleHeadroom(ctx) })
	wg.Go(func() { d.runSteps(ctx) })
	wg.Wait()
}
