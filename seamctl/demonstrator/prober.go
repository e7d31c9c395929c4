package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/waiter"
)

const (
	// probeEvery is the time between two probes of each instance.
	probeEvery = 200 * time.Millisecond
	// probeTeam owns the key of the probes.
	probeTeam = "prober"
)

// prober asks every instance whether accepted routes are in force, by sending
// requests that need them, and keeps using a key after its withdrawal.
type prober struct {
	demo      *Demo
	secret    string
	withdrawn string
	client    *http.Client
	sent      int

	mu     sync.Mutex
	routes []string
}

// addRoute has the configuration accept a route and probes it from then on.
func (p *prober) addRoute(ctx context.Context, also func(*configurer.Document)) error {
	p.mu.Lock()
	name := fmt.Sprintf("probe-%d", len(p.routes)+1)
	p.mu.Unlock()
	service := p.demo.shape.Services[0].Name
	err := p.demo.operator.changeConfig(ctx, func(doc *configurer.Document) {
		doc.Defaults.Routes = append(doc.Defaults.Routes, configurer.Route{
			PathPrefix: "/" + name + "/", Service: service, Idempotent: true, OpenToAll: true,
		})
		if also != nil {
			also(doc)
		}
	})
	if err != nil {
		return err
	}
	p.demo.checker.configAccepted(name, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = append(p.routes, name)
	return nil
}

func (p *prober) accepted() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.routes...)
}

// run probes until ctx ends, and once more: a route that was accepted at the
// end of a short run on a busy machine is probed too.
func (p *prober) run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		p.round(&open)
		waiter.Pause(ctx, probeEvery)
	}
	p.round(&open)
}

// round starts one probe of each instance for each route and key.
func (p *prober) round(open *sync.WaitGroup) {
	for _, i := range p.demo.liveInstances() {
		for _, route := range p.accepted() {
			p.sent++
			o := outgoing{path: fmt.Sprintf("/%s/%s/%d", route, probeTeam, p.sent), body: route, idempotent: true}
			open.Go(func() { p.probe(i, route, o) })
		}
		if p.withdrawn != "" {
			p.sent++
			o := outgoing{path: fmt.Sprintf("/%s/%s/w%d", p.demo.shape.Services[0].Name, teamName(keyTeam), p.sent), idempotent: true}
			open.Go(func() { p.useWithdrawn(i, o) })
		}
	}
}

func (p *prober) probe(i *instance, route string, o outgoing) {
	result := p.attempt(i, p.secret, o)
	result.team = probeTeam
	p.demo.checker.callerSaw(result)
	switch {
	case result.kind == refused && result.code == coder.RouteUnknown:
		p.demo.checker.probed(i.id, route, result.sentAt, false)
	case result.kind == answered:
		p.demo.checker.probed(i.id, route, result.sentAt, true)
	}
}

// useWithdrawn uses the key that is withdrawn during the run, over connections
// that stay open.
func (p *prober) useWithdrawn(i *instance, o outgoing) {
	result := p.attempt(i, p.withdrawn, o)
	result.team = teamName(keyTeam)
	p.demo.checker.callerSaw(result)
	p.demo.checker.keyUsed(result)
}

func (p *prober) attempt(i *instance, secret string, o outgoing) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	started := time.Now()
	result := exchange(ctx, p.client, i.daemon.CallerAddress(), secret, o)
	result.path, result.instance = o.path, i.daemon.CallerAddress()
	result.sentAt, result.latency = started, time.Since(started)
	result.idempotent, result.direct, result.final = true, true, true
	return result
}
