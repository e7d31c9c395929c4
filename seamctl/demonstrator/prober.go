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
	// probeInterval is the time between two rounds of probes.
	probeInterval = 200 * time.Millisecond
	// probeTeam is the team of the prober's own key.
	probeTeam = "prober"
)

// prober finds out whether routes that the store accepted are in force at every
// instance, by sending requests for them. It also goes on using a key after its
// withdrawal.
type prober struct {
	demo   *Demo
	secret string
	// withdrawnSecret is the key that is withdrawn during the run, or empty if the
	// run doesn't contain that fault.
	withdrawnSecret string
	client          *http.Client
	// probeCounter makes the paths of probes unique.
	probeCounter int

	mu sync.Mutex
	// routes holds the names of the routes that the prober added.
	routes []string
}

// addRoute adds a route to the configuration and probes it from then on. extraChange,
// if not nil, changes the same version of the configuration.
func (p *prober) addRoute(ctx context.Context, extraChange func(*configurer.Document)) error {
	p.mu.Lock()
	name := fmt.Sprintf("probe-%d", len(p.routes)+1)
	p.mu.Unlock()
	service := p.demo.shape.Services[0].Name
	err := p.demo.operator.changeConfig(ctx, func(doc *configurer.Document) {
		doc.Defaults.Routes = append(doc.Defaults.Routes, configurer.Route{
			PathPrefix: "/" + name + "/", Service: service, Idempotent: true, OpenToAll: true,
		})
		if extraChange != nil {
			extraChange(doc)
		}
	})
	if err != nil {
		return err
	}
	p.demo.checker.recordConfigAccepted(name, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = append(p.routes, name)
	return nil
}

// acceptedRoutes returns the routes that the store accepted so far.
func (p *prober) acceptedRoutes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.routes...)
}

// run probes at every interval until ctx is done, and once more after that: on a busy
// machine, a short run may accept a route only at its end, and this one must be probed
// too.
func (p *prober) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p.probeAll(&wg)
		waiter.Pause(ctx, probeInterval)
	}
	p.probeAll(&wg)
}

// probeAll starts one probe of each live instance for each accepted route, and one with
// the key that is withdrawn.
func (p *prober) probeAll(wg *sync.WaitGroup) {
	for _, i := range p.demo.liveInstances() {
		for _, route := range p.acceptedRoutes() {
			p.probeCounter++
			request := callerRequest{path: fmt.Sprintf("/%s/%s/%d", route, probeTeam, p.probeCounter), body: route, idempotent: true}
			wg.Go(func() { p.probe(i, route, request) })
		}
		if p.withdrawnSecret != "" {
			p.probeCounter++
			request := callerRequest{path: fmt.Sprintf("/%s/%s/w%d", p.demo.shape.Services[0].Name, teamName(keyTeam), p.probeCounter), idempotent: true}
			wg.Go(func() { p.useWithdrawnKey(i, request) })
		}
	}
}

// probe sends a request for a route. If it is answered, the route is in force; if it is
// refused with RouteUnknown, it isn't. Other outcomes show neither.
func (p *prober) probe(i *instance, route string, request callerRequest) {
	result := p.attempt(i, p.secret, request)
	result.team = probeTeam
	p.demo.checker.recordOutcome(result)
	switch {
	case result.kind == refused && result.code == coder.RouteUnknown:
		p.demo.checker.recordProbe(i.id, route, result.sentAt, false)
	case result.kind == answered:
		p.demo.checker.recordProbe(i.id, route, result.sentAt, true)
	}
}

// useWithdrawnKey sends a request with the key that is withdrawn during the run. The
// client reuses its connections, so the key must also be refused on connections that
// used it before the withdrawal.
func (p *prober) useWithdrawnKey(i *instance, request callerRequest) {
	result := p.attempt(i, p.withdrawnSecret, request)
	result.team = teamName(keyTeam)
	p.demo.checker.recordOutcome(result)
	p.demo.checker.recordWithdrawnKeyUse(result)
}

// attempt sends one request with a key to a given instance. It is never retried.
func (p *prober) attempt(i *instance, secret string, request callerRequest) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	result := postRequest(ctx, p.client, i.daemon.CallerAddress(), secret, request)
	result.path, result.instance = request.path, i.daemon.CallerAddress()
	result.sentAt, result.latency = startedAt, time.Since(startedAt)
	result.idempotent, result.direct, result.final = true, true, true
	return result
}
