// Package daemon implements an entry instance: a process that accepts callers' requests
// and forwards them to upstreams. Command seamd runs one instance per process. Tests, and
// the demonstrations and measurements of seamctl, run several instances in one process.
//
// Decisions are made by models in other packages, such as decider and gossiper. A model
// does no input or output: it takes messages and returns commands. This package converts
// network input and clock ticks to messages, and executes the commands. The decision loop
// is the goroutine that runs the model of package decider, which routes requests.
//
// The other instances of the fleet are an instance's peers. An instance may pass a
// request to a peer:
//
//   - The slot owner of a service is the instance that forwards all requests of the
//     service in its region, and so keeps to the upstreams' slots (concurrent requests).
//   - The home of a named request runs it at most once. A name is chosen by the caller and
//     starts with a signed ticket from a lookup answer; the instance that issued the
//     ticket is the home. The home records the answers to its named requests and sends
//     the recorded answer to a repeat. When it shuts down, it hands its records over to
//     another instance, its successor.
//
// Instances exchange heartbeats, which carry the member list and the load reports. One
// start of an instance is identified by its incarnation, the time of the start.
//
// The ledger of package allocator divides the fleet-wide limits, such as a team's rate,
// among the instances. The share of a failure domain is called a seat. One instance holds
// the seat under a lease in the store and lends parts of it to the others. The roster,
// also in the store, lists the holders of all seats. A holder that can't reach the store
// may go on using its seat if more than half of the roster's members vouch for it: each
// states that it can't reach the store either and has no newer roster.
//
// The configuration, the callers' keys and the client map are objects in the platform's
// store. A few instances of each region, the watchers, read them from the store. Each of
// the other instances follows a watcher: it copies the objects from the watcher with long
// polls.
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

// readHeaderTimeout is how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Daemon is an entry instance of the fleet.
type Daemon struct {
	settings     loader.Settings
	clock        clockwork.Clock
	log          *zap.Logger
	store        storer.Store
	forwarder    *forwarder.Forwarder
	loop         *loop
	metrics      *metrics.Set
	meters       *meters
	lookupTable  atomic.Pointer[steerer.Table]
	config       atomic.Pointer[configurer.Config]
	appliedState atomic.Pointer[appliedState]
	replication  *replication
	ledger       *ledgerExecutor
	// keyRecords and keyVersions hold the records of the callers' keys, and the
	// versions of these records in the store, by the names of the objects. They are
	// guarded by replication.mu.
	keyRecords  map[string]authenticator.Record
	keyVersions map[string]int64
	peerClient  *http.Client
	security    security
	clientMap   *clientMap
	// workCtx ends when the shutdown is complete. shutdownStarted is closed when the
	// shutdown starts.
	workCtx         context.Context
	shutdownStarted chan struct{}
	leaving         atomic.Bool
	arrivals        arrivals
	directory       directory
	// forwarderOptions holds the options for the forwarder that [WithoutMechanism]
	// adds.
	forwarderOptions []forwarder.Option
	peerAddresses    atomic.Pointer[map[string]string]
	signer           atomic.Pointer[ticketer.Signer]
	home             *deduplicator.Home
	// reportedPeers is the list of peers that was last sent to the loop. It is
	// guarded by membership.mu.
	reportedPeers []decider.Peer
	membership    *membership
	// incarnation is the time of this start, in nanoseconds since 1970. Later starts
	// of the same instance have greater incarnations.
	incarnation uint64
	nextID      atomic.Uint64
	listeners   listeners
	// disabledMechanism is the mechanism that a test turned off, or 0.
	disabledMechanism Mechanism
	peerDial          PeerDial
	// drainRequested is closed when an operator requests a graceful shutdown.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// killRequested is closed by [Daemon.Kill].
	killRequested chan struct{}
	killOnce      sync.Once
}

// PeerDial opens a connection to another instance.
type PeerDial func(ctx context.Context, network, address string) (net.Conn, error)

// listeners holds the daemon's listeners.
type listeners struct {
	callers net.Listener
	lookups net.Listener
	peers   net.Listener
	metrics net.Listener
}

// Option configures a daemon.
type Option func(*Daemon)

// WithLogger sets the logger. The default discards everything.
func WithLogger(log *zap.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithClock sets the clock, for tests.
func WithClock(c clockwork.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithStore sets the platform's object store. The default is an HTTP client for the
// address in the settings.
func WithStore(s storer.Store) Option { return func(d *Daemon) { d.store = s } }

// WithPeerDial sets the function that opens connections to other instances.
func WithPeerDial(dial PeerDial) Option { return func(d *Daemon) { d.peerDial = dial } }

// New returns a daemon whose listeners are open; [Daemon.Run] serves them. If a listener
// can't be opened, the error contains its name and its address.
func New(settings loader.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		settings: settings,
		clock:    clockwork.NewRealClock(),
		log:      zap.NewNop(),
		metrics:  metrics.NewSet(),

		keyRecords:      map[string]authenticator.Record{},
		keyVersions:     map[string]int64{},
		shutdownStarted: make(chan struct{}),
		peerDial:        (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		killRequested:   make(chan struct{}),
		drainRequested:  make(chan struct{}),
	}
	d.appliedState.Store(&appliedState{})
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
	if err := d.loadSecurity(); err != nil {
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
	d.clientMap = newClientMap(d)
	d.ledger = newLedgerExecutor(d)
	d.loop.ledger = d.ledger.execute
	d.replication = newReplication(d, seed)
	d.meters.addStateGauges(d)
	d.lookupTable.Store(steerer.NewTable(nil, nil))
	if err := d.bind(); err != nil {
		return nil, err
	}
	d.membership = newMembership(d, seed)
	return d, nil
}

// bind opens all listeners.
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

// CallerAddress returns the address on which the daemon serves callers' requests.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// LookupAddress returns the address on which the daemon serves lookups.
func (d *Daemon) LookupAddress() string { return d.listeners.lookups.Addr().String() }

// PeerAddress returns the address on which the daemon serves other instances.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// MetricsAddress returns the address on which the daemon serves metrics.
func (d *Daemon) MetricsAddress() string { return d.listeners.metrics.Addr().String() }

// Run serves until ctx ends, then shuts down gracefully: it refuses new requests and
// completes the open ones. It also shuts down gracefully when an operator requests a
// drain, when a later start with the same instance id has taken over, or when a listener
// fails. After [Daemon.Kill], it closes all connections at once instead. Run returns an
// error if a listener failed, or if requests were still open at the shutdown timeout.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	d.workCtx = workCtx
	background, _ := errgroup.WithContext(workCtx)
	background.Go(func() error { d.loop.run(workCtx); return nil })
	background.Go(func() error { d.replication.run(workCtx); return nil })
	background.Go(func() error { d.clientMap.run(workCtx); return nil })
	background.Go(func() error { d.watchInstances(workCtx); return nil })
	background.Go(func() error { d.membership.run(workCtx); return nil })
	background.Go(func() error { d.loadTicketKey(workCtx); return nil })

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
		if d.disabledMechanism == GracefulStop {
			closeAll(servers)
			break
		}
		err = d.shutDown(servers)
	case <-d.drainRequested:
		err = d.shutDown(servers)
	case <-d.killRequested:
		d.membership.halt()
		closeAll(servers)
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

// Kill stops the instance at once, as a crash would. It is for tests.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killRequested) }) }

// server is an HTTP server with its listener.
type server struct {
	name   string
	socket net.Listener
	http   *http.Server
}

// serve accepts connections until the server is closed or fails. It returns nil if the
// server was closed.
func (s *server) serve() error {
	err := s.http.Serve(s.socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.name, err)
}
