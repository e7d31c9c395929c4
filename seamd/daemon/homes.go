package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/deduplicator"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/ticketer"
	"primroseseam.org/seamd/forwarder"
)

const (
	// ticketKeyName is the name of the object in the store that holds the key with
	// which tickets are signed.
	ticketKeyName = "current"
	// ticketKeyRetryInterval is the delay before another try after the signing key
	// couldn't be read.
	ticketKeyRetryInterval = time.Second
)

// ticketKey is the value of that object. All instances share the key.
type ticketKey struct {
	Secret []byte `json:"secret"`
}

// loadTicketKey reads the signing key from the store, or creates a key if the store has
// none. It retries until it succeeds or ctx ends. Until it succeeds, lookup answers carry
// no ticket and named requests are refused.
func (d *Daemon) loadTicketKey(ctx context.Context) {
	for ctx.Err() == nil {
		if secret, err := d.readOrCreateTicketKey(ctx); err == nil {
			d.signer.Store(ticketer.NewSigner(secret))
			return
		}
		d.sleep(ctx, ticketKeyRetryInterval)
	}
}

// readOrCreateTicketKey returns the signing key in the store. If the store has none, it
// writes a new key first.
func (d *Daemon) readOrCreateTicketKey(ctx context.Context) ([]byte, error) {
	object, err := d.store.Get(ctx, storer.KindTicketKey, ticketKeyName)
	if coder.CodeOf(err) == coder.StoreNotFound {
		value, _ := json.Marshal(ticketKey{Secret: ticketer.NewSecret()})
		// Another instance may have written a key first, so the store is read again.
		_, _ = d.store.Put(ctx, storer.Object{Kind: storer.KindTicketKey, Name: ticketKeyName, Value: value})
		object, err = d.store.Get(ctx, storer.KindTicketKey, ticketKeyName)
	}
	if err != nil {
		return nil, err
	}
	var key ticketKey
	if err := json.Unmarshal(object.Value, &key); err != nil || len(key.Secret) < ticketer.SecretBytes {
		d.log.Error("home: ignored an invalid signing key", zap.Error(err))
		return nil, coder.Errorf(coder.StoreUnavailable, ticketKeyName, "no valid signing key")
	}
	return key.Secret, nil
}

// ticket returns a signed ticket for a lookup answer. Callers form the names of requests
// from it. This instance is the home of these names and runs each request of such a name
// at most once. ticket returns "" if there is no signing key yet or the instance is
// leaving.
func (d *Daemon) ticket() string {
	signer := d.signer.Load()
	if signer == nil || d.leaving.Load() {
		return ""
	}
	return signer.Issue(d.settings.Instance.ID, d.incarnation, d.clock.Now())
}

// homeOf returns the id of the home of a request's name: the instance that issued the
// ticket in the name. It returns "" if the request has no name, and an error if the
// ticket is invalid or the signing key isn't loaded yet.
func (d *Daemon) homeOf(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	signer := d.signer.Load()
	if signer == nil {
		return "", coder.Errorf(coder.Stopping, forwarder.HeaderName, "no signing key yet")
	}
	t, err := signer.Parse(name)
	return t.Home, err
}

// passToHome passes a named request to its home, which may be this instance. If that
// fails, or if the home is stopping or answers that the outcome is unknown, it passes the
// request to the successor that took over the home's records, if there is one.
func (d *Daemon) passToHome(ctx context.Context, x *exchange, c decider.Pass, e forwarder.Envelope) forwarder.Result {
	signer := d.signer.Load()
	t, err := signer.Parse(x.out.Name)
	if err != nil {
		return forwarder.Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Refused: true, Load: -1}
	}
	result := d.tryHome(ctx, x, c.Peer, e, t)
	if result.Committed || result.Refused && result.Code != coder.OutcomeUnknown && result.Code != coder.Stopping {
		return result
	}
	successor, ok := d.successorOf(ctx, t)
	if !ok || successor == c.Peer {
		return result
	}
	d.log.Info("home: passing a named request to the successor of its home", zap.String("home", t.Home), zap.String("successor", successor))
	return d.tryHome(ctx, x, successor, e, t)
}

// tryHome serves a named request in this instance if id is its own. Otherwise it passes
// the request to the instance with that id.
func (d *Daemon) tryHome(ctx context.Context, x *exchange, id string, e forwarder.Envelope, t ticketer.Ticket) forwarder.Result {
	if id == d.settings.Instance.ID {
		return d.serveNamed(ctx, x.w, &x.claim, e, t, x.out)
	}
	address, ok := d.peerAddress(id)
	if !ok {
		return forwarder.Result{Code: coder.UpstreamFailed, Ran: coder.NotRun, Load: -1}
	}
	return d.forwarder.Pass(ctx, &x.claim, x.w, x.out, e, d.peerURL(address))
}

// serveHome serves a named request that another instance passed on, because this instance
// is the home of the name or the successor of the home.
func (d *Daemon) serveHome(w http.ResponseWriter, r *http.Request, e forwarder.Envelope, out forwarder.OutgoingRequest) {
	signer := d.signer.Load()
	if signer == nil {
		refuse(w, decider.Refuse{Code: coder.OutcomeUnknown, Ran: coder.MayHaveRun})
		return
	}
	t, err := signer.Parse(e.Name)
	if err != nil {
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	ctx := r.Context()
	if deadline := callerDeadline(r, d.clock.Now()); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	claim := &forwarder.ResponseClaim{}
	result := d.serveNamed(ctx, w, claim, e, t, out)
	if result.Committed && result.Code != coder.OK {
		panic(http.ErrAbortHandler)
	}
	if !result.Committed && claim.TryAcquire() {
		refuse(w, decider.Refuse{Code: result.Code, Ran: result.Ran})
	}
}

// serveNamed runs a named request, unless a request of that name has already started. If
// the earlier request is still running, serveNamed waits for its answer, until ctx ends.
// If the earlier request has ended, serveNamed sends the recorded answer.
func (d *Daemon) serveNamed(
	ctx context.Context, w http.ResponseWriter, claim *forwarder.ResponseClaim, e forwarder.Envelope, t ticketer.Ticket, out forwarder.OutgoingRequest,
) forwarder.Result {
	name := deduplicator.Name{Ticket: t, Team: e.Team, Text: e.Name, Request: e.Method + " " + e.URI}
	completed := make(chan deduplicator.Answer, 1)
	verdict, answer := d.home.Begin(d.clock.Now(), name, func(a deduplicator.Answer) { completed <- a })
	d.log.Info("home: decided about a named request", zap.Stringer("verdict", verdict), zap.String("team", e.Team), zap.String("home", t.Home))
	switch verdict {
	case deduplicator.Run:
		return d.runNamed(ctx, w, claim, e, name, out)
	case deduplicator.Wait:
		select {
		case answer = <-completed:
		case <-ctx.Done():
			return forwarder.Result{Code: coder.UpstreamTimeout, Ran: coder.MayHaveRun, Refused: true, Load: -1}
		}
	}
	return replay(w, claim, answer)
}

// runNamed runs a named request to its end, even if its caller disconnects, and records
// the answer for repeats. If [Daemon.answer] panics, the answer broke off after a part of
// it was sent; runNamed then records an unknown outcome.
func (d *Daemon) runNamed(
	ctx context.Context, w http.ResponseWriter, claim *forwarder.ResponseClaim, e forwarder.Envelope, name deduplicator.Name, out forwarder.OutgoingRequest,
) (result forwarder.Result) {
	msg := decider.PassedRequestArrived{
		ID: d.nextID.Add(1), From: e.From, Team: e.Team, Service: e.Service, Repeatable: out.RequestBody.Repeatable(),
		Affinity: e.Affinity, MayPass: true,
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = d.clock.Now().Add(defaultNamedTimeout)
	}
	msg.Deadline = deadline
	rec := &recorder{w: w, claim: claim, header: http.Header{}}
	defer func() {
		if recover() != nil {
			rec.truncated = true
		}
		d.home.End(name, rec.answer())
		result = rec.result()
	}()
	d.answer(context.WithoutCancel(ctx), rec, msg.ID, msg, out)
	return result
}

// replay sends a recorded answer if no other attempt has acquired the claim. If the
// recorded answer is a refusal, it sends nothing and returns the refusal as its result.
func replay(w http.ResponseWriter, claim *forwarder.ResponseClaim, a deduplicator.Answer) forwarder.Result {
	if a.Code != coder.OK {
		return forwarder.Result{Code: a.Code, Ran: a.Ran, Refused: true, Load: -1}
	}
	result := forwarder.Result{Ran: a.Ran, Load: -1, Status: a.Status}
	if !claim.TryAcquire() {
		return result
	}
	for field, values := range a.Header {
		w.Header()[field] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	result.Committed = true
	if _, err := w.Write(a.Body); err != nil {
		result.Code = coder.CallerGone
	}
	return result
}
