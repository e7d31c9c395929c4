// Package daemon runs an entry instance: its listeners, its decision loop and
// the commands that the loop gives.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.WithLogger(logger))
//	err = d.Run(ctx) // returns after a graceful shutdown when ctx ends
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"primroseseam.org/seam/accepter"
	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/deduplicator"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/ticketer"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/seamd/loader"
)

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Daemon is an entry instance.
type Daemon struct {
	settings  loader.Settings
	clock     clockwork.Clock
	log       *zap.Logger
	store     storer.Store
	forwarder *forwarder.Forwarder
	loop      *loop
	metrics   *metrics.Set
	meters    *meters
	table     atomic.Pointer[steerer.Table]
	config    atomic.Pointer[configurer.Config]
	inForce   atomic.Pointer[inForce]
	spread    *spread
	ledger    *ledgerCalls
	// keyRecords and keyVersions are guarded by the spread's lock.
	keyRecords  map[string]authenticator.Record
	keyVersions map[string]int64
	peerClient  *http.Client
	security    security
	clients     *clients
	// work ends when the daemon has shut down, stopping when it starts to.
	work      context.Context
	stopping  chan struct{}
	leaving   atomic.Bool
	intake    intake
	directory directory
	// forwarding holds the forwarder's options that tests set.
	forwarding []forwarder.Option
	addresses  atomic.Pointer[map[string]string]
	signer     atomic.Pointer[ticketer.Signer]
	home       *deduplicator.Home
	// toldPeers is guarded by the membership's lock.
	toldPeers  []decider.Peer
	membership *membership
	// incarnation orders the starts of this instance.
	incarnation uint64
	nextID      atomic.Uint64
	listeners   listeners
	// without is the mechanism that a test turned off, or 0.
	without  Mechanism
	peerDial PeerDial
	// drained ends the run as ctx does, when an operator asks for it.
	drained   chan struct{}
	drainOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once
}

// PeerDial opens a connection to another instance.
type PeerDial func(ctx context.Context, network, address string) (net.Conn, error)

// listeners holds the bound sockets.
type listeners struct {
	callers net.Listener
	lookups net.Listener
	peers   net.Listener
	metrics net.Listener
}

// Option changes a daemon at its creation.
type Option func(*Daemon)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithStore sets the platform's object service.
func WithStore(s storer.Store) Option { return func(d *Daemon) { d.store = s } }

// WithPeerDial sets how connections to other instances are opened.
func WithPeerDial(dial PeerDial) Option { return func(d *Daemon) { d.peerDial = dial } }

// New binds the listeners of an instance. Errors say which address failed.
func New(settings loader.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		clock:    clockwork.NewRealClock(),
		log:      zap.NewNop(),
		metrics:  metrics.NewSet(),

		keyRecords:  map[string]authenticator.Record{},
		keyVersions: map[string]int64{},
		stopping:    make(chan struct{}),
		peerDial:    (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		killed:      make(chan struct{}),
		drained:     make(chan struct{}),
	}
	d.inForce.Store(&inForce{})
	for _, opt := range opts {
		opt(d)
	}
	if d.store == nil {
		store, err := newStore(settings)
		if err != nil {
			return nil, err
		}
		d.store = store
	}
	d.store = storer.Observe(d.store, d.countStoreCall)
	if err := d.secure(); err != nil {
		return nil, err
	}
	d.forwarder = d.newForwarder()
	d.incarnation = uint64(d.clock.Now().UnixNano())
	seed := settings.Seed
	if seed == 0 {
		seed = d.incarnation
	}
	self := decider.NewSelf(settings.Instance.ID, settings.Instance.Region, settings.Instance.FailureDomain)
	model := decider.New(decider.WithSelf(self), decider.WithSeed(seed), decider.WithIncarnation(d.incarnation))
	d.home = deduplicator.New(settings.Instance.ID, d.incarnation)
	d.meters = newMeters(d.metrics)
	d.loop = newLoop(model, d.clock, newDecisionLog(d.log, settings.Log.Sampling), d.meters)
	d.clients = newClients(d)
	d.ledger = newLedgerCalls(d)
	d.loop.ledger = d.ledger.carryOut
	d.spread = newSpread(d, seed)
	d.meters.addState(d)
	d.table.Store(steerer.NewTable(nil, nil))
	if err := d.bind(); err != nil {
		return nil, err
	}
	d.membership = newMembership(d, seed)
	return d, nil
}

func (d *Daemon) bind() error {
	sockets := []struct {
		name    string
		address string
		socket  *net.Listener
	}{
		{"callers", d.settings.Listen.Callers, &d.listeners.callers},
		{"lookups", d.settings.Listen.Lookups, &d.listeners.lookups},
		{"peers", d.settings.Listen.Peers, &d.listeners.peers},
		{"metrics", d.settings.Listen.Metrics, &d.listeners.metrics},
	}
	for _, s := range sockets {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", s.name, err)
		}
		*s.socket = d.secureListener(s.name, accepter.New(l))
	}
	return nil
}

// CallerAddress returns the bound address for callers' requests.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// LookupAddress returns the bound address for look-ups.
func (d *Daemon) LookupAddress() string { return d.listeners.lookups.Addr().String() }

// PeerAddress returns the bound address for other instances.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// MetricsAddress returns the bound address for metrics.
func (d *Daemon) MetricsAddress() string { return d.listeners.metrics.Addr().String() }

// Run serves until ctx ends, then shuts down gracefully: requests in progress
// go on, new ones are refused, and nothing is cut.
func (d *Daemon) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	d.work = work
	background, _ := errgroup.WithContext(work)
	background.Go(func() error { d.loop.run(work); return nil })
	background.Go(func() error { d.spread.run(work); return nil })
	background.Go(func() error { d.clients.run(work); return nil })
	background.Go(func() error { d.watchInstances(work); return nil })
	background.Go(func() error { d.membership.run(work); return nil })
	background.Go(func() error { d.watchTicketKey(work); return nil })

	servers := []*server{
		{"callers", d.listeners.callers, d.callerServer()},
		{"lookups", d.listeners.lookups, &http.Server{Handler: d.lookupHandler(), ReadHeaderTimeout: readHeaderTimeout}},
		{"peers", d.listeners.peers, &http.Server{Handler: d.peerHandler(), ReadHeaderTimeout: readHeaderTimeout}},
		{"metrics", d.listeners.metrics, &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: readHeaderTimeout}},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		background.Go(func() error { failed <- s.serve(); return nil })
	}
	d.log.Info("daemon: started", zap.String("instance", d.settings.Instance.ID))

	var err error
	select {
	case <-ctx.Done():
		if d.without == GracefulStop {
			cutAll(servers)
			break
		}
		err = d.shutDown(servers)
	case <-d.drained:
		err = d.shutDown(servers)
	case <-d.killed:
		d.membership.end()
		cutAll(servers)
	case <-d.membership.superseded:
		err = d.shutDown(servers)
	case err = <-failed:
		err = errors.Join(err, d.shutDown(servers))
	}
	stopWork()
	_ = background.Wait()
	d.forwarder.Close()
	d.log.Info("daemon: stopped", zap.String("instance", d.settings.Instance.ID))
	return err
}

// Kill ends the instance at once, as a crash would. For tests of failures.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

// server is one HTTP listener.
type server struct {
	name   string
	socket net.Listener
	http   *http.Server
}

func (s *server) serve() error {
	err := s.http.Serve(s.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}
