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

// prober adds routes to the configuration and sends requests for these routes to every
// instance, to find out where they are in force. If the run withdraws a key, the prober
// also sends requests with that key before and after the withdrawal.
type prober struct {
	demo   *Demo
	secret string
	// withdrawnSecret is the API key that is withdrawn during the run, or empty if the
	// run doesn't contain FaultKeyWithdrawal.
	withdrawnSecret string
	client          *http.Client
	// probeCounter makes the paths of probes unique.
	probeCounter int

	mu sync.Mutex
	// routes holds the names of the routes that the prober added and the store
	// accepted.
	routes []string
}

// addRoute adds a route to the configuration. Once the store has accepted it, run sends
// probes for the route. If extraChange is not nil, its changes are written to the store
// together with the route.
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

// acceptedRoutes returns the names of the added routes that the store has accepted so far.
func (p *prober) acceptedRoutes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.routes...)
}

// run starts a round of probes every probeInterval until ctx is done, then a last round,
// and waits until all probes have ended. The last round is needed because on a busy
// machine the store may accept a route only at the end of a short run, and every accepted
// route must be probed.
func (p *prober) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p.probeAll(&wg)
		waiter.Pause(ctx, probeInterval)
	}
	p.probeAll(&wg)
}

// probeAll starts a round of probes: one request to each live instance for each accepted
// route. If the run withdraws a key, it also starts one request with that key to each live
// instance. It adds the requests to wg and doesn't wait for them.
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

// probe sends a request for a route to an instance and records the outcome. An answered
// request means that the route is in force at the instance. A refusal with RouteUnknown
// means that the route is not in force there. No other outcome is recorded as a probe.
func (p *prober) probe(i *instance, route string, request callerRequest) {
	result := p.attempt(i, p.secret, request)
	result.team = probeTeam
	p.demo.checker.recordOutcome(result)
	switch {
	case result.kind == attemptRefused && result.code == coder.RouteUnknown:
		p.demo.checker.recordProbe(i.id, route, result.sentAt, false)
	case result.kind == attemptAnswered:
		p.demo.checker.recordProbe(i.id, route, result.sentAt, true)
	}
}

// useWithdrawnKey sends a request to an instance with the key that is withdrawn during the
// run, and records the outcome. The client reuses its connections. The run therefore also
// checks that the key is refused on connections that carried it before the withdrawal.
func (p *prober) useWithdrawnKey(i *instance, request callerRequest) {
	result := p.attempt(i, p.withdrawnSecret, request)
	result.team = teamName(keyTeam)
	p.demo.checker.recordOutcome(result)
	p.demo.checker.recordWithdrawnKeyUse(result)
}

// attempt sends one request with the API key secret to the instance and returns the outcome.
// The request is never retried.
func (p *prober) attempt(i *instance, secret string, request callerRequest) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	result := postRequest(ctx, p.client, i.daemon.CallerAddress(), secret, request)
	result.path, result.instance = request.path, i.daemon.CallerAddress()
	result.sentAt, result.latency = startedAt, time.Since(startedAt)
	result.idempotent, result.withoutLookup, result.lastAttempt = true, true, true
	return result
}
