// Package edger implements the edge daemon, seamedge, a load balancer on the users'
// platform. An edge instance is one process of this daemon.
//
// All decisions about requests are made by the model, a [conductor.Model], which does no
// I/O. Package edger passes each event to the model as a message and executes the commands
// that the model returns. In particular, package edger does the following:
//
//   - It serves callers' requests and sends them to endpoints, which are the servers of
//     the users' services.
//   - It answers look-ups, with which callers get the addresses of instances.
//   - It keeps copies of the objects in the platform's store, with one
//     [follower.Follower] for each kind.
//   - It exchanges heartbeats with the other instances. A full heartbeat also holds the
//     demand of all teams and the sender's identity. Each periodic heartbeat is sent to one
//     of two audiences: the instances of the same region, or those of all other regions.
//
// # Usage
//
//	e := edger.New(settings, os.Stdout)
//	err := e.Run(ctx) // until ctx ends, then a graceful stop
package edger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/accepter"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/timekeeper"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/heartbeater"
	"primroseseam.org/seamedge/limiter"
)

const (
	// tickInterval is the time between two ticks. At each tick the model renews this
	// instance's shares of fleet-wide rates and detects instances that no longer send
	// heartbeats.
	tickInterval = 200 * time.Millisecond
	// lateTickThreshold is the delay above which a late tick is logged.
	lateTickThreshold = 250 * time.Millisecond
	// pruneInterval is the time between two checks for connections to endpoints that
	// have been idle for too long. These connections are closed.
	pruneInterval = time.Second
	// defaultHeaderTimeout limits the time to read the header of a request if the
	// configuration sets no limit. longestHeaderTimeout applies whatever the configuration
	// sets, and so does maxHeaderBytes, the limit on the size of the header.
	defaultHeaderTimeout = 10 * time.Second
	longestHeaderTimeout = 60 * time.Second
	maxHeaderBytes       = 64 << 10
	// idleTimeout is how long a connection may be idle if the configuration sets no
	// limit. Callers close idle connections earlier than this.
	idleTimeout = 75 * time.Second
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of
	// the instance's memory. Near this limit the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// callersShare is the share of the callers' socket in the memory for what clients make the
	// instance hold, and otherShare that of each other socket; see package limiter.
	callersShare = 0.75
	otherShare   = 0.0625
)

// Edge is an edge instance.
type Edge struct {
	// settings are those of the start. current are those with the live fields of the latest
	// reload; see settingsFields.
	settings     Settings
	current      atomic.Pointer[Settings]
	settingsPath string
	startedAtMs  int64
	// clock counts suspends. It is the one of ages that are reported to other instances.
	clock      *timekeeper.Keeper
	logs       *Logs
	log        *zap.Logger
	metrics    *edgeMetrics
	exchanger  *exchanger.Exchanger
	heartbeats *heartbeater.Heartbeater
	store      *platform.Store
	followers  map[string]*follower.Follower
	copyClient *http.Client
	fetchQueue *fetchQueue
	// announceAll and announceSameRegion make runHeartbeats send the positions of this
	// instance's copies at once. announceAll sends them to the instances of all regions,
	// announceSameRegion only to those of this instance's region.
	announceAll        chan struct{}
	announceSameRegion chan struct{}
	// storeEra is the newest era of the store that this instance has seen, or -1 before the
	// first one. registerAgain makes the instance register itself again.
	storeEra      atomic.Int64
	registerAgain chan struct{}
	servers       []server
	shortage      descriptorShortage

	// registrationFailed means that the last call to write this instance's entry in the store, or to
	// read the entries as they are now, failed.
	registrationFailed atomic.Bool

	// slicing is used by runHeartbeats only, configDecoder by the follower of the configuration,
	// renewals (see [follower.Instance]) by register, and fleetLog by runTicks.
	slicing       slicing
	configDecoder platform.ConfigDecoder
	renewals      uint64
	fleetLog      fleetLog

	// mu guards model, endpointTable and sequenceNumber.
	mu            sync.Mutex
	model         *conductor.Model
	endpointTable *endpointTable
	// sequenceNumber is the sequence number of this instance's last periodic heartbeat.
	sequenceNumber uint64
	peers          *peerTable
	lastRequestID  atomic.Uint64
	openRequests   atomic.Int64
	// ready means that the instance has received a configuration and endpoints.
	// stopping means that a graceful stop has begun. refusingRequests means that the
	// instance refuses new requests, as it does in the later part of a graceful stop.
	ready            atomic.Bool
	stopping         atomic.Bool
	refusingRequests atomic.Bool
}

// Option configures an Edge in New.
type Option func(*Edge)

// WithSettingsFile sets the path of the settings file. While the instance runs, it
// reloads this file when the file changes or a SIGHUP arrives.
func WithSettingsFile(settingsPath string) Option {
	return func(e *Edge) { e.settingsPath = settingsPath }
}

// New returns an instance that writes its log to output. [Edge.Run] opens its sockets and
// starts it.
func New(settings Settings, output io.Writer, opts ...Option) *Edge {
	startedAtMs := time.Now().UnixMilli()
	logs := NewLogs(output, settings.Log.LinesPerSecond)
	exchange := exchanger.New()
	e := &Edge{
		settings:    settings,
		startedAtMs: startedAtMs,
		clock:       timekeeper.New(),
		logs:        logs,
		log:         logs.logger.With(zap.String("instance", settings.Instance.ID)),
		metrics:     newMetrics(),
		exchanger:   exchange,
		store:       platform.NewStore(settings.Store),
		followers:   map[string]*follower.Follower{},
		copyClient:  heartbeater.NewClient(),
		model: conductor.New(
			conductor.WithSelf(settings.Instance.ID, settings.Instance.Zone, settings.Zones),
			conductor.WithBounds(settings.conductorBounds()),
			conductor.WithStart(startedAtMs),
			conductor.WithSeed(rand.Uint64()),
			conductor.WithHasConnection(exchange.HasIdle),
		),
		fetchQueue:         newFetchQueue(followedKinds...),
		announceAll:        make(chan struct{}, 1),
		announceSameRegion: make(chan struct{}, 1),
		registerAgain:      make(chan struct{}, 1),
		endpointTable:      newEndpointTable(),
		peers:              newPeerTable(settings.peerAddresses(), settings.Listen.Peers),
	}
	e.storeEra.Store(-1)
	e.current.Store(&settings)
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// update passes a message to the model and returns the commands that the model gives in
// response.
func (e *Edge) update(msg conductor.Msg) []conductor.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Update(time.Now(), msg)
}

// Run serves requests until ctx ends, and then stops the instance gracefully. It returns
// an error if a socket can't be opened or a server fails.
func (e *Edge) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(e.settings.Memory.CollectPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(e.settings.Memory.LimitMB) * (1 << 20)))
	// The workers continue to run after ctx has ended, until the graceful stop has
	// finished.
	background, cancelBackground := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	defer func() {
		cancelBackground()
		workers.Wait()
	}()
	startWorker := func(f func(context.Context)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			f(background)
		}()
	}
	startWorker(e.logs.Run)
	if e.settingsPath != "" {
		signals, stop := notifyHangups()
		defer stop()
		startWorker(func(ctx context.Context) { e.watchSettings(ctx, e.settingsPath, signals) })
	}
	if err := e.listen(); err != nil {
		return err
	}
	e.limitConnections()
	e.log.Info("start", zap.String("zone", e.settings.Instance.Zone), zap.String("callers", e.settings.Listen.Callers),
		zap.String("store", e.settings.Store), zap.Strings("peers", e.peers.allAddresses()))
	for _, f := range e.newFollowers() {
		startWorker(f.Run)
	}
	startWorker(e.heartbeats.Run)
	startWorker(e.runHeartbeats)
	startWorker(e.runTicks)
	startWorker(e.runProbes)
	startWorker(e.register)
	for _, kind := range followedKinds {
		startWorker(func(ctx context.Context) { e.runFetches(ctx, kind) })
	}
	serveErrors := make(chan error, len(e.servers))
	for _, s := range e.servers {
		startWorker(func(context.Context) { serveErrors <- s.serve() })
	}
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return fmt.Errorf("serve: %w", err)
	}
	e.stop()
	return nil
}

// socketCallers is the name of the callers' socket in logs and metrics.
const socketCallers = "callers"

// server is an HTTP server and the listener of its socket. budget bounds what its clients make
// the instance hold.
type server struct {
	name     string
	http     *http.Server
	listener *accepter.Listener
	budget   *limiter.Budget
	// serveEnded is closed when the server no longer accepts connections.
	serveEnded chan struct{}
}

func (s server) serve() error {
	defer close(s.serveEnded)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens all sockets of the settings and creates their servers, without starting
// them.
func (e *Edge) listen() error {
	var err error
	report := func(err error) { e.log.Warn("heartbeat: receiving or decoding failed", zap.Error(err)) }
	if e.heartbeats, err = heartbeater.Listen(e.settings.Listen.Peers, e.handleHeartbeat, report, heartbeater.WithClock(e.clock)); err != nil {
		return err
	}
	path, copyHandler := heartbeater.Handler(e.deltasFor)
	peers := http.NewServeMux()
	peers.Handle(path, copyHandler)
	handlers := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{socketCallers, e.settings.Listen.Callers, http.HandlerFunc(e.serveCaller)},
		{"ready", e.settings.Listen.Ready, withoutBody(e.serveReady)},
		{"lookups", e.settings.Listen.Lookups, withoutBody(e.serveLookup)},
		{"peers", e.settings.Listen.Peers, peers},
		{"metrics", e.settings.Listen.Metrics, withoutBody(e.serveOperators)},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		l, err := listenConfig.Listen(context.Background(), "tcp4", h.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		e.servers = append(e.servers, e.newServer(h.name, l, h.handler))
	}
	return nil
}

// newServer returns a server for the socket of a listener. It doesn't start the server.
func (e *Edge) newServer(name string, l net.Listener, handler http.Handler) server {
	share := otherShare
	if name == socketCallers {
		share = callersShare
	}
	for _, r := range limiter.Reasons() {
		e.metrics.closings(name, r)
	}
	clientMB := float64(e.settings.Memory.LimitMB*e.settings.Memory.ClientsPercent) / 100
	budget := limiter.New(int64(share*clientMB*(1<<20)), limiter.WithReport(func(c limiter.Closing) { e.handleClosing(name, c) }))
	listener := accepter.New(l, accepter.WithReport(func(err error) { e.handleAccept(name, err) }),
		accepter.WithFreeOne(budget.CloseOldestIdle),
		accepter.WithMeter(func(c *accepter.Conn) (accepter.Meter, bool) { return budget.Open(c) }))
	return server{name: name, listener: listener, budget: budget, serveEnded: make(chan struct{}), http: &http.Server{
		Handler: withBodyFraming(handler), ReadHeaderTimeout: longestHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(e.log),
		ConnState: listener.Track, ConnContext: accepter.Context,
		// Otherwise net/http answers "OPTIONS *" by itself, as if an endpoint had.
		DisableGeneralOptionsHandler: true,
	}}
}

// accountOf returns the account of the connection that a request came on.
func accountOf(r *http.Request) *limiter.Account {
	return accepter.MeterOf(r.Context()).(*limiter.Account)
}

// withBodyFraming returns a handler that informs the account of a connection of the length of each
// request's body, if it has one.
func withBodyFraming(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			accountOf(r).BeginBody(r.ContentLength)
		}
		handler.ServeHTTP(w, r)
	})
}

// withoutBody returns a handler for requests that need no body. If a request has one, its
// connection is closed after the response, and the body isn't read.
func withoutBody(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if accountOf(r).AwaitTurn(r.Context()) != nil {
			return
		}
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		handler(w, r)
	})
}

// recordTick records how late a tick is. elapsed is the time since the previous tick; the
// tick is late by the part of it that exceeds tickInterval. A late tick means that the
// process had to wait for the CPU.
func (e *Edge) recordTick(elapsed time.Duration) {
	tickLateness := max(elapsed-tickInterval, 0)
	e.metrics.tickLateness.Update(tickLateness.Seconds())
	if tickLateness > lateTickThreshold {
		e.log.Warn("process: tick was late", zap.Duration("late", tickLateness))
	}
}

// logLimitChanges logs the changes of endpoints' rate limits since the last call.
func (e *Edge) logLimitChanges() {
	e.mu.Lock()
	changes := e.model.TakeLimitChanges()
	e.mu.Unlock()
	for _, c := range changes {
		if !c.Named {
			e.log.Info("endpoint: rate limit ended", zap.String("endpoint", c.Endpoint), zap.Bool("byPeer", c.ByPeer), zap.Duration("age", c.Age))
			continue
		}
		e.log.Info("endpoint: rate limit", zap.String("endpoint", c.Endpoint), zap.Float64("perSecond", c.PerSecond),
			zap.Bool("byPeer", c.ByPeer), zap.Duration("age", c.Age))
	}
}

// logQuarantineChanges logs the quarantines that have begun or ended since the last call.
func (e *Edge) logQuarantineChanges() {
	e.mu.Lock()
	changes := e.model.TakeQuarantineChanges()
	e.mu.Unlock()
	now := time.Now()
	for _, c := range changes {
		message := "quarantine: begun"
		if c.Answered {
			message = "quarantine: ended by an answer"
		}
		e.log.Warn(message, zap.String("digest", formatDigest(c.Digest)), zap.Int("ends", c.Ends),
			zap.Duration("lastEnd", now.Sub(c.LastEndAt)), zap.Duration("left", c.Until.Sub(now)), zap.Bool("byPeer", c.ByPeer))
	}
}

// runTicks does the work that is due at each tick, until ctx ends.
func (e *Edge) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastPrune := time.Now()
	lastTick := lastPrune
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			e.recordTick(now.Sub(lastTick))
			lastTick = now
			e.update(conductor.Ticked{StoreAge: e.storeAge()})
			e.logFleetChanges(now)
			e.logLimitChanges()
			e.logQuarantineChanges()
			e.removeMissingEndpoints(e.clock.Now())
			e.limitConnections()
			if now.Sub(lastPrune) > pruneInterval {
				lastPrune = now
				e.exchanger.PruneIdle()
			}
		}
	}
}
