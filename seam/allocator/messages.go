package allocator

// Peer identifies one run of an instance. The incarnation differs after a
// restart.
type Peer struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Member is an instance that may hold seats.
type Member struct {
	Instance      string
	Region        string
	FailureDomain string
}

// Record is the state of a seat in the store. An empty holder means that the seat
// was released.
type Record struct {
	Holder Peer `json:"holder"`
	// Epoch grows by one with each new holder.
	Epoch int64 `json:"epoch"`
	// Renewal is greater with each write of a holder.
	Renewal int64 `json:"renewal"`
	// Plan is the newest plan version whose shares the holder and its borrowers
	// stay within.
	Plan int64 `json:"plan"`
	// Successor is the instance that should claim a released seat first.
	Successor string `json:"successor,omitempty"`
	// Handover lists the tokens that a released seat passes to its next holder.
	Handover []Handover `json:"handed,omitempty"`
}

// Handover is an amount of tokens that a released seat passes to its next holder.
type Handover struct {
	Resource Resource `json:"resource"`
	Tokens   float64  `json:"tokens"`
}

// Seat is a seat's record with its name and its version in the store. Version 0
// means that there is no record yet.
type Seat struct {
	Name    string
	Version int64
	Record  Record
}

// Roster lists the latest holders of the seats. They are its members, and may
// vouch for each other while the store can't be reached. It is an object in the
// store, written with compare-and-swap.
type Roster struct {
	// Number grows by one with each change of the seats.
	Number int64 `json:"number"`
	// Settled means that no holder can still spend on vouches for an older roster.
	Settled bool         `json:"settled"`
	Seats   []RosterSeat `json:"seats"`
	// Previous are the members of the previous roster. It is empty once the
	// roster is settled.
	Previous []Peer `json:"previous,omitempty"`
}

// RosterSeat is a seat and its holder at the time when the roster was made.
type RosterSeat struct {
	Seat   string `json:"seat"`
	Epoch  int64  `json:"epoch"`
	Holder Peer   `json:"holder"`
}

// LoanItem is the part of a loan request that concerns one resource. The Held
// fields are what the borrower keeps of its present loan.
type LoanItem struct {
	Resource   Resource
	HeldRate   float64
	HeldBurst  float64
	HeldTokens float64
	// Returned are tokens that the borrower gives back with this request.
	Returned float64
	// WantRate is the whole rate that the new loan should have, and WantTokens are
	// the tokens or slots needed in addition to those kept.
	WantRate   float64
	WantTokens float64
}

// Grant is the part of a loan that concerns one resource. Rate and Burst replace
// those of the present loan, and Tokens are added to the ones kept.
type Grant struct {
	Resource Resource
	Rate     float64
	Burst    float64
	Tokens   float64
}

// Msg is a message to the ledger. Only this package implements it.
type Msg interface{ isMsg() }

// LoanAsked is a borrower's request to the holder of a seat.
type LoanAsked struct {
	From     Peer
	Sequence uint64
	Seat     string
	Epoch    int64
	Items    []LoanItem
}

// LoanAnswered is a holder's answer to LoanAsked. Refused means that it can't lend
// from the seat at that epoch or has seen a newer request, or that no answer came.
type LoanAnswered struct {
	Sequence uint64
	Seat     string
	Epoch    int64
	Refused  bool
	Grants   []Grant
}

// SeatsListed is the result of ListSeats. Failed means that the store did not
// answer.
type SeatsListed struct {
	Sequence      uint64
	Failed        bool
	Seats         []Seat
	RosterVersion int64
	Roster        Roster
}

// WriteResult is the outcome of a compare-and-swap write to the store.
type WriteResult int

const (
	// WriteApplied means that the write took effect.
	WriteApplied WriteResult = iota
	// WriteConflicted means that the object had another version.
	WriteConflicted
	// WriteUnknown means that no answer came, so the write may have taken effect.
	WriteUnknown
)

// SeatWritten is the result of WriteSeat.
type SeatWritten struct {
	Sequence uint64
	Seat     string
	Result   WriteResult
	Version  int64
}

// RosterWritten is the result of WriteRoster.
type RosterWritten struct {
	Sequence uint64
	Result   WriteResult
	Version  int64
}

// AcknowledgementAsked sends a new roster to a member of the previous one, which
// must acknowledge that it has the new roster.
type AcknowledgementAsked struct {
	From   Peer
	Roster Roster
}

// AcknowledgementGiven is a member's answer to AcknowledgementAsked. Number is
// that of the newest roster that it has.
type AcknowledgementGiven struct {
	From   Peer
	Number int64
}

// VouchAsked requests a member of the roster to vouch for a holder that can't reach
// the store. Number is that of the newest roster that the holder has.
type VouchAsked struct {
	From     Peer
	Sequence uint64
	Number   int64
}

// VouchGiven is a member's answer to VouchAsked. Granted means that the member
// can't reach the store either and has no newer roster.
type VouchGiven struct {
	From     Peer
	Sequence uint64
	Granted  bool
}

// PlanChanged provides a newer plan.
type PlanChanged struct{ Plan *Plan }

// MembersChanged provides the instances that count as alive.
type MembersChanged struct{ Members []Member }

// Ticked makes the ledger return the commands that are due.
type Ticked struct{}

// StopRequested makes the ledger release its seats. It continues to borrow.
type StopRequested struct{}

func (LoanAsked) isMsg()            {}
func (LoanAnswered) isMsg()         {}
func (SeatsListed) isMsg()          {}
func (SeatWritten) isMsg()          {}
func (RosterWritten) isMsg()        {}
func (AcknowledgementAsked) isMsg() {}
func (AcknowledgementGiven) isMsg() {}
func (VouchAsked) isMsg()           {}
func (VouchGiven) isMsg()           {}
func (PlanChanged) isMsg()          {}
func (MembersChanged) isMsg()       {}
func (Ticked) isMsg()               {}
func (StopRequested) isMsg()        {}

// Cmd is a command for the owner of the ledger to carry out. Only this package
// implements it.
type Cmd interface{ isCmd() }

// AskLoan sends a loan request to an instance. The result is a LoanAnswered, with
// Refused set if no answer comes.
type AskLoan struct {
	To  string
	Ask LoanAsked
}

// AnswerLoan sends the answer to a LoanAsked.
type AnswerLoan struct {
	To     Peer
	Answer LoanAnswered
}

// ListSeats reads all seats and the roster from the store. The result is a
// SeatsListed.
type ListSeats struct{ Sequence uint64 }

// WriteSeat writes a seat if its version in the store is still the given one. The
// result is a SeatWritten.
type WriteSeat struct {
	Sequence uint64
	Seat     Seat
}

// WriteRoster writes the roster if its version in the store is still the given
// one. The result is a RosterWritten.
type WriteRoster struct {
	Sequence uint64
	Version  int64
	Roster   Roster
}

// AskAcknowledgement sends a roster to an instance to be acknowledged.
type AskAcknowledgement struct {
	To  string
	Ask AcknowledgementAsked
}

// AnswerAcknowledgement sends the answer to an AcknowledgementAsked.
type AnswerAcknowledgement struct {
	To     Peer
	Answer AcknowledgementGiven
}

// AskVouch sends an instance a request to vouch for this one.
type AskVouch struct {
	To  string
	Ask VouchAsked
}

// AnswerVouch sends the answer to a VouchAsked.
type AnswerVouch struct {
	To     Peer
	Answer VouchGiven
}

func (AskLoan) isCmd()               {}
func (AnswerLoan) isCmd()            {}
func (ListSeats) isCmd()             {}
func (WriteSeat) isCmd()             {}
func (WriteRoster) isCmd()           {}
func (AskAcknowledgement) isCmd()    {}
func (AnswerAcknowledgement) isCmd() {}
func (AskVouch) isCmd()              {}
func (AnswerVouch) isCmd()           {}
