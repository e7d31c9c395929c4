package daemon

import (
	"net/http"

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
