package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seamd/forwarder"
)

// peerHandler serves the protocols between instances.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMembershipServiceHandler(&membershipService{daemon: d}))
	mux.Handle(peerv1connect.NewRelayServiceHandler(&relayService{daemon: d}))
	d.operatorHandler(mux)
	mux.Handle(peerv1connect.NewHomesServiceHandler(&homesService{daemon: d}))
	mux.Handle(peerv1connect.NewLedgerServiceHandler(&ledgerService{calls: d.ledger}))
	outer := http.NewServeMux()
	outer.Handle("/", d.authenticatePeers(mux))
	// Passed requests are streamed and checked by their own proof.
	outer.HandleFunc(forwarder.PassPath, d.servePass)
	return outer
}

// membershipService answers peers' heartbeats.
type membershipService struct{ daemon *Daemon }

// Heartbeat implements peerv1connect.MembershipServiceHandler.
func (s *membershipService) Heartbeat(
	_ context.Context, _ *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(&peerv1.HeartbeatResponse{Receiver: s.daemon.member()}), nil
}

// member describes this instance to peers.
func (d *Daemon) member() *peerv1.Member {
	m := &peerv1.Member{
		Id:            d.settings.Instance.ID,
		Incarnation:   d.incarnation,
		Region:        d.settings.Instance.Region,
		FailureDomain: d.settings.Instance.FailureDomain,
		CallerAddress: d.CallerAddress(),
		LookupAddress: d.LookupAddress(),
		PeerAddress:   d.PeerAddress(),
		Leaving:       d.leaving.Load(),
	}
	if c := d.config.Load(); c != nil {
		m.ConfigVersion = c.Version()
	}
	return m
}
