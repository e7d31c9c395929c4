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
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/responder"
	"primroseseam.org/standin/storekeeper"
)

const (
	defaultDuration = 20 * time.Second
	// readyTimeout bounds how long daemons may take until they are in look-ups.
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	loopback     = "127.0.0.1:0"
)

// Demo is one run.
type Demo struct {
	deployment string
	seed       uint64
	duration   time.Duration
	log        *zap.Logger

	shape    Shape
	keeper   *storekeeper.Keeper
	store    storer.Store
	storeURL string
	daemons  []*daemon.Daemon
	secrets  []string
	checker  *checker
	cleanups []func()
}

// Option changes a demo at its creation.
type Option func(*Demo)

// WithDeployment names the deployment whose shape is run.
func WithDeployment(name string) Option { return func(d *Demo) { d.deployment = name } }

// WithSeed seeds the callers and the faults.
func WithSeed(seed uint64) Option { return func(d *Demo) { d.seed = seed } }

// WithDuration sets how long callers send requests.
func WithDuration(t time.Duration) Option { return func(d *Demo) { d.duration = t } }

// WithLogger sets the daemons' logger.
func WithLogger(log *zap.Logger) Option { return func(d *Demo) { d.log = log } }

// Run starts the deployment, drives it and reports what both ends saw.
func Run(ctx context.Context, opts ...Option) (Report, error) {
	d := &Demo{deployment: "nathibandh", seed: 1, duration: defaultDuration, log: zap.NewNop()}
	for _, opt := range opts {
		opt(d)
	}
	shape, err := ShapeOf(d.deployment)
	if err != nil {
		return Report{}, err
	}
	d.shape = shape
	d.checker = newChecker()
	ctx, cancel := context.WithCancel(ctx)
	defer d.cleanUp()
	defer cancel()
	if err := d.start(ctx); err != nil {
		return Report{}, err
	}
	d.drive(ctx)
	return d.checker.report(d.deployment, d.seed), nil
}

func (d *Demo) cleanUp() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

func (d *Demo) start(ctx context.Context) error {
	d.keeper = storekeeper.New()
	address, err := d.serve(d.keeper)
	if err != nil {
		return err
	}
	d.storeURL = "http://" + address
	d.store = storer.NewHTTP(d.storeURL)
	if err := d.writeConfig(ctx); err != nil {
		return err
	}
	if err := d.issueKeys(ctx); err != nil {
		return err
	}
	for i := range d.shape.Instances {
		if err := d.startDaemon(ctx, i); err != nil {
			return err
		}
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
	endpoints := map[string][]configurer.Endpoint{}
	for _, svc := range d.shape.Services {
		for i := range svc.Endpoints {
			upstream := responder.New(
				responder.WithSlots(svc.Slots),
				responder.WithWork(svc.Work),
				responder.WithSeed(d.seed+uint64(i)),
				responder.WithObserver(d.checker.upstreamSaw),
			)
			address, err := d.serve(upstream)
			if err != nil {
				return err
			}
			region := d.shape.Regions[i%len(d.shape.Regions)]
			endpoints[svc.Name] = append(endpoints[svc.Name], configurer.Endpoint{
				Address: address, Region: region,
				FailureDomain: domainName(region, i/len(d.shape.Regions)),
				Slots:         svc.Slots, MaxConnections: svc.Conns,
			})
		}
	}
	value, err := json.Marshal(d.shape.document(endpoints))
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	_, err = d.store.Put(ctx, storer.Object{Kind: storer.KindConfig, Name: "current", Value: value})
	return err
}

func (d *Demo) issueKeys(ctx context.Context) error {
	for i := range d.shape.Teams {
		secret, record, err := authenticator.Issue(teamName(i), time.Now())
		if err != nil {
			return err
		}
		value, err := json.Marshal(record)
		if err != nil {
			return fmt.Errorf("encode key: %w", err)
		}
		if _, err := d.store.Put(ctx, storer.Object{Kind: storer.KindKey, Name: record.Digest.String(), Value: value}); err != nil {
			return err
		}
		d.secrets = append(d.secrets, secret)
	}
	return nil
}

func (d *Demo) startDaemon(ctx context.Context, i int) error {
	region := d.shape.Regions[i%len(d.shape.Regions)]
	settings := loader.Settings{
		Instance: loader.Instance{
			ID: fmt.Sprintf("seamd-%d", i+1), Region: region,
			FailureDomain: domainName(region, i/len(d.shape.Regions)),
		},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: d.storeURL},
		Shutdown: loader.Shutdown{Timeout: configurer.Duration(readyTimeout)},
		Seed:     d.seed + uint64(i),
	}
	instance, err := daemon.New(settings, daemon.WithLogger(d.log))
	if err != nil {
		return err
	}
	d.daemons = append(d.daemons, instance)
	d.keeper.SetInstance(storer.Instance{
		ID: settings.Instance.ID, Region: region, FailureDomain: settings.Instance.FailureDomain,
		CallerAddress: instance.CallerAddress(), LookupAddress: instance.LookupAddress(),
		PeerAddress: instance.PeerAddress(), State: storer.InstanceLive,
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = instance.Run(ctx)
	}()
	d.cleanups = append(d.cleanups, func() { <-done })
	return nil
}

// awaitReady waits until every daemon's look-up lists every instance.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range d.daemons {
		for {
			answer, err := lookUp(ctx, instance.LookupAddress(), d.shape.Regions[0])
			if err == nil && len(answer.Instances) == len(d.daemons) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("instances are not ready: %w", ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// drive lets every team's callers send requests for the run's duration.
func (d *Demo) drive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.duration)
	defer cancel()
	done := make(chan struct{})
	for i := range d.shape.Teams {
		c := &caller{
			demo: d, team: teamName(i), secret: d.secrets[i], region: d.shape.Regions[i%len(d.shape.Regions)],
			rate: teamRate(i) / 3, rng: rand.New(rand.NewPCG(d.seed, uint64(i))), client: &http.Client{},
		}
		go func() {
			defer func() { done <- struct{}{} }()
			c.run(ctx)
		}()
	}
	for range d.shape.Teams {
		<-done
	}
}
