// Package demonstrator runs a small deployment in one process: a store
// stand-in, upstream stand-ins and daemons over real loopback sockets.
//
// Its checker sits at both ends, at the callers and the upstream stand-ins,
// and never asks the daemons whether they behaved.
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
	// readyTimeout bounds how long daemons may take until they serve.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	loopback     = "127.0.0.1:0"
	// callersPerTeam is the number of a team's callers, each with its own
	// look-ups and connections.
	callersPerTeam = 4
)

// Demo is one run.
type Demo struct {
	deployment string
	seed       uint64
	duration   time.Duration
	faults     []Fault
	broken     daemon.Mechanism
	log        *zap.Logger
	progress   func(string)

	shape           Shape
	keeper          *storekeeper.FakeStore
	operator        operator
	storeURL        string
	instances       []*instance
	endpoints       []*endpoint
	secrets         []string
	withdrawnRecord authenticator.Record
	prober          *prober
	checker         *checker
	cleanups        []func()
}

// Option changes a demo at its creation.
type Option func(*Demo)

// WithDeployment names the deployment whose shape is run.
func WithDeployment(name string) Option { return func(d *Demo) { d.deployment = name } }

// WithSeed seeds the callers and the faults.
func WithSeed(seed uint64) Option { return func(d *Demo) { d.seed = seed } }

// WithDuration sets how long callers send requests.
func WithDuration(t time.Duration) Option { return func(d *Demo) { d.duration = t } }

// WithFaults sets the faults of the run; the default is none.
func WithFaults(faults ...Fault) Option { return func(d *Demo) { d.faults = faults } }

// WithoutMechanism turns a mechanism of the daemons off.
func WithoutMechanism(m daemon.Mechanism) Option { return func(d *Demo) { d.broken = m } }

// WithLogger sets the daemons' logger.
func WithLogger(log *zap.Logger) Option { return func(d *Demo) { d.log = log } }

// WithProgress sets who is told what the run does.
func WithProgress(tell func(string)) Option { return func(d *Demo) { d.progress = tell } }

// Run starts the deployment, drives it and reports what both ends saw.
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
	d.drive(ctx)
	d.progress("all requests have ended")
	return d.checker.report(d), ctx.Err()
}

func (d *Demo) cleanUp() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// note tells of a step that failed.
func (d *Demo) note(what string, err error) {
	if err != nil {
		d.progress(what + ": " + err.Error())
	}
}

func (d *Demo) start(ctx context.Context) error {
	d.keeper = storekeeper.New()
	address, err := d.serve(d.keeper)
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

// serve starts an HTTP server on a loopback port of its own.
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

func (d *Demo) writeConfig(ctx context.Context) error {
	endpoints, err := d.startUpstreams()
	if err != nil {
		return err
	}
	doc := d.shape.document(endpoints)
	for _, r := range doc.Defaults.Regions {
		d.checker.sharing[r.Name] = r.SlotsForOthers
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return d.operator.write(ctx, storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Value: value})
}

// issueKeys makes a key for each team, one for probes and one to withdraw.
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
		d.prober.withdrawn, d.withdrawnRecord, err = d.operator.issueKey(ctx, teamName(keyTeam))
	}
	return err
}

// awaitReady waits until every look-up lists every instance and every instance
// takes requests.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range d.instances {
		for !d.ready(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("instances are not ready: %w", ctx.Err())
			}
			waiter.Pause(ctx, readyPoll)
		}
	}
	return nil
}

func (d *Demo) ready(ctx context.Context, i *instance) bool {
	answer, err := lookUp(ctx, i.daemon.LookupAddress(), d.shape.Regions[0])
	if err != nil || len(answer.Instances) != len(d.instances) {
		return false
	}
	path := fmt.Sprintf("/%s/%s/ready", d.shape.Services[0].Name, probeTeam)
	result := exchange(ctx, d.prober.client, i.daemon.CallerAddress(), d.prober.secret, outgoing{path: path})
	return result.kind == answered
}

// drive lets every team's callers send requests for the run's duration while
// the faults happen.
func (d *Demo) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.duration)
	defer cancel()
	var open sync.WaitGroup
	for n := range d.shape.Teams {
		for m := range callersPerTeam {
			c := d.newCaller(n, fmt.Sprintf("%c", 'a'+m), teamRate(n)/3/callersPerTeam)
			open.Go(func() { c.run(ctx) })
		}
	}
	open.Go(func() { d.prober.run(ctx) })
	open.Go(func() { d.sampleHeadroom(ctx) })
	open.Go(func() { d.runSteps(ctx) })
	open.Wait()
}
