// Package edger runs an entry instance on the users' platform.
//
// It joins the loop of package conductor to sockets: callers, look-ups,
// endpoints, other instances and the platform's store.
//
// # Usage
//
//	e, err := edger.New(settings, os.Stdout)
//	err = e.Run(ctx) // until ctx ends, then a planned stop
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
	"primroseseam.org/seam/dialer"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/heartbeater"
)

const (
	// tickEvery is how often parts of rates are renewed and silent instances
	// are noticed.
	tickEvery = 200 * time.Millisecond
	// heldUpLine is the lateness of a tick from which it is logged.
	heldUpLine = 250 * time.Millisecond
	// pruneEvery is how often idle connections are looked through.
	pruneEvery = time.Second
	// headerTimeout and headerMost bound a caller's header until the
	// configuration says less.
	headerTimeout = 10 * time.Second
	headerMost    = 64 << 10
	// idleTimeout is longer than any caller keeps an idle connection.
	idleTimeout = 75 * time.Second
	// memoryPart is the part of the memory limit at which the collector works
	// harder.
	memoryPart = 0.7
)

// Edge is an entry instance.
type Edge struct {
	settings  Settings
	path      string
	started   int64
	logs      *Logs
	log       *zap.Logger
	metrics   *edgeMetrics
	exchanger *exchanger.Exchanger
	beats     *heartbeater.Heartbeater
	store     follower.Store
	followers map[string]*follower.Follower
	copies    *http.Client
	wishes    *wishes
	// newsAll and newsNear make news leave at once, for all regions or for this
	// one.
	newsAll  chan struct{}
	newsNear chan struct{}
	servers  []server
	short    shortage

	mu      sync.Mutex
	model   *conductor.Model
	roster  *roster
	serial  uint64
	peers   *peerBook
	ids     atomic.Uint64
	serving atomic.Int64
	// able means that the instance has had what it needs to serve, stopping that
	// it was told to stop, and closing that it refuses what arrives now.
	able     atomic.Bool
	stopping atomic.Bool
	closing  atomic.Bool
}

// Option changes an instance at its creation.
type Option func(*Edge)

// WithSettingsFile names the file whose changes are taken while the instance
// runs.
func WithSettingsFile(path string) Option { return func(e *Edge) { e.path = path } }

// New returns an instance that has opened no sockets yet.
func New(settings Settings, output io.Writer, opts ...Option) *Edge {
	started := time.Now().UnixMilli()
	logs := NewLogs(output, settings.Log.LinesPerSecond)
	exchange := exchanger.New()
	e := &Edge{
		settings:  settings,
		started:   started,
		logs:      logs,
		log:       logs.logger.With(zap.String("instance", settings.Instance.ID)),
		metrics:   newMetrics(),
		exchanger: exchange,
		store:     platform.NewStore(settings.Store),
		followers: map[string]*follower.Follower{},
		copies: &http.Client{Transport: &http.Transport{
			DialContext: dialer.New().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		}},
		model: conductor.New(
			conductor.WithSelf(settings.Instance.ID, settings.Instance.Zone, settings.Zones),
			conductor.WithBounds(settings.conductorBounds()),
			conductor.WithSeed(rand.Uint64()),
			conductor.WithConnected(exchange.HasIdle),
		),
		wishes:   newWishes(followedKinds...),
		newsAll:  make(chan struct{}, 1),
		newsNear: make(chan struct{}, 1),
		roster:   newRoster(),
		peers:    newPeerBook(settings.peerAddresses(), settings.Listen.Peers),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// update gives a message to the loop.
func (e *Edge) update(msg conductor.Msg) []conductor.Cmd {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Update(time.Now(), msg)
}

// Run serves until ctx ends and then stops as planned.
func (e *Edge) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(e.settings.Memory.CollectPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(e.settings.Memory.LimitMB) * (1 << 20)))
	// What the instance does for itself ends after the last caller is served.
	background, end := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	defer func() {
		end()
		workers.Wait()
	}()
	work := func(f func(context.Context)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			f(background)
		}()
	}
	work(e.logs.Run)
	if e.path != "" {
		signals, stop := hangups()
		defer stop()
		work(func(ctx context.Context) { e.watchSettings(ctx, e.path, signals) })
	}
	if err := e.listen(); err != nil {
		return err
	}
	e.boundConnections()
	e.log.Info("start", zap.String("zone", e.settings.Instance.Zone), zap.String("callers", e.settings.Listen.Callers),
		zap.String("store", e.settings.Store), zap.Strings("peers", e.peers.addresses()))
	for _, f := range e.follow() {
		work(f.Run)
	}
	work(e.beats.Run)
	work(e.beat)
	work(e.tick)
	work(e.register)
	for _, kind := range followedKinds {
		work(func(ctx context.Context) { e.fetchNews(ctx, kind) })
	}
	failed := make(chan error, len(e.servers))
	for _, s := range e.servers {
		work(func(context.Context) { failed <- s.serve() })
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	}
	e.stop()
	return nil
}

// socketCallers names the callers' socket in logs and metrics.
const socketCallers = "callers"

// server is an HTTP server and its listener.
type server struct {
	name     string
	http     *http.Server
	listener *accepter.Listener
	// ended is closed when no more connections are accepted.
	ended chan struct{}
}

func (s server) serve() error {
	defer close(s.ended)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens all sockets.
func (e *Edge) listen() error {
	var err error
	report := func(err error) { e.log.Warn("heartbeat: not read", zap.Error(err)) }
	if e.beats, err = heartbeater.Listen(e.settings.Listen.Peers, e.heard, report); err != nil {
		return err
	}
	path, copies := heartbeater.Handler(e.copiesFor)
	peers := http.NewServeMux()
	peers.Handle(path, copies)
	handlers := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{socketCallers, e.settings.Listen.Callers, http.HandlerFunc(e.serveCaller)},
		{"ready", e.settings.Listen.Ready, http.HandlerFunc(e.serveReady)},
		{"lookups", e.settings.Listen.Lookups, http.HandlerFunc(e.serveLookup)},
		{"peers", e.settings.Listen.Peers, peers},
		{"metrics", e.settings.Listen.Metrics, http.HandlerFunc(e.serveMetrics)},
	}
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		l, err := net.Listen("tcp4", h.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		e.servers = append(e.servers, e.newServer(h.name, l, h.handler))
	}
	return nil
}

// newServer returns a server that is not serving yet.
func (e *Edge) newServer(name string, l net.Listener, handler http.Handler) server {
	listener := accepter.New(l, accepter.WithReport(func(err error) { e.accepted(name, err) }))
	return server{name: name, listener: listener, ended: make(chan struct{}), http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerMost, ErrorLog: zap.NewStdLog(e.log),
		ConnState: listener.Track, ConnContext: accepter.Context,
	}}
}

// ticked notes the time between two ticks.
func (e *Edge) ticked(between time.Duration) {
	late := max(between-tickEvery, 0)
	e.metrics.late.Update(late.Seconds())
	if late > heldUpLine {
		e.log.Warn("process: was held up", zap.Duration("late", late))
	}
}

// tick drives what depends on time alone.
func (e *Edge) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	pruned := time.Now()
	last := pruned
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			e.ticked(now.Sub(last))
			last = now
			e.update(conductor.Ticked{})
			e.releaseGone(now)
			e.boundConnections()
			if now.Sub(pruned) > pruneEvery {
				pruned = now
				e.exchanger.Prune()
			}
		}
	}
}
