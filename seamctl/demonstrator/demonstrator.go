// Package demonstrator runs a small deployment in one process, with real loopback
// sockets: a store stand-in, upstream stand-ins and daemons. It injects faults and
// checks the system's promises, which are properties that must hold in every run.
//
// The checker uses only what the callers and the upstream stand-ins observe. It doesn't
// rely on what the daemons report about themselves.
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
	// readyTimeout limits the time until all daemons serve requests. The run's HTTP
	// servers also use it as the limit for reading a request header.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	loopback          = "127.0.0.1:0"
	// callersPerTeam is the number of callers of each team. Each has its own lookups
	// and connections.
	callersPerTeam = 4
)

// Demo is one run of a deployment.
type Demo struct {
	deployment string
	seed       uint64
	duration   time.Duration
	faults     []Fault
	// disabled is the mechanism that the daemons run without, or 0 for none.
	disabled daemon.Mechanism
	log      *zap.Logger
	progress func(string)

	shape       Shape
	storeServer *storekeeper.FakeStore
	operator    operator
	storeURL    string
	instances   []*instance
	endpoints   []*endpoint
	// secrets holds each team's API key.
	secrets []string
	// withdrawnRecord is the stored record of the key that is withdrawn during the
	// run.
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

// WithDuration sets how long callers send requests.
func WithDuration(t time.Duration) Option { return func(d *Demo) { d.duration = t } }

// WithFaults sets the faults of the run; the default is none.
func WithFaults(faults ...Fault) Option { return func(d *Demo) { d.faults = faults } }

// WithoutMechanism disables a mechanism of the daemons.
func WithoutMechanism(m daemon.Mechanism) Option { return func(d *Demo) { d.disabled = m } }

// WithLogger sets the daemons' logger.
func WithLogger(log *zap.Logger) Option { return func(d *Demo) { d.log = log } }

// WithProgress sets the function that receives a line of text for each step of the run.
func WithProgress(report func(string)) Option { return func(d *Demo) { d.progress = report } }

// Run starts a deployment, sends requests and injects the faults, and reports what the
// checker found at the callers and the upstreams.
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

// start starts the store, the upstreams and the daemons, and waits until all are ready.
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

// issueKeys issues a key for each team, one for the prober and, if the run contains
// FaultKeyWithdrawal, another one that is withdrawn later.
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

// awaitReady waits until all instances are ready.
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

// isReady reports whether an instance returns all instances in lookups and serves
// requests.
func (d *Demo) isReady(ctx context.Context, i *instance) bool {
	entries, err := fetchEntries(ctx, i.daemon.LookupAddress(), d.shape.Regions[0])
	if err != nil || len(entries.Instances) != len(d.instances) {
		return false
	}
	path := fmt.Sprintf("/%s/%s/ready", d.shape.Services[0].Name, probeTeam)
	result := postRequest(ctx, d.prober.client, i.daemon.CallerAddress(), d.prober.secret, callerRequest{path: path})
	return result.kind == answered
}

// runLoad runs the callers, the prober and the fault steps for the duration of the run.
// All callers of a team together send a third of the team's rate.
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
