// Package measurer starts a small fleet in one process, changes its configuration and API
// keys, and measures how soon the changes are in force at all instances. The operators'
// client seamctl uses it.
//
// The fleet consists of a store stand-in, upstream stand-ins and daemons, which use
// loopback sockets. An instance is one daemon; its peers are the other instances. Some
// instances are watchers: they watch the store for changes and pass them on to their
// peers. A change is in force at an instance once the instance applies it to requests.
//
// The instances reach each other and the store through TCP proxies, which count bytes and
// can be made to drop all data. The peer proxy of an instance forwards the connections that
// its peers open to it. The store proxy of an instance forwards the connections that the
// instance opens to the store.
//
// # Usage
//
//	report, err := measurer.Spread(ctx, measurer.SpreadPlan{Instances: 10, Changes: 200})
//	report, err := measurer.Withdrawal(ctx, measurer.WithdrawalPlan{Connections: 50})
package measurer

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/prover"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/daemon"
	"primroseseam.org/seamd/loader"
	"primroseseam.org/standin/responder"
	"primroseseam.org/standin/storekeeper"
)

const (
	loopback         = "127.0.0.1:0"
	domainsPerRegion = 2
	// readyTimeout limits each wait for the instances to reach a state. The HTTP
	// servers of the fleet also use it as the time limit for reading a request header.
	readyTimeout = 20 * time.Second
	// pollInterval is the delay between two reads of the instances' status in a wait
	// or a detector, and between two rounds of requests in observeCutOff.
	pollInterval = 2 * time.Millisecond
	team         = "clerks"
	// teamRate is the rate limit of the team in requests per second, and upstreamSlots
	// the number of requests that an endpoint can run at once. Both are so large that
	// they never limit the requests of a measurement.
	teamRate      = 1_000_000
	upstreamSlots = 10_000
	// upstreamCount is the number of endpoints in each region.
	upstreamCount = 4
	// requestTimeout is the time limit for a request to the service, as set in the
	// configuration.
	requestTimeout = 30 * time.Second
)

var regions = []string{"kolkata", "siliguri", "durgapur"}

// fleet is a running deployment: the store, the upstreams, the instances and the proxies
// between them.
type fleet struct {
	dir         string
	storeServer *storekeeper.FakeStore
	store       storer.Store
	storeURL    string
	// secret is the peer secret, by which instances authenticate to each other.
	secret  []byte
	daemons []*daemon.Daemon
	// mu guards peerProxies, which running instances read through dialPeer while
	// further instances are started.
	mu sync.Mutex
	// peerProxies holds the peer proxy of each instance, in the order of daemons.
	peerProxies []*proxy
	// storeProxies holds the store proxy of each instance, in the order of daemons.
	storeProxies []*proxy
	// keyFreshness is the setting of this name in the configuration; 0 means the
	// default. It is explained at CutOff.
	keyFreshness time.Duration
	// logs collects the logs of all instances.
	logs lockedBuffer
	// receivedRequests collects the paths and headers of all requests that the
	// upstreams received.
	receivedRequests lockedBuffer
	// work is how long the upstreams take for a request.
	work time.Duration
	// cleanups are called in reverse order when the fleet stops.
	cleanups   []func()
	goroutines sync.WaitGroup
	// config is the configuration that apply writes to the store.
	config configurer.Document
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

// contains reports whether the text occurs in the data written so far.
func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// startFleet starts a fleet with the given number of instances, waits until the
// configuration is in force at all of them, and returns the fleet. work is how long the
// upstreams take for a request.
func startFleet(ctx context.Context, instances int, work time.Duration, storeOptions ...storekeeper.Option) (*fleet, error) {
	return startFleetWith(ctx, instances, &fleet{work: work}, storeOptions...)
}

// startFleetWith starts the fleet f like startFleet does. The fields work and keyFreshness
// of f may be set; the other fields must be empty. If the fleet can't be started, it is
// stopped again and the error is returned.
func startFleetWith(ctx context.Context, instances int, f *fleet, storeOptions ...storekeeper.Option) (*fleet, error) {
	dir, err := os.MkdirTemp("", "seam-measure-")
	if err != nil {
		return nil, fmt.Errorf("create temporary directory: %w", err)
	}
	storeOptions = append(storeOptions, storekeeper.WithListLag(100*time.Millisecond))
	f.dir, f.storeServer, f.secret = dir, storekeeper.New(storeOptions...), []byte(rand.Text()+rand.Text())
	if err := f.start(ctx, instances); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// start starts the store, the upstreams and the instances, and waits until the
// configuration is in force at all instances.
func (f *fleet) start(ctx context.Context, instances int) error {
	if err := os.WriteFile(f.secretFile(), f.secret, 0o600); err != nil {
		return fmt.Errorf("write peer secret: %w", err)
	}
	address, err := f.serve(f.storeServer)
	if err != nil {
		return err
	}
	f.storeURL = "http://" + address
	f.store = storer.NewHTTP(f.storeURL)
	if f.config, err = f.document(instances); err != nil {
		return err
	}
	if _, err := f.apply(ctx, 0); err != nil {
		return err
	}
	for i := range instances {
		if err := f.startDaemon(i); err != nil {
			return err
		}
	}
	return f.await(ctx, f.daemons, func(s applier.InstanceStatus) bool { return s.Sequence >= 1 })
}

func (f *fleet) secretFile() string { return filepath.Join(f.dir, "peer.secret") }

// serve starts an HTTP server on a free loopback port and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.goroutines.Go(func() { _ = server.Serve(l) })
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// document starts the upstreams and returns a configuration that contains them, for a
// fleet with the given number of instances.
func (f *fleet) document(instances int) (configurer.Document, error) {
	d := configurer.Defaults{
		FleetSize: instances, KeyFreshness: configurer.Duration(f.keyFreshness),
		Teams:  []configurer.Team{{Name: team, RatePerSecond: teamRate, Burst: teamRate, Weight: 1}},
		Routes: []configurer.Route{{PathPrefix: "/index/", Service: "index", OpenToAll: true, Idempotent: true}},
	}
	for _, region := range regions {
		d.Regions = append(d.Regions, configurer.Region{Name: region, FailureDomains: []string{region + "-a", region + "-b"}})
	}
	service := configurer.Service{Name: "index", Timeout: configurer.Duration(requestTimeout)}
	for i := range upstreamCount * len(regions) {
		upstream := responder.New(responder.WithSlots(upstreamSlots), responder.WithWork(f.work), responder.WithObserver(f.recordUpstreamRequest))
		address, err := f.serve(upstream)
		if err != nil {
			return configurer.Document{}, err
		}
		region := regions[i%len(regions)]
		service.Endpoints = append(service.Endpoints, configurer.Endpoint{
			Address: address, Region: region, FailureDomain: region + "-a", Slots: upstreamSlots, MaxConnections: upstreamSlots,
		})
	}
	d.Services = []configurer.Service{service}
	return configurer.Document{Defaults: d}, nil
}

// recordUpstreamRequest adds the path and the headers of a request that an upstream received
// to receivedRequests.
func (f *fleet) recordUpstreamRequest(request responder.ObservedRequest) {
	_, _ = fmt.Fprintln(&f.receivedRequests, request.Path, request.Headers)
}

// startDaemon starts the instance with index i, its store proxy and its peer proxy, and adds
// the instance to the platform's instance list.
func (f *fleet) startDaemon(i int) error {
	region := regions[i%len(regions)]
	domain := fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(regions)%domainsPerRegion))
	storeProxy, err := newProxy(strings.TrimPrefix(f.storeURL, "http://"))
	if err != nil {
		return err
	}
	f.storeProxies = append(f.storeProxies, storeProxy)
	f.cleanups = append(f.cleanups, storeProxy.close)
	settings := loader.Settings{
		Instance: loader.Instance{ID: fmt.Sprintf("seamd-%d", i+1), Region: region, FailureDomain: domain},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: "http://" + storeProxy.address()},
		Shutdown: loader.Shutdown{Linger: configurer.Duration(time.Millisecond), Timeout: configurer.Duration(time.Second)},
		Security: loader.Security{PeerSecretFile: f.secretFile()},
		Seed:     uint64(i + 1),
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&f.logs), zap.DebugLevel))
	d, err := daemon.New(settings, daemon.WithLogger(log), daemon.WithPeerDial(f.dialPeer))
	if err != nil {
		return err
	}
	peerProxy, err := newProxy(d.PeerAddress())
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	f.addPeerProxy(peerProxy)
	f.storeServer.SetInstance(storer.Instance{
		ID: settings.Instance.ID, Region: region, FailureDomain: domain,
		CallerAddress: d.CallerAddress(), LookupAddress: d.LookupAddress(), PeerAddress: d.PeerAddress(), State: storer.InstanceLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.goroutines.Go(func() { _ = d.Run(ctx) })
	f.cleanups = append(f.cleanups, cancel, peerProxy.close)
	return nil
}

func (f *fleet) addPeerProxy(peerProxy *proxy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerProxies = append(f.peerProxies, peerProxy)
}

// dialPeer connects an instance to a peer. address is the peer's own address, as it is in
// the instance list; dialPeer dials the address of the peer's proxy instead.
func (f *fleet) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, f.proxyAddress(address))
}

// proxyAddress returns the address of the peer proxy that forwards to the given address. If
// there is no such proxy, it returns the given address.
func (f *fleet) proxyAddress(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peerProxy := range f.peerProxies {
		if peerProxy.target == address {
			return peerProxy.address()
		}
	}
	return address
}

// stop stops everything that the fleet started and deletes its directory.
func (f *fleet) stop() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
	f.goroutines.Wait()
	_ = os.RemoveAll(f.dir)
}

// apply writes f.config to the store as the next configuration. base is the sequence number
// of the configuration that it replaces, or 0 if there is none; the store's configuration
// must have this number. apply returns the accepted change.
func (f *fleet) apply(ctx context.Context, base int64) (applier.Accepted, error) {
	return applier.New(f.store).Apply(ctx, applier.Proposal{ID: applier.NewID(), Base: base, Document: f.config, Reason: "measure"})
}

// await waits until the condition is true for the status of each of the given daemons. It
// polls the first daemon until its status fulfils the condition, then the second, and so
// on. It returns an error if all of this takes longer than readyTimeout.
func (f *fleet) await(ctx context.Context, daemons []*daemon.Daemon, condition func(applier.InstanceStatus) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range daemons {
		for !condition(d.Status("")) {
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("instance %s did not reach the awaited state", d.Status("").Instance), ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// newAwaiter returns an applier.Awaiter, which can send changes directly to the instances.
// It has loaded the instance list from the store and authenticates to the instances with
// the peer secret, like seamctl does.
func (f *fleet) newAwaiter(ctx context.Context) (*applier.Awaiter, error) {
	client := &http.Client{Transport: prover.New(f.secret).Transport(&http.Transport{})}
	a := applier.NewAwaiter(f.store, applier.WithPeerClient(client, "http"))
	return a, a.LoadInstances(ctx)
}

// metricsPages requests the metrics of every instance and returns all responses with their
// headers, as one text.
func (f *fleet) metricsPages(ctx context.Context) (string, error) {
	var pages strings.Builder
	for _, d := range f.daemons {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.MetricsAddress()+"/metrics", nil)
		if err != nil {
			return "", fmt.Errorf("create request: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", fmt.Errorf("read metrics: %w", err)
		}
		err = resp.Write(&pages)
		_ = resp.Body.Close()
		if err != nil {
			return "", fmt.Errorf("read metrics: %w", err)
		}
	}
	return pages.String(), nil
}
