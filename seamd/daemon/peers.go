package daemon

import (
	"net/http"

	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seamd/forwarder"
)

// peerHandler serves the protocols between instances and the operators' calls.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMembershipServiceHandler(&membershipService{daemon: d}))
	mux.Handle(peerv1connect.NewRelayServiceHandler(&relayService{daemon: d}))
	d.operatorHandler(mux)
	mux.Handle(peerv1connect.NewHomesServiceHandler(&homesService{daemon: d}))
	mux.Handle(peerv1connect.NewLedgerServiceHandler(&ledgerService{executor: d.ledger}))
	outer := http.NewServeMux()
	outer.Handle("/", d.authenticatePeers(mux))
	// The bodies of passed requests are streamed, so servePass checks a proof that
	// doesn't cover the body.
	outer.HandleFunc(forwarder.PassPath, d.servePass)
	return outer
}
