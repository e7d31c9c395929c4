package daemon

import (
	"net/http"

	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seamd/forwarder"
)

// peerHandler returns the handler for calls of peers and operators.
// [Daemon.authenticatePeers] authenticates the clients of all calls except passed
// requests, which servePass authenticates itself.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMembershipServiceHandler(&membershipService{daemon: d}))
	mux.Handle(peerv1connect.NewRelayServiceHandler(&relayService{daemon: d}))
	d.operatorHandler(mux)
	mux.Handle(peerv1connect.NewHomesServiceHandler(&homesService{daemon: d}))
	mux.Handle(peerv1connect.NewLedgerServiceHandler(&ledgerService{executor: d.ledger}))
	outer := http.NewServeMux()
	outer.Handle("/", d.authenticatePeers(mux))
	// The bodies of passed requests are streamed, so their proof can't cover them.
	// servePass verifies a proof that covers the Seam-Pass header instead.
	outer.HandleFunc(forwarder.PassPath, d.servePass)
	return outer
}
