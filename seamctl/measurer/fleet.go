// Package measurer starts a small fleet in one process, changes its configuration and
// keys, and measures how soon the changes are in force at all instances.
//
// The fleet consists of a store stand-in, upstream stand-ins and daemons, which use
// loopback sockets. The daemons reach each other and the store through proxies, which
// count bytes and can be made to drop all data.
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
	// readyTimeout limits each wait for the instances, and the reading of a request
	// header by the fleet's HTTP servers.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two looks at the status of the instances, or
	// between two requests to them.
	pollInterval = 2 * time.Millisecond
	team         = "clerks"
	// teamRate and upstreamSlots are large enough to never limit the requests.
	teamRate      = 1_000_000
	upstreamSlots = 10_000
	// upstreamCount is the number of endpoints in each region.
	upstreamCount = 4
	// requestTimeout is the timeout of the service in the configuration.
	requestTimeout = 30 * time.Second
)

var regions = []string{"kolkata", "siliguri", "durgapur"}

// fleet is a running deployment.
type fleet struct {
	dir         string
	storeServer *storekeeper.FakeStore
	store       storer.Store
	storeURL    string
	// secret authenticates the instances to each other.
	secret  []byte
	daemons []*daemon.Daemon
	// mu guards peerProxies while instances start.
	mu sync.Mutex
	// peerProxies forward the connections that peers open to each instance, in the
	// order of daemons.
	peerProxies []*proxy
	// storeProxies forward each instance's connections to the store, in the order of
	// daemons.
	storeProxies []*proxy
	// keyFreshness is that of the configuration; 0 means the default.
	keyFreshness time.Duration
	// logs collects the logs of all instances.
	logs lockedBuffer
	// received collects the paths and headers of all requests at the upstreams.
	received lockedBuffer
	// work is how long the upstreams take for a request.
	work time.Duration
	// cleanups are called in reverse order when the fleet stops.
	cleanups   []func()
	goroutines sync.WaitGroup
	// config is the configuration that is in the store or is written to it next.
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

// contains reports whether the buffer contains a text.
func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// startFleet starts a fleet and waits until all instances run the configuration. work is
// how long the upstreams take for a request.
func startFleet(ctx context.Context, instances int, work time.Duration, storeOptions ...storekeeper.Option) (*fleet, error) {
	return startFleetWith(ctx, instances, &fleet{work: work}, storeOptions...)
}

// startFleetWith does the same as startFleet with a fleet whose work or keyFreshness is
// already set.
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

// start starts the store, the upstreams and the instances, and waits until all instances
// run the configuration.
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

// document starts the upstreams and returns the fleet's configuration.
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

// recordUpstreamRequest records the path and the headers of a request at an upstream.
func (f *fleet) recordUpstreamRequest(received responder.ObservedRequest) {
	_, _ = fmt.Fprintln(&f.received, received.Path, received.Headers)
}

// startDaemon starts the instance with index i, with a proxy to the store and one for
// the connections of its peers, and adds it to the platform's instance list.
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

// dialPeer connects to another instance through that instance's proxy. The instances
// know only each other's own addresses, so the proxy is substituted here.
func (f *fleet) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, f.proxyAddress(address))
}

// proxyAddress returns the address of the proxy for an instance's peer address, or the
// address itself if there is none.
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

// apply writes f.config to the store as a change that is based on the configuration with
// the sequence number base.
func (f *fleet) apply(ctx context.Context, base int64) (applier.Accepted, error) {
	return applier.New(f.store).Apply(ctx, applier.Proposal{ID: applier.NewID(), Base: base, Document: f.config, Reason: "measure"})
}

// await polls the daemons, one after the other, until the status of each fulfils the
// condition.
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

// newAwaiter returns an Awaiter that has loaded the instances and authenticates to them
// with the peer secret, like seamctl does.
func (f *fleet) newAwaiter(ctx context.Context) (*applier.Awaiter, error) {
	client := &http.Client{Transport: prover.New(f.secret).Transport(&http.Transport{})}
	a := applier.NewAwaiter(f.store, applier.WithPeerClient(client, "http"))
	return a, a.LoadInstances(ctx)
}

// metricsPages returns the metrics responses of all daemons, with their headers.
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
