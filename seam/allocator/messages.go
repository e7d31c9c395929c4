package allocator

// Peer identifies one run of an instance. The incarnation differs after a
// restart.
type Peer struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Member is a live instance of the fleet, which may claim seats. The members of a
// roster are a different set: see [Roster.Members].
type Member struct {
	Instance      string
	Region        string
	FailureDomain string
}

// Record is the state of a seat in the store. If Holder is empty, the seat was
// released.
type Record struct {
	Holder Peer `json:"holder"`
	// Epoch grows by one each time an instance claims the seat.
	Epoch int64 `json:"epoch"`
	// Renewal is a number that the writing instance increases with each of its writes.
	Renewal int64 `json:"renewal"`
	// Plan is the version of the newest plan that the holder follows: the holder and
	// its borrowers together stay within the seat's shares by that plan.
	Plan int64 `json:"plan"`
	// Successor is the instance that may claim a released seat without waiting.
	Successor string `json:"successor,omitempty"`
	// Handover lists the tokens that the last holder of a released seat passes to the
	// next one.
	Handover []Handover `json:"handed,omitempty"`
}

// Handover is an amount of tokens of one resource that the last holder of a released
// seat passes to the next one.
type Handover struct {
	Resource Resource `json:"resource"`
	Tokens   float64  `json:"tokens"`
}

// Seat is a seat's record, with the seat's name and the record's version in the store.
// Version 0 means that the store has no record yet.
type Seat struct {
	Name    string
	Version int64
	Record  Record
}

// Roster lists the latest holder of each seat at the time when the roster was made.
// These holders are the members of the roster and may vouch for each other while the
// store can't be reached. The roster is an object in the store, which is written with
// compare-and-swap.
type Roster struct {
	// Number grows by one with each change of Seats.
	Number int64 `json:"number"`
	// Settled means that holders, and borrowers of loans from them, can no longer spend
	// on vouches given under an older roster.
	Settled bool         `json:"settled"`
	Seats   []RosterSeat `json:"seats"`
	// Previous lists the members of the previous roster. It is empty once this roster
	// is settled.
	Previous []Peer `json:"previous,omitempty"`
}

// RosterSeat is a seat with its holder and epoch at the time when the roster was made.
type RosterSeat struct {
	Seat   string `json:"seat"`
	Epoch  int64  `json:"epoch"`
	Holder Peer   `json:"holder"`
}

// LoanItem is the part of a loan request that concerns one resource. HeldRate,
// HeldBurst and HeldTokens are what the borrower keeps of its present loan.
type LoanItem struct {
	Resource   Resource
	HeldRate   float64
	HeldBurst  float64
	HeldTokens float64
	// Returned is the number of tokens that the borrower gives back with this request.
	Returned float64
	// WantRate is the total rate that the new loan should have, including HeldRate.
	// WantTokens is the number of tokens or slots needed in addition to HeldTokens.
	WantRate   float64
	WantTokens float64
}

// Grant is the part of a holder's answer that concerns one resource. Rate and Burst
// replace the rate and burst of the borrower's present loan. Tokens is the number of
// tokens that the borrower adds to those that it kept.
type Grant struct {
	Resource Resource
	Rate     float64
	Burst    float64
	Tokens   float64
}

// Msg is a message to the ledger, for [Ledger.Update]. Only types of this package
// implement it.
type Msg interface{ isMsg() }

// LoanRequested is a borrower's loan request to the holder of a seat.
type LoanRequested struct {
	From     Peer
	Sequence uint64
	Seat     string
	Epoch    int64
	Items    []LoanItem
}

// LoanAnswered is a holder's answer to LoanRequested. Refused means that the holder can't
// lend from the seat at that epoch or has already received this request or a newer one,
// or that no answer came.
type LoanAnswered struct {
	Sequence uint64
	Seat     string
	Epoch    int64
	Refused  bool
	Grants   []Grant
}

// SeatsListed is the result of ListSeats: all seats and the roster in the store. Failed
// means that the store did not answer.
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
	// WriteConflicted means that the object had another version in the store, so
	// nothing was written.
	WriteConflicted
	// WriteUnknown means that no answer came, so the write may have taken effect.
	WriteUnknown
)

// SeatWritten is the result of WriteSeat. Version is the new version of the seat's
// record, if the write was applied.
type SeatWritten struct {
	Sequence uint64
	Seat     string
	Result   WriteResult
	Version  int64
}

// RosterWritten is the result of WriteRoster. Version is the new version of the roster,
// if the write was applied.
type RosterWritten struct {
	Sequence uint64
	Result   WriteResult
	Version  int64
}

// AcknowledgementRequested passes a new roster to a member of the previous roster and
// asks the member to acknowledge that it has the new one.
type AcknowledgementRequested struct {
	From   Peer
	Roster Roster
}

// AcknowledgementAnswered is a member's answer to AcknowledgementRequested. Number is the
// number of the newest roster that the member has.
type AcknowledgementAnswered struct {
	From   Peer
	Number int64
}

// VouchRequested asks a member of the roster to vouch for the holder From, which can't
// reach the store. Number is the number of the newest roster that From has.
type VouchRequested struct {
	From     Peer
	Sequence uint64
	Number   int64
}

// VouchAnswered is a member's answer to VouchRequested. Granted means that the member
// vouches for the holder: the member can't reach the store either and has no newer
// roster than the holder.
type VouchAnswered struct {
	From     Peer
	Sequence uint64
	Granted  bool
}

// PlanChanged passes the plan of a newer configuration to the ledger.
type PlanChanged struct{ Plan *Plan }

// MembersChanged passes the list of all instances that count as alive to the ledger.
type MembersChanged struct{ Members []Member }

// Ticked makes the ledger return the commands that are due.
type Ticked struct{}

// StopRequested makes the ledger release its seats and claim no others. The ledger can
// still borrow.
type StopRequested struct{}

func (LoanRequested) isMsg()            {}
func (LoanAnswered) isMsg()             {}
func (SeatsListed) isMsg()              {}
func (SeatWritten) isMsg()              {}
func (RosterWritten) isMsg()            {}
func (AcknowledgementRequested) isMsg() {}
func (AcknowledgementAnswered) isMsg()  {}
func (VouchRequested) isMsg()           {}
func (VouchAnswered) isMsg()            {}
func (PlanChanged) isMsg()              {}
func (MembersChanged) isMsg()           {}
func (Ticked) isMsg()                   {}
func (StopRequested) isMsg()            {}

// Cmd is a command for the owner of the ledger to carry out. Only types of this package
// implement it.
type Cmd interface{ isCmd() }

// RequestLoan sends a loan request to an instance. The result is a LoanAnswered, with
// Refused set if no answer comes.
type RequestLoan struct {
	To      string
	Request LoanRequested
}

// AnswerLoan sends the answer to a LoanRequested.
type AnswerLoan struct {
	To     Peer
	Answer LoanAnswered
}

// ListSeats reads all seats and the roster from the store. The result is a
// SeatsListed.
type ListSeats struct{ Sequence uint64 }

// WriteSeat writes a seat's record if the record's version in the store is still
// Seat.Version. The result is a SeatWritten.
type WriteSeat struct {
	Sequence uint64
	Seat     Seat
}

// WriteRoster writes the roster if its version in the store is still Version. The
// result is a RosterWritten.
type WriteRoster struct {
	Sequence uint64
	Version  int64
	Roster   Roster
}

// RequestAcknowledgement sends a roster to an instance and requests its acknowledgement.
type RequestAcknowledgement struct {
	To      string
	Request AcknowledgementRequested
}

// AnswerAcknowledgement sends the answer to an AcknowledgementRequested.
type AnswerAcknowledgement struct {
	To     Peer
	Answer AcknowledgementAnswered
}

// RequestVouch sends an instance the request to vouch for this holder.
type RequestVouch struct {
	To      string
	Request VouchRequested
}

// AnswerVouch sends the answer to a VouchRequested.
type AnswerVouch struct {
	To     Peer
	Answer VouchAnswered
}

func (RequestLoan) isCmd()            {}
func (AnswerLoan) isCmd()             {}
func (ListSeats) isCmd()              {}
func (WriteSeat) isCmd()              {}
func (WriteRoster) isCmd()            {}
func (RequestAcknowledgement) isCmd() {}
func (AnswerAcknowledgement) isCmd()  {}
func (RequestVouch) isCmd()           {}
func (AnswerVouch) isCmd()            {}
