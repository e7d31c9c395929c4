package daemon

import (
	"context"
	"errors"
	"slices"

	"connectrpc.com/connect"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/decider"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
)

// ledgerService serves peers' calls about the fleet-wide limits. Each call passes the
// request to the ledger in the decision loop and waits for its answer.
type ledgerService struct{ executor *ledgerExecutor }

var errUnexpectedAnswer = connect.NewError(connect.CodeInternal, errors.New("unexpected answer from the decision loop"))

// Lend implements peerv1connect.LedgerServiceHandler. It answers a peer's request to
// borrow a part of the limits of a seat that this instance holds.
func (s *ledgerService) Lend(
	ctx context.Context, req *connect.Request[peerv1.LendRequest],
) (*connect.Response[peerv1.LendResponse], error) {
	request := decodeLend(req.Msg)
	cmd, err := s.executor.request(ctx, lendKey{request.From, request.Sequence}, decider.LedgerMessage{LoanRequested: &request})
	if err != nil {
		return nil, err
	}
	c, ok := cmd.(allocator.AnswerLoan)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	resp := &peerv1.LendResponse{Refused: c.Answer.Refused}
	for _, g := range c.Answer.Grants {
		resp.Grants = append(resp.Grants, &peerv1.LendGrant{
			Resource: encodeResource(g.Resource), Rate: g.Rate, Burst: g.Burst, Tokens: g.Tokens,
		})
	}
	return connect.NewResponse(resp), nil
}

// Acknowledge implements peerv1connect.LedgerServiceHandler. It passes the roster that a
// peer sends to the ledger, and answers with the number of the newest roster that this
// instance has.
func (s *ledgerService) Acknowledge(
	ctx context.Context, req *connect.Request[peerv1.AcknowledgeRequest],
) (*connect.Response[peerv1.AcknowledgeResponse], error) {
	request := decodeAcknowledge(req.Msg)
	cmd, err := s.executor.request(ctx, acknowledgeKey{request.From}, decider.LedgerMessage{AcknowledgementRequested: &request})
	if err != nil {
		return nil, err
	}
	c, ok := cmd.(allocator.AnswerAcknowledgement)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	return connect.NewResponse(&peerv1.AcknowledgeResponse{Receiver: encodePeer(c.Answer.From), Number: c.Answer.Number}), nil
}

// Vouch implements peerv1connect.LedgerServiceHandler. It answers whether this instance
// vouches for the calling peer.
func (s *ledgerService) Vouch(
	ctx context.Context, req *connect.Request[peerv1.VouchRequest],
) (*connect.Response[peerv1.VouchResponse], error) {
	request := allocator.VouchRequested{From: decodePeer(req.Msg.GetSender()), Sequence: req.Msg.GetSequence(), Number: req.Msg.GetNumber()}
	cmd, err := s.executor.request(ctx, vouchKey{request.From, request.Sequence}, decider.LedgerMessage{VouchRequested: &request})
	if err != nil {
		return nil, err
	}
	c, ok := cmd.(allocator.AnswerVouch)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	return connect.NewResponse(&peerv1.VouchResponse{Receiver: encodePeer(c.Answer.From), Granted: c.Answer.Granted}), nil
}

// membersChanged sends the list of live instances to the ledger if it differs from the
// list that was last sent. The caller holds membership.mu.
func (s *ledgerExecutor) membersChanged() {
	var members []allocator.Member
	for _, id := range s.daemon.PeerIDs() {
		if p, ok := s.daemon.Peer(id); ok {
			members = append(members, allocator.Member{Instance: id, Region: p.Region(), FailureDomain: p.FailureDomain()})
		}
	}
	if slices.Equal(members, s.members) {
		return
	}
	s.members = members
	s.report(decider.LedgerMessage{MembersChanged: &allocator.MembersChanged{Members: members}})
}

// encodePeer encodes one start of an instance, identified by its id and incarnation.
func encodePeer(p allocator.Peer) *peerv1.Start {
	return &peerv1.Start{Instance: p.Instance, Incarnation: p.Incarnation}
}

func decodePeer(s *peerv1.Start) allocator.Peer {
	return allocator.Peer{Instance: s.GetInstance(), Incarnation: s.GetIncarnation()}
}

func encodeResource(r allocator.Resource) *peerv1.Resource {
	return &peerv1.Resource{Kind: int32(r.Kind), Name: r.Name}
}

func decodeResource(r *peerv1.Resource) allocator.Resource {
	return allocator.Resource{Kind: allocator.Kind(r.GetKind()), Name: r.GetName()}
}

func encodeLend(request allocator.LoanRequested) *peerv1.LendRequest {
	req := &peerv1.LendRequest{Borrower: encodePeer(request.From), Sequence: request.Sequence, Seat: request.Seat, Epoch: request.Epoch}
	for _, i := range request.Items {
		req.Items = append(req.Items, &peerv1.LendItem{
			Resource: encodeResource(i.Resource),
			HeldRate: i.HeldRate, HeldBurst: i.HeldBurst, HeldTokens: i.HeldTokens, Returned: i.Returned,
			WantRate: i.WantRate, WantTokens: i.WantTokens,
		})
	}
	return req
}

func decodeLend(req *peerv1.LendRequest) allocator.LoanRequested {
	request := allocator.LoanRequested{From: decodePeer(req.GetBorrower()), Sequence: req.GetSequence(), Seat: req.GetSeat(), Epoch: req.GetEpoch()}
	for _, i := range req.GetItems() {
		request.Items = append(request.Items, allocator.LoanItem{
			Resource: decodeResource(i.GetResource()),
			HeldRate: i.GetHeldRate(), HeldBurst: i.GetHeldBurst(), HeldTokens: i.GetHeldTokens(), Returned: i.GetReturned(),
			WantRate: i.GetWantRate(), WantTokens: i.GetWantTokens(),
		})
	}
	return request
}

// grants decodes the limits that a seat's holder has lent to this instance.
func grants(list []*peerv1.LendGrant) []allocator.Grant {
	var grants []allocator.Grant
	for _, g := range list {
		grants = append(grants, allocator.Grant{
			Resource: decodeResource(g.GetResource()), Rate: g.GetRate(), Burst: g.GetBurst(), Tokens: g.GetTokens(),
		})
	}
	return grants
}

func encodeAcknowledge(request allocator.AcknowledgementRequested) *peerv1.AcknowledgeRequest {
	req := &peerv1.AcknowledgeRequest{Sender: encodePeer(request.From), Number: request.Roster.Number, Settled: request.Roster.Settled}
	for _, s := range request.Roster.Seats {
		req.Seats = append(req.Seats, &peerv1.RosterSeat{Seat: s.Seat, Epoch: s.Epoch, Holder: encodePeer(s.Holder)})
	}
	for _, p := range request.Roster.Previous {
		req.Previous = append(req.Previous, encodePeer(p))
	}
	return req
}

func decodeAcknowledge(req *peerv1.AcknowledgeRequest) allocator.AcknowledgementRequested {
	r := allocator.Roster{Number: req.GetNumber(), Settled: req.GetSettled()}
	for _, s := range req.GetSeats() {
		r.Seats = append(r.Seats, allocator.RosterSeat{Seat: s.GetSeat(), Epoch: s.GetEpoch(), Holder: decodePeer(s.GetHolder())})
	}
	for _, p := range req.GetPrevious() {
		r.Previous = append(r.Previous, decodePeer(p))
	}
	return allocator.AcknowledgementRequested{From: decodePeer(req.GetSender()), Roster: r}
}
