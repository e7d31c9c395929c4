// Package measurer starts a small fleet in this process, changes its
// configuration and keys, and measures how soon the changes are in force.
//
// The fleet runs over loopback sockets: a store stand-in, upstream stand-ins
// and daemons that reach each other through gates, which can fall silent.
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
	loopback       = "127.0.0.1:0"
	domainsPer     = 2
	readyTimeout   = 20 * time.Second
	statusPoll     = 2 * time.Millisecond
	team           = "clerks"
	teamRate       = 1_000_000
	upstreamSlots  = 10_000
	upstreamCount  = 4
	requestTimeout = 30 * time.Second
)

var regions = []string{"kolkata", "siliguri", "durgapur"}

// fleet is a running deployment.
type fleet struct {
	dir     string
	keeper  *storekeeper.FakeStore
	store   storer.Store
	address string
	secret  []byte
	daemons []*daemon.Daemon
	// mu guards gates while instances start.
	mu    sync.Mutex
	gates []*gate
	// storeGates stand between each instance and the store.
	storeGates []*gate
	freshness  time.Duration
	logs       lockedBuffer
	seen       lockedBuffer
	work       time.Duration
	stops      []func()
	running    sync.WaitGroup
	// wanted is the configuration that stands in the store.
	wanted configurer.Document
}

// lockedBuffer collects text from many goroutines.
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

// contains reports whether the buffer holds a text.
func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// startFleet starts instances and waits until all run the configuration.
func startFleet(ctx context.Context, instances int, work time.Duration, keeper ...storekeeper.Option) (*fleet, error) {
	return startFleetWith(ctx, instances, &fleet{work: work}, keeper...)
}

// startFleetWith starts a fleet whose fields are partly set.
func startFleetWith(ctx context.Context, instances int, f *fleet, keeper ...storekeeper.Option) (*fleet, error) {
	dir, err := os.MkdirTemp("", "seam-measure-")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	keeper = append(keeper, storekeeper.WithListLag(100*time.Millisecond))
	f.dir, f.keeper, f.secret = dir, storekeeper.New(keeper...), []byte(rand.Text()+rand.Text())
	if err := f.start(ctx, instances); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, instances int) error {
	if err := os.WriteFile(f.secretFile(), f.secret, 0o600); err != nil {
		return fmt.Errorf("write secret: %w", err)
	}
	address, err := f.serve(f.keeper)
	if err != nil {
		return err
	}
	f.address = "http://" + address
	f.store = storer.NewHTTP(f.address)
	if f.wanted, err = f.document(instances); err != nil {
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

// serve starts an HTTP server on a loopback port of its own.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.running.Go(func() { _ = server.Serve(l) })
	f.stops = append(f.stops, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// document describes the fleet and its upstreams.
func (f *fleet) document(instances int) (configurer.Document, error) {
	d := configurer.Defaults{
		FleetSize: instances, KeyFreshness: configurer.Duration(f.freshness),
		Teams:  []configurer.Team{{Name: team, RatePerSecond: teamRate, Burst: teamRate, Weight: 1}},
		Routes: []configurer.Route{{PathPrefix: "/index/", Service: "index", OpenToAll: true, Idempotent: true}},
	}
	for _, region := range regions {
		d.Regions = append(d.Regions, configurer.Region{Name: region, FailureDomains: []string{region + "-a", region + "-b"}})
	}
	service := configurer.Service{Name: "index", Timeout: configurer.Duration(requestTimeout)}
	for i := range upstreamCount * len(regions) {
		upstream := responder.New(responder.WithSlots(upstreamSlots), responder.WithWork(f.work), responder.WithObserver(f.upstreamSaw))
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

func (f *fleet) upstreamSaw(seen responder.ObservedRequest) {
	_, _ = fmt.Fprintln(&f.seen, seen.Path, seen.Headers)
}

func (f *fleet) startDaemon(i int) error {
	region := regions[i%len(regions)]
	domain := fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(regions)%domainsPer))
	toStore, err := newGate(strings.TrimPrefix(f.address, "http://"))
	if err != nil {
		return err
	}
	f.storeGates = append(f.storeGates, toStore)
	f.stops = append(f.stops, toStore.close)
	settings := loader.Settings{
		Instance: loader.Instance{ID: fmt.Sprintf("seamd-%d", i+1), Region: region, FailureDomain: domain},
		Listen:   loader.Listen{Callers: loopback, Lookups: loopback, Peers: loopback, Metrics: loopback},
		Platform: loader.Platform{Address: "http://" + toStore.address()},
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
	g, err := newGate(d.PeerAddress())
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	f.addGate(g)
	f.keeper.SetInstance(storer.Instance{
		ID: settings.Instance.ID, Region: region, FailureDomain: domain,
		CallerAddress: d.CallerAddress(), LookupAddress: d.LookupAddress(), PeerAddress: d.PeerAddress(), State: storer.InstanceLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.running.Go(func() { _ = d.Run(ctx) })
	f.stops = append(f.stops, cancel, g.close)
	return nil
}

func (f *fleet) addGate(g *gate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gates = append(f.gates, g)
}

// dialPeer reaches another instance through its gate, whoever told its address.
func (f *fleet) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, f.gateOf(address))
}

func (f *fleet) gateOf(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range f.gates {
		if g.target == address {
			return g.address()
		}
	}
	return address
}

func (f *fleet) stop() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
	f.running.Wait()
	_ = os.RemoveAll(f.dir)
}

// apply proposes the wanted configuration on top of a sequence.
func (f *fleet) apply(ctx context.Context, base int64) (applier.Accepted, error) {
	return applier.New(f.store).Apply(ctx, applier.Proposal{ID: applier.NewID(), Base: base, Document: f.wanted, Reason: "measure"})
}

// await polls daemons until their status holds for each.
func (f *fleet) await(ctx context.Context, list []*daemon.Daemon, holds func(applier.InstanceStatus) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range list {
		for !holds(d.Status("")) {
			select {
			case <-ctx.Done():
				return errors.Join(fmt.Errorf("%s is behind", d.Status("").Instance), ctx.Err())
			case <-time.After(statusPoll):
			}
		}
	}
	return nil
}

// awaiter asks and tells the instances as the operators' client does.
func (f *fleet) awaiter(ctx context.Context) (*applier.Awaiter, error) {
	client := &http.Client{Transport: prover.New(f.secret).Transport(&http.Transport{})}
	a := applier.NewAwaiter(f.store, applier.WithPeerClient(client, "http"))
	return a, a.LoadInstances(ctx)
}

// metrics reads the metrics pages of all daemons.
func (f *fleet) metrics(ctx context.Context) (string, error) {
	var all strings.Builder
	for _, d := range f.daemons {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.MetricsAddress()+"/metrics", nil)
		if err != nil {
			return "", fmt.Errorf("make request: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", fmt.Errorf("read metrics: %w", err)
		}
		err = resp.Write(&all)
		_ = resp.Body.Close()
		if err != nil {
			return "", fmt.Errorf("read metrics: %w", err)
		}
	}
	return all.String(), nil
}
