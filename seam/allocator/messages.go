package allocator

// Peer is one start of an instance.
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

// Record is the value of a seat in the store. Each write of a
// holder has a greater Renewal; an empty holder means that the seat was
// released.
type Record struct {
	Holder  Peer  `json:"holder"`
	Epoch   int64 `json:"epoch"`
	Renewal int64 `json:"renewal"`
	// Plan is the newest configuration version to which the holder has shrunk.
	Plan int64 `json:"plan"`
	// Successor is the instance that should claim a released seat first.
	Successor string `json:"successor,omitempty"`
	// Handed lists the tokens that a released seat passes on.
	Handed []Handed `json:"handed,omitempty"`
}

// Handed is an amount of tokens that goes with a released seat.
type Handed struct {
	Resource Resource `json:"resource"`
	Tokens   float64  `json:"tokens"`
}

// Seat is a record with its name and its version in the store; version 0 means
// that the record doesn't exist.
type Seat struct {
	Name    string
	Version int64
	Record  Record
}

// Roster lists who may vouch for a holder while the store can't be reached.
// The store orders its versions; Number grows by one with each change.
type Roster struct {
	Number  int64        `json:"number"`
	Settled bool         `json:"settled"`
	Seats   []RosterSeat `json:"seats"`
	// Previous are the members of the roster before.
	Previous []Peer `json:"previous,omitempty"`
}

// RosterSeat is a seat and who held it when the roster was made.
type RosterSeat struct {
	Seat   string `json:"seat"`
	Epoch  int64  `json:"epoch"`
	Holder Peer   `json:"holder"`
}

// LoanItem asks for a part of one resource and says what is kept of the loan
// before.
type LoanItem struct {
	Resource   Resource
	HeldRate   float64
	HeldBurst  float64
	HeldTokens float64
	// Returned are tokens that the borrower gives up with this request.
	Returned   float64
	WantRate   float64
	WantTokens float64
}

// Grant is a part of a resource that is lent.
type Grant struct {
	Resource Resource
	Rate     float64
	Burst    float64
	Tokens   float64
}

// Msg is a message to the ledger. The set of messages is closed.
type Msg interface{ isMsg() }

// LoanAsked is a borrower's request to the holder of a seat.
type LoanAsked struct {
	From     Peer
	Sequence uint64
	Seat     string
	Epoch    int64
	Items    []LoanItem
}

// LoanAnswered is a holder's answer. Refused means that the instance doesn't
// hold the seat at that epoch, or that no answer came.
type LoanAnswered struct {
	Sequence uint64
	Seat     string
	Epoch    int64
	Refused  bool
	Grants   []Grant
}

// SeatsListed carries what the store holds. Failed means that the store did
// not answer.
type SeatsListed struct {
	Sequence      uint64
	Failed        bool
	Seats         []Seat
	RosterVersion int64
	Roster        Roster
}

// WriteResult says how a conditional update ended.
type WriteResult int

const (
	// WriteApplied means that the update took effect.
	WriteApplied WriteResult = iota
	// WriteConflicted means that the record had changed.
	WriteConflicted
	// WriteUnknown means that no answer came.
	WriteUnknown
)

// SeatWritten is the answer to WriteSeat.
type SeatWritten struct {
	Sequence uint64
	Seat     string
	Result   WriteResult
	Version  int64
}

// RosterWritten is the answer to WriteRoster.
type RosterWritten struct {
	Sequence uint64
	Result   WriteResult
	Version  int64
}

// AcknowledgementAsked shows a roster to one of the members before it.
type AcknowledgementAsked struct {
	From   Peer
	Roster Roster
}

// AcknowledgementGiven says that a member knows of a roster.
type AcknowledgementGiven struct {
	From   Peer
	Number int64
}

// VouchAsked asks a member whether a holder may go on without the store.
type VouchAsked struct {
	From     Peer
	Sequence uint64
	Number   int64
}

// VouchGiven answers. Granted means "I can't reach the store, and I know of no
// roster newer than yours".
type VouchGiven struct {
	From     Peer
	Sequence uint64
	Granted  bool
}

// PlanChanged brings a newer division of capacities.
type PlanChanged struct{ Plan *Plan }

// MembersChanged brings the instances that are believed to live.
type MembersChanged struct{ Members []Member }

// Ticked says that time has passed.
type Ticked struct{}

// StopRequested makes the ledger release its seats. It goes on borrowing.
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

// Cmd is a command that the ledger asks its owner to carry out. The set of
// commands is closed.
type Cmd interface{ isCmd() }

// AskLoan sends a loan request to an instance. The answer, or a refused one if
// none comes, goes back as LoanAnswered.
type AskLoan struct {
	To  string
	Ask LoanAsked
}

// AnswerLoan answers a LoanAsked.
type AnswerLoan struct {
	To     Peer
	Answer LoanAnswered
}

// ListSeats reads all seats and the roster from the store.
type ListSeats struct{ Sequence uint64 }

// WriteSeat writes a seat if its version still is the given one.
type WriteSeat struct {
	Sequence uint64
	Seat     Seat
}

// WriteRoster writes the roster if its version still is the given one.
type WriteRoster struct {
	Sequence uint64
	Version  int64
	Roster   Roster
}

// AskAcknowledgement shows a roster to an instance.
type AskAcknowledgement struct {
	To  string
	Ask AcknowledgementAsked
}

// AnswerAcknowledgement answers an AcknowledgementAsked.
type AnswerAcknowledgement struct {
	To     Peer
	Answer AcknowledgementGiven
}

// AskVouch asks an instance for its word.
type AskVouch struct {
	To  string
	Ask VouchAsked
}

// AnswerVouch answers a WordAsked.
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
