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
	// ledgerCallTimeout bounds a call about limits to a peer.
	ledgerCallTimeout = 400 * time.Millisecond
	// seatPrefix and rosterName name the ledger's objects in the store.
	seatPrefix = "domain-"
	rosterName = "roster"
)

// ledgerCalls carries out the commands of the ledger and matches the loop's
// answers to the calls of peers that wait for them.
type ledgerCalls struct {
	daemon *Daemon
	mu     sync.Mutex
	open   map[any]chan allocator.Cmd
	calls  sync.WaitGroup
	// members belongs to the goroutine that reads the instance list.
	members []allocator.Member
}

// lendKey, acknowledgeKey and vouchKey tell the calls of peers apart.
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

func newLedgerCalls(d *Daemon) *ledgerCalls {
	return &ledgerCalls{daemon: d, open: map[any]chan allocator.Cmd{}}
}

// carryOut starts what a command asks for; it doesn't wait.
func (s *ledgerCalls) carryOut(cmd allocator.Cmd) {
	switch c := cmd.(type) {
	case allocator.AnswerLoan:
		s.answer(lendKey{c.To, c.Answer.Sequence}, c)
	case allocator.AnswerAcknowledgement:
		s.answer(acknowledgeKey{c.To}, c)
	case allocator.AnswerVouch:
		s.answer(vouchKey{c.To, c.Answer.Sequence}, c)
	case allocator.AskLoan:
		s.calls.Go(func() { s.askLoan(c) })
	case allocator.AskAcknowledgement:
		s.calls.Go(func() { s.askAcknowledgement(c) })
	case allocator.AskVouch:
		s.calls.Go(func() { s.askWord(c) })
	case allocator.ListSeats:
		s.calls.Go(func() { s.listSeats(c) })
	case allocator.WriteSeat:
		s.calls.Go(func() { s.writeSeat(c) })
	case allocator.WriteRoster:
		s.calls.Go(func() { s.writeRoster(c) })
	}
}

func (s *ledgerCalls) report(msg decider.LedgerMessage) { s.daemon.loop.send(msg) }

// client returns a client for an instance and a context that bounds one call.
func (s *ledgerCalls) client(instance string) (peerv1connect.LedgerServiceClient, context.Context, context.CancelFunc, bool) {
	other, ok := s.daemon.Peer(instance)
	if !ok {
		return nil, nil, nil, false
	}
	ctx, cancel := context.WithTimeout(s.daemon.work, ledgerCallTimeout)
	return peerv1connect.NewLedgerServiceClient(s.daemon.peerClient, s.daemon.peerURL(other.Address())), ctx, cancel, true
}

func (s *ledgerCalls) askLoan(c allocator.AskLoan) {
	answer := allocator.LoanAnswered{Sequence: c.Ask.Sequence, Seat: c.Ask.Seat, Epoch: c.Ask.Epoch, Refused: true}
	defer func() { s.report(decider.LedgerMessage{LoanAnswered: &answer}) }()
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	resp, err := client.Lend(ctx, connect.NewRequest(lendRequest(c.Ask)))
	if err != nil {
		s.daemon.log.Debug("ledger: loan request failed", zap.String("to", c.To), zap.Error(err))
		return
	}
	answer.Refused = resp.Msg.GetRefused()
	answer.Grants = grants(resp.Msg.GetGrants())
}

func (s *ledgerCalls) askAcknowledgement(c allocator.AskAcknowledgement) {
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	resp, err := client.Acknowledge(ctx, connect.NewRequest(acknowledgeRequest(c.Ask)))
	if err != nil {
		s.daemon.log.Debug("ledger: roster was not acknowledged", zap.String("by", c.To), zap.Error(err))
		return
	}
	given := allocator.AcknowledgementGiven{From: peer(resp.Msg.GetReceiver()), Number: resp.Msg.GetNumber()}
	s.report(decider.LedgerMessage{AcknowledgementGiven: &given})
}

func (s *ledgerCalls) askWord(c allocator.AskVouch) {
	client, ctx, cancel, ok := s.client(c.To)
	if !ok {
		return
	}
	defer cancel()
	ask := &peerv1.VouchRequest{Sender: start(c.Ask.From), Sequence: c.Ask.Sequence, Number: c.Ask.Number}
	resp, err := client.Vouch(ctx, connect.NewRequest(ask))
	if err != nil {
		s.daemon.log.Debug("ledger: no word", zap.String("of", c.To), zap.Error(err))
		return
	}
	given := allocator.VouchGiven{From: peer(resp.Msg.GetReceiver()), Sequence: c.Ask.Sequence, Granted: resp.Msg.GetGranted()}
	s.report(decider.LedgerMessage{VouchGiven: &given})
}

func (s *ledgerCalls) listSeats(c allocator.ListSeats) {
	listed := allocator.SeatsListed{Sequence: c.Sequence}
	events, err := s.daemon.store.List(s.daemon.work, storer.KindSeat)
	if err != nil {
		listed.Failed = true
		s.daemon.log.Debug("ledger: seats not read", zap.Error(err))
	}
	for _, o := range events.Objects {
		if err := addObject(&listed, o); err != nil {
			s.daemon.log.Error("ledger: ignored an invalid record", zap.String("name", o.Name), zap.Error(err))
		}
	}
	s.report(decider.LedgerMessage{SeatsListed: &listed})
}

// addObject decodes a seat or the roster.
func addObject(listed *allocator.SeatsListed, o storer.Object) error {
	if o.Name == rosterName {
		listed.RosterVersion = o.Version
		return json.Unmarshal(o.Value, &listed.Roster)
	}
	name, ok := strings.CutPrefix(o.Name, seatPrefix)
	if !ok {
		return errors.New("not a seat")
	}
	seat := allocator.Seat{Name: name, Version: o.Version}
	if err := json.Unmarshal(o.Value, &seat.Record); err != nil {
		return err
	}
	listed.Seats = append(listed.Seats, seat)
	return nil
}

func (s *ledgerCalls) writeSeat(c allocator.WriteSeat) {
	result, version := s.put(seatPrefix+c.Seat.Name, c.Seat.Version, c.Seat.Record)
	written := allocator.SeatWritten{Sequence: c.Sequence, Seat: c.Seat.Name, Result: result, Version: version}
	s.report(decider.LedgerMessage{SeatWritten: &written})
	if result == allocator.WriteApplied {
		s.daemon.log.Debug("ledger: wrote a seat", zap.String("seat", c.Seat.Name), zap.Int64("epoch", c.Seat.Record.Epoch))
	}
}

func (s *ledgerCalls) writeRoster(c allocator.WriteRoster) {
	result, version := s.put(rosterName, c.Version, c.Roster)
	s.report(decider.LedgerMessage{RosterWritten: &allocator.RosterWritten{Sequence: c.Sequence, Result: result, Version: version}})
	s.daemon.log.Info("ledger: wrote the roster", zap.Int64("number", c.Roster.Number), zap.Bool("settled", c.Roster.Settled))
}

func (s *ledgerCalls) put(name string, version int64, value any) (allocator.WriteResult, int64) {
	data, err := json.Marshal(value)
	if err != nil {
		return allocator.WriteConflicted, 0
	}
	written, err := s.daemon.store.Put(s.daemon.work, storer.Object{Kind: storer.KindSeat, Name: name, Version: version, Value: data})
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

// ask gives the loop a peer's message and waits for its answer.
func (s *ledgerCalls) ask(ctx context.Context, key any, msg decider.LedgerMessage) (allocator.Cmd, error) {
	reply := make(chan allocator.Cmd, 1)
	s.mu.Lock()
	s.open[key] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.open[key] == reply {
			delete(s.open, key)
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

func (s *ledgerCalls) answer(key any, cmd allocator.Cmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, ok := s.open[key]; ok {
		delete(s.open, key)
		reply <- cmd
	}
}
