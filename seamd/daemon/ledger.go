package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/storer"
)

const (
	// ledgerCallTimeout is the timeout of a call to a peer about the fleet-wide
	// limits.
	ledgerCallTimeout = 400 * time.Millisecond
	// seatPrefix starts the names of the objects in the store that hold seats, and
	// rosterName is the name of the object that holds the roster. A seat is a failure
	// domain's share of the fleet-wide limits, held by one instance under a lease.
	// The roster lists the holders of all seats, which may vouch for each other while
	// the store is down.
	seatPrefix = "domain-"
	rosterName = "roster"
)

// ledgerExecutor executes the commands of the ledger. The ledger divides the fleet-wide
// limits among the instances and is a part of the decision loop's model. When a peer
// calls this instance about the limits, the call waits for the ledger's answer, and the
// executor delivers this answer to the waiting call.
type ledgerExecutor struct {
	daemon  *Daemon
	mu      sync.Mutex
	pending map[any]chan allocator.Cmd
	calls   sync.WaitGroup
	// members is the list that was last sent to the ledger. It is guarded by
	// membership.mu.
	members []allocator.Member
}

// lendKey, acknowledgeKey and vouchKey are the keys of ledgerExecutor.pending. Each
// identifies a peer's call that waits for the ledger's answer.
type (
	lendKey struct {
		from     allocator.Peer
		sequence uint64
	}
	acknowledgeKey struct{ from allocator.Peer }
	vouchKey       struct {
		from     allocator.Peer
		sequence uint64
	}
)

func newLedgerExecutor(d *Daemon) *ledgerExecutor {
	return &ledgerExecutor{daemon: d, pending: map[any]chan allocator.Cmd{}}
}

// execute delivers an answer to the waiting call of a peer, or starts a call to a peer or
// to the store in a goroutine. It doesn't wait for the end of that call.
func (s *ledgerExecutor) execute(cmd allocator.Cmd) {
	switch c := cmd.(type) {
	case allocator.AnswerLoan:
		s.answer(lendKey{c.To, c.Answer.Sequence}, c)
	case allocator.AnswerAcknowledgement:
		s.answer(acknowledgeKey{c.To}, c)
	case allocator.AnswerVouch:
		s.answer(vouchKey{c.To, c.Answer.Sequence}, c)
	case allocator.RequestLoan:
		s.calls.Go(func() { s.requestLoan(c) })
	case allocator.RequestAcknowledgement:
		s.calls.Go(func() { s.requestAcknowledgement(c) })
	case allocator.RequestVouch:
		s.calls.Go(func() { s.requestVouch(c) })
	case allocator.ListSeats:
		s.calls.Go(func() { s.listSeats(c) })
	case allocator.WriteSeat:
		s.calls.Go(func() { s.writeSeat(c) })
	case allocator.WriteRoster:
		s.calls.Go(func() { s.writeRoster(c) })
	}
}

// report sends a message for the ledger to the loop.
func (s *ledgerExecutor) report(msg decider.LedgerMessage) { s.daemon.loop.send(msg) }

// client returns a client for calls to an instance, a context with the timeout of one
// call, and the function that cancels the context. It reports false if no live instance
// has this id.
func (s *ledgerExecutor) client(instance string) (peerv1connect.LedgerServiceClient, context.Context, context.CancelFunc, bool) {
	other, ok := s.daemon.Peer(instance)
	if !ok {
		return nil, nil, nil, false
	}
	ctx, cancel := context.WithTimeout(s.daemon.workCtx, ledgerCallTimeout)
	return peerv1connect.NewLedgerServiceClient(s.daemon.peerClient, s.daemon.peerURL(other.Address())), ctx, cancel, true
}

// requestLoan requests a part of the limits from the holder of a seat and reports the
// holder's answer to the ledger. If the call fails, it reports a refusal.
func (s *ledgerExecutor) requestLoan(c allocator.RequestLoan) {
	answer := allocator.LoanAnswered{Sequence: c.Request.Sequence, Seat: c.Request.Seat, Epoch: c.Request.Epoch, Refused: true}
	defer func() { s.report(decider.LedgerMessage{LoanAnswered: &answer}) }()
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	resp, err := client.Lend(ctx, connect.NewRequest(encodeLend(c.Request)))
	if err != nil {
		s.daemon.log.Debug("ledger: loan request failed", zap.String("to", c.To), zap.Error(err))
		return
	}
	answer.Refused = resp.Msg.GetRefused()
	answer.Grants = grants(resp.Msg.GetGrants())
}

// requestAcknowledgement sends a new roster to a member of the previous one. If the member
// acknowledges the new roster, it reports this to the ledger. If the call fails, it
// reports nothing.
func (s *ledgerExecutor) requestAcknowledgement(c allocator.RequestAcknowledgement) {
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	resp, err := client.Acknowledge(ctx, connect.NewRequest(encodeAcknowledge(c.Request)))
	if err != nil {
		s.daemon.log.Debug("ledger: peer did not acknowledge the roster", zap.String("by", c.To), zap.Error(err))
		return
	}
	given := allocator.AcknowledgementAnswered{From: decodePeer(resp.Msg.GetReceiver()), Number: resp.Msg.GetNumber()}
	s.report(decider.LedgerMessage{AcknowledgementAnswered: &given})
}

// requestVouch requests that a member of the roster vouches for this instance, so that this
// instance may use its seat while the store is down. It reports the member's answer to
// the ledger. If the call fails, it reports nothing.
func (s *ledgerExecutor) requestVouch(c allocator.RequestVouch) {
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	request := &peerv1.VouchRequest{Sender: encodePeer(c.Request.From), Sequence: c.Request.Sequence, Number: c.Request.Number}
	resp, err := client.Vouch(ctx, connect.NewRequest(request))
	if err != nil {
		s.daemon.log.Debug("ledger: vouch request failed", zap.String("of", c.To), zap.Error(err))
		return
	}
	given := allocator.VouchAnswered{From: decodePeer(resp.Msg.GetReceiver()), Sequence: c.Request.Sequence, Granted: resp.Msg.GetGranted()}
	s.report(decider.LedgerMessage{VouchAnswered: &given})
}

// listSeats reads the seats and the roster from the store and reports them, or the
// failure, to the ledger. It leaves out invalid objects.
func (s *ledgerExecutor) listSeats(c allocator.ListSeats) {
	listed := allocator.SeatsListed{Sequence: c.Sequence}
	events, err := s.daemon.store.List(s.daemon.workCtx, storer.KindSeat)
	if err != nil {
		listed.Failed = true
		s.daemon.log.Debug("ledger: could not read the seats from the store", zap.Error(err))
	}
	for _, o := range events.Objects {
		if err := addObject(&listed, o); err != nil {
			s.daemon.log.Error("ledger: ignored an invalid record", zap.String("name", o.Name), zap.Error(err))
		}
	}
	s.report(decider.LedgerMessage{SeatsListed: &listed})
}

// addObject decodes an object from the store, a seat or the roster, and adds it to the
// listing.
func addObject(listed *allocator.SeatsListed, o storer.Object) error {
	if o.Name == rosterName {
		listed.RosterVersion = o.Version
		return json.Unmarshal(o.Value, &listed.Roster)
	}
	name, ok := strings.CutPrefix(o.Name, seatPrefix)
	if !ok {
		return errors.New("name is neither a seat nor the roster")
	}
	seat := allocator.Seat{Name: name, Version: o.Version}
	if err := json.Unmarshal(o.Value, &seat.Record); err != nil {
		return err
	}
	listed.Seats = append(listed.Seats, seat)
	return nil
}

// writeSeat writes a seat to the store and reports the result to the ledger.
func (s *ledgerExecutor) writeSeat(c allocator.WriteSeat) {
	result, version := s.writeObject(seatPrefix+c.Seat.Name, c.Seat.Version, c.Seat.Record)
	written := allocator.SeatWritten{Sequence: c.Sequence, Seat: c.Seat.Name, Result: result, Version: version}
	s.report(decider.LedgerMessage{SeatWritten: &written})
	if result == allocator.WriteApplied {
		s.daemon.log.Debug("ledger: wrote a seat", zap.String("seat", c.Seat.Name), zap.Int64("epoch", c.Seat.Record.Epoch))
	}
}

// writeRoster writes the roster to the store and reports the result to the ledger.
func (s *ledgerExecutor) writeRoster(c allocator.WriteRoster) {
	result, version := s.writeObject(rosterName, c.Version, c.Roster)
	s.report(decider.LedgerMessage{RosterWritten: &allocator.RosterWritten{Sequence: c.Sequence, Result: result, Version: version}})
	s.daemon.log.Info("ledger: tried to write the roster", zap.Int64("number", c.Roster.Number), zap.Bool("settled", c.Roster.Settled))
}

// writeObject writes an object, on the condition that the store still has the given
// version of the object. It returns whether the write was applied, conflicted with
// another write or has an unknown outcome. If the write was applied, it also returns the
// new version, else 0.
func (s *ledgerExecutor) writeObject(name string, version int64, value any) (allocator.WriteResult, int64) {
	data, err := json.Marshal(value)
	if err != nil {
		return allocator.WriteConflicted, 0
	}
	written, err := s.daemon.store.Put(s.daemon.workCtx, storer.Object{Kind: storer.KindSeat, Name: name, Version: version, Value: data})
	switch coder.CodeOf(err) {
	case coder.OK:
		if err == nil {
			return allocator.WriteApplied, written.Version
		}
	case coder.StoreConflict:
		return allocator.WriteConflicted, 0
	}
	s.daemon.log.Debug("ledger: outcome of a write is unknown", zap.String("name", name), zap.Error(err))
	return allocator.WriteUnknown, 0
}

// request sends a peer's message to the ledger and returns the command with the ledger's
// answer. It returns an error if ctx or the loop ends first. If a second call with the
// same key arrives while the first one waits, only the second gets the answer.
func (s *ledgerExecutor) request(ctx context.Context, key any, msg decider.LedgerMessage) (allocator.Cmd, error) {
	reply := make(chan allocator.Cmd, 1)
	s.mu.Lock()
	s.pending[key] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pending[key] == reply {
			delete(s.pending, key)
		}
	}()
	s.report(msg)
	select {
	case cmd := <-reply:
		return cmd, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	case <-s.daemon.loop.done:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("stopping"))
	}
}

// answer delivers the ledger's answer to the call that waits under the key, if there is
// one.
func (s *ledgerExecutor) answer(key any, cmd allocator.Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.pending[key]; ok {
		delete(s.pending, key)
		reply <- cmd
	}
}
