package daemon

import (
	"context"
	"net/http"
	"slices"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seamd/forwarder"
)

// passTo passes a request to the instance that the command names, or, if the request has
// a name, to the home of that name, which may be this instance.
func (d *Daemon) passTo(ctx context.Context, x *exchange, c decider.Pass) forwarder.Result {
	e := forwarder.Envelope{
		From: d.settings.Instance.ID, Method: x.out.Method, URI: x.out.URI, Team: c.Team, Service: c.Service,
		Idempotent: c.Idempotent, Affinity: c.Affinity, Home: c.Home, Name: x.out.Name,
	}
	if c.Home {
		return d.passToHome(ctx, x, c, e)
	}
	address, ok := d.peerAddress(c.Peer)
	if !ok {
		return forwarder.Result{Code: coder.UpstreamFailed, Ran: coder.NotRun, Load: -1}
	}
	return d.forwarder.Pass(ctx, &x.claim, x.w, x.out, e, d.peerURL(address))
}

// servePass serves a request that a peer has passed to this instance. The peer has
// already authenticated the caller, and servePass authenticates the peer if there is a
// shared secret.
func (d *Daemon) servePass(w http.ResponseWriter, r *http.Request) {
	if p := d.security.prover; p != nil {
		if err := p.CheckStream(r, r.Header.Get(forwarder.HeaderPass)); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		p.SignAnswer(r, w.Header())
	}
	e, err := forwarder.ParseEnvelope(r.Header)
	if err != nil {
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	body, err := forwarder.ReadRequestBody(r.Body, r.ContentLength)
	if err != nil {
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	header, _ := forwarder.SanitizeRequestHeader(r.Header)
	out := forwarder.OutgoingRequest{Name: e.Name, Method: e.Method, URI: e.URI, Header: header, RequestBody: body}
	if e.Home {
		d.serveHome(w, r, e, out)
		return
	}
	msg := decider.PassedRequestArrived{
		ID: d.nextID.Add(1), From: e.From, Team: e.Team, Service: e.Service, Idempotent: e.Idempotent,
		Repeatable: body.Repeatable(), Affinity: e.Affinity, Deadline: callerDeadline(r, d.clock.Now()),
	}
	d.answer(r.Context(), w, msg.ID, msg, out)
}

// peerAddress returns the address on which an instance serves its peers. Unlike
// [Daemon.Peer], it also finds instances that are shutting down, and those that only the
// platform's list has. It reports false if the id is unknown.
func (d *Daemon) peerAddress(id string) (string, bool) {
	if peer, ok := d.Peer(id); ok {
		return peer.Address(), true
	}
	peerAddresses := d.peerAddresses.Load()
	if peerAddresses == nil {
		return "", false
	}
	address, ok := (*peerAddresses)[id]
	return address, ok
}

// setPeerAddresses stores the addresses of the given instances for [Daemon.peerAddress].
func (d *Daemon) setPeerAddresses(list []storer.Instance) {
	peerAddresses := make(map[string]string, len(list))
	for _, i := range list {
		peerAddresses[i.ID] = i.PeerAddress
	}
	d.peerAddresses.Store(&peerAddresses)
}

// reportPeers sends the given instances to the loop if they have changed. The caller holds
// membership.mu.
func (d *Daemon) reportPeers(list []storer.Instance) {
	peers := make([]decider.Peer, 0, len(list))
	for _, i := range list {
		peer, _ := d.Peer(i.ID)
		peers = append(peers, decider.Peer{
			ID: i.ID, Region: i.Region, Incarnation: peer.Incarnation(), Leaving: i.State == storer.InstanceLeaving,
		})
	}
	if slices.Equal(peers, d.reportedPeers) {
		return
	}
	d.reportedPeers = peers
	d.loop.send(decider.PeersChanged{Peers: peers})
}

// connectionLimits returns the maximum number of connections that this instance may open
// to each endpoint, by the endpoint's address. It is the instance's equal share of the
// endpoint's maximum, but at least the endpoint's number of slots (concurrent requests).
// The reason is that any instance may become the slot owner, which alone forwards all
// requests of the service in the region.
func connectionLimits(c *configurer.Config) map[string]int {
	limits := map[string]int{}
	for _, s := range c.Services() {
		for _, e := range s.Endpoints {
			limits[e.Address] = max(e.Slots, e.MaxConnections/c.FleetSize())
		}
	}
	return limits
}
