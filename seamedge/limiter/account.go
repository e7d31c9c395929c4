package limiter

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"primroseseam.org/seam/coder"
)

//go:generate stringer -type=Phase,Reason -output=limiter_string.go

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// Idle connections wait for a request.
	Idle Phase = iota
	// ReceivingHead and ReceivingBody connections receive a request.
	ReceivingHead
	ReceivingBody
	// AtEndpoint connections have a request that is with an endpoint. Streaming connections
	// do as well, and its body may not have arrived as a whole. They make room for nobody.
	AtEndpoint
	Streaming
	// Responding connections take a response.
	Responding
)

// Reason is why a budget closed a connection or refused a request.
type Reason int

// Reasons for closings.
const (
	// NoConnection means that too many connections were open, and NoRoom that too much memory
	// was held.
	NoConnection Reason = iota
	NoRoom
	// HeadTooLarge means that a head exceeded its limit, and HeadTimeout that it took too
	// long.
	HeadTooLarge
	HeadTimeout
	// BodyTimeout means that a body did not arrive in the time that its sender waits for the
	// response.
	BodyTimeout
	// Stalled means that a client stopped sending a body or taking a response, although there
	// was room for its bytes or more of the response.
	Stalled
	// IdleTimeout means that a connection was idle for too long.
	IdleTimeout
	reasonCount
)

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		list = append(list, r)
	}
	return list
}

// Errors of [Account.Received].
var (
	// ErrHeadTooLarge means that the head of a request exceeds its limit.
	ErrHeadTooLarge = errors.New("head of request is too large")
	// ErrNoRoom means that there is no room for the head of a request.
	ErrNoRoom = errors.New("no room for the head of a request")
	// ErrClosed means that the budget has closed the connection.
	ErrClosed = errors.New("connection was closed to make room")
)

const (
	// progressWindow is the time over which the progress of a connection is measured.
	progressWindow = 2 * time.Second
	// refusalTimeout limits the time to write a refusal to a client.
	refusalTimeout = time.Second
)

// Account is the account of one connection. Its methods are safe for concurrent use.
type Account struct {
	budget *Budget
	conn   Conn
	// The fields below are protected by the budget's lock.

	client *client
	// held is all that is charged to the account, headHeld the part of it for the head that is
	// being received, and requestHeld the part for the request in progress.
	held, headHeld, requestHeld int64
	phase                       Phase
	phaseAt                     time.Time
	head                        headScanner
	// windowMoved counts the bytes that the client has sent or taken since windowAt, and
	// previousMoved those in the window before. lastMoveAt is when it last did so.
	windowMoved, previousMoved int
	windowAt, lastMoveAt       time.Time
	// sendingSince is when a write that hasn't ended began, and readingSince when a read of a
	// Streaming request's body did. Both are zero if there is none.
	sendingSince, readingSince time.Time
	// readSinceIdle means that bytes were read since the last request. hasTurn means that the
	// request in progress has a turn.
	readSinceIdle, hasTurn bool
	// served means that the connection belongs to a client that is served.
	served bool
	// bodyDeadline is when the body of the request must have arrived, or zero.
	bodyDeadline time.Time
	// open means that the account is part of the budget. leaving means that it has to make room,
	// for the reason leavingFor: its connection is being closed or its request refused.
	open, leaving bool
	leavingFor    Reason
	idleElement   *list.Element
}

// enterIdle adds the account to the idle ones. The lock must be held.
func (a *Account) enterIdle() {
	if a.idleElement == nil && !a.leaving {
		a.idleElement = a.idleList().PushBack(a)
	}
}

// leaveIdle removes the account from the idle ones. The lock must be held.
func (a *Account) leaveIdle() {
	if a.idleElement != nil {
		a.idleList().Remove(a.idleElement)
		a.idleElement = nil
	}
}

// idleList returns the list in which the account is while it is idle. The lock must be held.
func (a *Account) idleList() *list.List {
	if a.served {
		return a.budget.established
	}
	return a.budget.idle
}

// setPhase begins a phase. The lock must be held.
func (a *Account) setPhase(p Phase, now time.Time) {
	if p == a.phase {
		return
	}
	a.phase, a.phaseAt = p, now
	if p == Idle {
		a.enterIdle()
		return
	}
	a.leaveIdle()
}

// isAhead reports whether the request in progress was sent before the response to the one
// before it. The lock must be held.
func (a *Account) isAhead() bool { return a.head.carriedReadAhead || !a.readSinceIdle }

// closing describes the account for a report. The lock must be held.
func (a *Account) closing(r Reason) Closing {
	return Closing{Reason: r, Phase: a.phase, Address: a.client.address, Held: a.held, Age: a.budget.clock.Since(a.phaseAt)}
}

// moved counts bytes that the client has sent or taken. The lock must be held.
func (a *Account) moved(n int, now time.Time) {
	if now.Sub(a.windowAt) >= progressWindow {
		a.previousMoved = 0
		if now.Sub(a.windowAt) < 2*progressWindow {
			a.previousMoved = a.windowMoved
		}
		a.windowMoved, a.windowAt = 0, now
	}
	a.windowMoved += n
	if n > 0 {
		a.lastMoveAt = now
	}
}

// recentBytes returns how many bytes the client has moved in the last one or two windows. The
// lock must be held.
func (a *Account) recentBytes(now time.Time) int {
	a.moved(0, now)
	return a.windowMoved + a.previousMoved
}

// Received charges bytes that were read from the connection. While a head is received, it
// returns an error if the head exceeds its limit or there is no room for it. The connection
// has then been answered with a refusal and must be closed.
func (a *Account) Received(p []byte) error {
	b := a.budget
	now := b.clock.Now()
	b.mu.Lock()
	if !a.open || a.leaving && a.phase <= ReceivingHead {
		b.mu.Unlock()
		return ErrClosed
	}
	a.moved(len(p), now)
	a.readSinceIdle = true
	if a.phase > ReceivingHead {
		a.head.note(p)
		b.mu.Unlock()
		return nil
	}
	a.setPhase(ReceivingHead, now)
	a.head.scan(p)
	actions, err := a.checkHead()
	b.mu.Unlock()
	b.carryOut(actions)
	if err != nil {
		a.refuseHead(err)
	}
	return err
}

// ReadAhead records bytes that the server has read during the request in progress, in order to notice if
// the client closes the connection.
func (a *Account) ReadAhead(p []byte) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.head.noteReadAhead(p)
}

// BeginBody sets the length of the body of a request whose head has been decoded, or -1 if the body is in
// chunks. It is not charged as a part of the next request then.
func (a *Account) BeginBody(length int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.head.beginBody(length)
}

// checkHead charges the head in progress, as far as it has been read. The lock must be held.
func (a *Account) checkHead() ([]action, error) {
	if limit := a.budget.limits.HeadBytes; limit > 0 && a.head.bytes > limit+headSlack {
		return []action{{closing: a.closing(HeadTooLarge)}}, ErrHeadTooLarge
	}
	cost := a.head.cost()
	actions, ok := a.budget.charge(a, cost-a.headHeld)
	if !ok {
		return append(actions, action{closing: a.closing(NoRoom)}), ErrNoRoom
	}
	a.headHeld = cost
	return actions, nil
}

// Sending records that a write to the connection begins.
func (a *Account) Sending() {
	now := a.budget.clock.Now()
	a.budget.mu.Lock()
	a.sendingSince = now
	a.budget.mu.Unlock()
}

// Sent records that a write to the connection has ended after n bytes.
func (a *Account) Sent(n int) {
	now := a.budget.clock.Now()
	a.budget.mu.Lock()
	a.sendingSince = time.Time{}
	a.moved(n, now)
	a.budget.mu.Unlock()
}

// Begin begins the handling of a request whose head has been decoded, with its number of
// fields and its size in bytes. Its body must have arrived by bodyDeadline. Begin returns false
// if there is no room for the request, which must then be refused.
func (a *Account) Begin(fields, bytes int, bodyDeadline time.Time) bool {
	b := a.budget
	now := b.clock.Now()
	b.mu.Lock()
	a.setPhase(ReceivingBody, now)
	a.bodyDeadline = bodyDeadline
	cost := headCost(fields, bytes)
	actions, ok := b.charge(a, cost-a.headHeld+requestBytes)
	if ok {
		a.headHeld = cost
		a.requestHeld += requestBytes
	} else {
		actions = append(actions, action{closing: a.closing(NoRoom)})
	}
	b.mu.Unlock()
	b.carryOut(actions)
	return ok
}

// LimitBody sets an earlier deadline for the arrival of the body of the request in progress.
func (a *Account) LimitBody(deadline time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.bodyDeadline.IsZero() || deadline.Before(a.bodyDeadline) {
		a.bodyDeadline = deadline
	}
}

// Reserve charges memory for the request in progress. It returns false if there is no room.
func (a *Account) Reserve(bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	actions, ok := b.charge(a, bytes)
	if ok {
		a.requestHeld += bytes
	}
	b.mu.Unlock()
	b.carryOut(actions)
	return ok
}

// Release gives back memory that Reserve has charged.
func (a *Account) Release(bytes int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.open || bytes > a.requestHeld {
		return
	}
	a.requestHeld -= bytes
	b.add(a, -bytes)
}

// Spare returns room for buffers that aren't needed, but of use. It is limited to spareShare
// of the budget, and nobody has to make room for it.
func (a *Account) Spare() Spare { return Spare{a} }

// Spare is the spare room of an account.
type Spare struct{ account *Account }

// Reserve charges memory for the request in progress. It returns false if there is no spare
// room.
func (s Spare) Reserve(bytes int64) bool {
	a, b := s.account, s.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.open || a.leaving || float64(b.all.held+bytes) > spareShare*float64(b.size) || !b.fits(a, bytes) {
		return false
	}
	b.add(a, bytes)
	a.requestHeld += bytes
	return true
}

// Release gives back memory that Reserve has charged.
func (s Spare) Release(bytes int64) { s.account.Release(bytes) }

// SetPhase begins a phase of the request in progress. It returns false, and the reason, if the
// request must be refused instead.
func (a *Account) SetPhase(p Phase) (Reason, bool) {
	b := a.budget
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if p == Responding {
		a.endTurn()
	}
	if !a.open || a.leaving && p != Responding {
		return a.leavingFor, false
	}
	a.setPhase(p, now)
	return 0, true
}

// MarkServed records that the request in progress is one of a client that is served. The
// connection is not idle then.
func (a *Account) MarkServed() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.idleElement == nil {
		a.served = true
	}
}

// Leaving returns whether the request in progress must be refused to make room, and why.
func (a *Account) Leaving() (Reason, bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.leavingFor, a.leaving || !a.open
}

// AwaitTurn waits until a request that was sent ahead may be handled; other requests needn't
// wait. The turn ends when the request is Responding or ends. AwaitTurn returns an error if ctx
// ends before.
func (a *Account) AwaitTurn(ctx context.Context) error {
	b := a.budget
	b.mu.Lock()
	ahead := a.isAhead()
	b.mu.Unlock()
	if !ahead {
		return nil
	}
	select {
	case b.turns <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	b.mu.Lock()
	a.hasTurn = true
	b.mu.Unlock()
	// The runtime would run those that wait for a turn one after the other, and nothing else
	// meanwhile.
	runtime.Gosched()
	return nil
}

// endTurn ends the turn of the account, if it has one. The lock must be held.
func (a *Account) endTurn() {
	if a.hasTurn {
		a.hasTurn = false
		<-a.budget.turns
	}
}

// SetState records a state of the server's connection. A request whose handler doesn't call
// Begin counts as Responding once its head has been read.
func (a *Account) SetState(state http.ConnState) {
	switch state {
	case http.StateActive:
		a.SetPhase(Responding)
	case http.StateIdle:
		a.End()
	case http.StateClosed, http.StateHijacked:
		a.Close()
	}
}

// End records that a request has ended and the connection waits for the next one. It gives
// back all memory that was charged for the request.
func (a *Account) End() {
	b := a.budget
	now := b.clock.Now()
	b.mu.Lock()
	a.endTurn()
	if !a.open {
		b.mu.Unlock()
		return
	}
	a.giveBackRequest()
	a.setPhase(Idle, now)
	a.bodyDeadline = time.Time{}
	a.readSinceIdle = false
	a.head.next()
	// Bytes that were read beyond the request are the start of the next head.
	actions, err := a.checkHead()
	b.mu.Unlock()
	b.carryOut(actions)
	if err != nil {
		_ = a.conn.Close()
	}
}

// giveBackRequest gives back what was charged for the request. The lock must be held.
func (a *Account) giveBackRequest() {
	a.budget.add(a, -a.headHeld-a.requestHeld)
	a.headHeld, a.requestHeld = 0, 0
}

// Close takes the account out of the budget. It doesn't close the connection.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.endTurn()
	a.budget.remove(a)
}

// Refusals of requests whose heads aren't read to the end. Nothing has run.
var (
	refusalTooLarge = refusal(http.StatusRequestHeaderFieldsTooLarge, coder.RequestMalformed, "")
	refusalNoRoom   = refusal(http.StatusServiceUnavailable, coder.NoRoom, "Retry-After: 1\r\n")
)

// refusal returns a response that ends the connection. fields are further fields of its head.
func refusal(status int, code coder.Code, fields string) []byte {
	body := fmt.Sprintf("%d %s\n", int(code), code)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), fields, len(body), body)
}

// refuseHead answers a client whose request isn't read to the end of its head.
func (a *Account) refuseHead(err error) {
	text := refusalNoRoom
	if errors.Is(err, ErrHeadTooLarge) {
		text = refusalTooLarge
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// A write error means that the client takes no answer.
	_, _ = a.conn.Write(text)
}
