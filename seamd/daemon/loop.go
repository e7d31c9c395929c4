package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/decider"
)

const (
	// inboxSize is the number of messages that may wait for the loop.
	inboxSize = 4096
	// tickEvery is the time between two ticks.
	tickEvery = 50 * time.Millisecond
	// repliesPerRequest is the greatest number of commands for one request.
	repliesPerRequest = 8
)

// loop owns the model: messages go in, commands go to whoever waits for them.
type loop struct {
	model   *decider.Model
	clock   clockwork.Clock
	log     decisionLog
	meters  *meters
	inbox   chan envelope
	done    chan struct{}
	replies map[uint64]chan decider.Cmd
	loads   atomic.Pointer[[]decider.ServiceLoad]
	// decisions are kept for operators who ask why.
	decisions *decisions
	// endpoints is what peers should know of endpoints, as of the last tick.
	endpoints atomic.Pointer[[]decider.EndpointLoad]
	// seats is the number of seats held, as of the last tick.
	seats atomic.Int64
	// ledger carries out the commands of the fleet-wide ledger.
	ledger func(allocator.Cmd)
}

// envelope is a message and, for a new request, where its commands go.
type envelope struct {
	msg   decider.Msg
	id    uint64
	reply chan decider.Cmd
	// after runs once the message has been handled.
	after func()
}

func newLoop(m *decider.Model, c clockwork.Clock, log decisionLog, meters *meters) *loop {
	return &loop{
		model:   m,
		clock:   c,
		log:     log,
		meters:  meters,
		inbox:   make(chan envelope, inboxSize),
		done:    make(chan struct{}),
		replies: map[uint64]chan decider.Cmd{},

		decisions: newDecisions(),
	}
}

// send gives the loop a message.
func (l *loop) send(msg decider.Msg) { l.post(envelope{msg: msg}) }

// sendThen gives the loop a message and runs after once it has been handled.
func (l *loop) sendThen(msg decider.Msg, after func()) { l.post(envelope{msg: msg, after: after}) }

// request gives the loop a new request and returns where its commands arrive.
func (l *loop) request(id uint64, msg decider.Msg) <-chan decider.Cmd {
	reply := make(chan decider.Cmd, repliesPerRequest)
	l.post(envelope{msg: msg, id: id, reply: reply})
	return reply
}

// forget says that no more commands are awaited for a request.
func (l *loop) forget(id uint64) { l.post(envelope{id: id}) }

func (l *loop) post(e envelope) {
	select {
	case l.inbox <- e:
	case <-l.done:
	}
}

// run handles messages until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := l.clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			l.update(decider.Ticked{})
			l.seats.Store(int64(l.model.Seats()))
			loads := l.model.ServiceLoads(l.clock.Now())
			l.loads.Store(&loads)
			endpoints := l.model.Loads(l.clock.Now())
			l.endpoints.Store(&endpoints)
		case e := <-l.inbox:
			l.handle(e)
		}
	}
}

func (l *loop) handle(e envelope) {
	if e.msg == nil {
		delete(l.replies, e.id)
		return
	}
	if e.reply != nil {
		l.replies[e.id] = e.reply
	}
	l.update(e.msg)
	if e.after != nil {
		e.after()
	}
}

func (l *loop) update(msg decider.Msg) {
	for _, cmd := range l.model.Update(l.clock.Now(), msg) {
		l.carryOut(cmd)
	}
}

func (l *loop) carryOut(cmd decider.Cmd) {
	switch c := cmd.(type) {
	case decider.Forward:
		l.deliver(c.ID, c)
		l.decisions.add(l.clock.Now(), c)
		l.meters.forwarded(c)
		l.log.forwarded(c)
	case decider.Refuse:
		l.deliver(c.ID, c)
		delete(l.replies, c.ID)
		l.decisions.add(l.clock.Now(), c)
		l.meters.refused(c.Code)
		l.log.refused(c)
	case decider.Pass:
		l.deliver(c.ID, c)
		l.decisions.add(l.clock.Now(), c)
		l.log.passed(c)
	case decider.Cancel:
		l.deliver(c.ID, c)
	case decider.LedgerCommand:
		l.ledger(c.Command)
	}
}

func (l *loop) deliver(id uint64, cmd decider.Cmd) {
	if reply, ok := l.replies[id]; ok {
		reply <- cmd
	}
}
