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
	// inboxSize is the number of messages that can be queued for the loop. If the
	// queue is full, senders block.
	inboxSize = 4096
	// tickInterval is the time between two ticks of the model.
	tickInterval = 50 * time.Millisecond
	// maxCommandsPerRequest is the number of commands for one request that can be
	// queued until its exchange executes them. If the queue is full, the loop blocks.
	maxCommandsPerRequest = 8
)

// loop is the decision loop. It owns the model that routes requests. A single goroutine
// passes messages to the model, delivers the resulting commands to the waiting requests
// and, in the case of the ledger's commands, calls ledger.
type loop struct {
	model  *decider.Model
	clock  clockwork.Clock
	log    decisionLog
	meters *meters
	inbox  chan queuedMessage
	done   chan struct{}
	// replies holds the channels for the commands of the waiting requests, by request
	// id.
	replies map[uint64]chan decider.Cmd
	loads   atomic.Pointer[[]decider.ServiceLoad]
	// decisionHistory keeps the newest decisions, so that operators can query them.
	decisionHistory *decisionHistory
	// endpointLoads holds the loads of the endpoints that heartbeats report to peers,
	// as of the last tick.
	endpointLoads atomic.Pointer[[]decider.EndpointLoad]
	// seats is the number of seats that this instance holds, as of the last tick. A
	// seat is a failure domain's share of the fleet-wide limits.
	seats atomic.Int64
	// ledger executes a command of the ledger, which divides the fleet-wide limits.
	// It must not block.
	ledger func(allocator.Cmd)
}

// queuedMessage is a message for the loop. For a new request, reply is the channel on
// which the loop delivers the request's commands. A nil msg ends the delivery of commands
// for the request id.
type queuedMessage struct {
	msg   decider.Msg
	id    uint64
	reply chan decider.Cmd
	// onHandled, if not nil, is called on the loop's goroutine after the loop has
	// handled the message.
	onHandled func()
}

func newLoop(m *decider.Model, c clockwork.Clock, log decisionLog, meters *meters) *loop {
	return &loop{
		model:   m,
		clock:   c,
		log:     log,
		meters:  meters,
		inbox:   make(chan queuedMessage, inboxSize),
		done:    make(chan struct{}),
		replies: map[uint64]chan decider.Cmd{},

		decisionHistory: newDecisionHistory(),
	}
}

// send queues a message for the loop.
func (l *loop) send(msg decider.Msg) { l.post(queuedMessage{msg: msg}) }

// sendThen queues a message. After the loop has handled the message, it calls onHandled.
func (l *loop) sendThen(msg decider.Msg, onHandled func()) {
	l.post(queuedMessage{msg: msg, onHandled: onHandled})
}

// request queues a new request and returns the channel on which the loop delivers the
// request's commands.
func (l *loop) request(id uint64, msg decider.Msg) <-chan decider.Cmd {
	reply := make(chan decider.Cmd, maxCommandsPerRequest)
	l.post(queuedMessage{msg: msg, id: id, reply: reply})
	return reply
}

// endDelivery ends the delivery of commands for a request.
func (l *loop) endDelivery(id uint64) { l.post(queuedMessage{id: id}) }

// post queues a message. It drops the message if the loop has ended.
func (l *loop) post(e queuedMessage) {
	select {
	case l.inbox <- e:
	case <-l.done:
	}
}

// run handles messages until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := l.clock.NewTicker(tickInterval)
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
			endpointLoads := l.model.Loads(l.clock.Now())
			l.endpointLoads.Store(&endpointLoads)
		case e := <-l.inbox:
			l.handle(e)
		}
	}
}

// handle handles a queued message. If it ends the delivery of commands for a request,
// handle removes the request's channel. Otherwise handle registers the channel, if there
// is one, and passes the message to the model.
func (l *loop) handle(e queuedMessage) {
	if e.msg == nil {
		delete(l.replies, e.id)
		return
	}
	if e.reply != nil {
		l.replies[e.id] = e.reply
	}
	l.update(e.msg)
	if e.onHandled != nil {
		e.onHandled()
	}
}

// update passes a message to the model and executes the resulting commands.
func (l *loop) update(msg decider.Msg) {
	for _, cmd := range l.model.Update(l.clock.Now(), msg) {
		l.execute(cmd)
	}
}

// execute executes a command of the model. If the command is for a request, it delivers
// the command to the request's channel. It also records and logs the decisions to
// forward, pass or refuse a request, and counts those to forward or refuse one.
func (l *loop) execute(cmd decider.Cmd) {
	switch c := cmd.(type) {
	case decider.Forward:
		l.deliver(c.ID, c)
		l.decisionHistory.add(l.clock.Now(), c)
		l.meters.countForward(c)
		l.log.logForward(c)
	case decider.Refuse:
		l.deliver(c.ID, c)
		delete(l.replies, c.ID)
		l.decisionHistory.add(l.clock.Now(), c)
		l.meters.countRefusal(c.Code)
		l.log.logRefusal(c)
	case decider.Pass:
		l.deliver(c.ID, c)
		l.decisionHistory.add(l.clock.Now(), c)
		l.log.logPass(c)
	case decider.Cancel:
		l.deliver(c.ID, c)
	case decider.LedgerCommand:
		l.ledger(c.Command)
	}
}

// deliver sends a command to the channel of the request id, if the request still waits
// for commands.
func (l *loop) deliver(id uint64, cmd decider.Cmd) {
	if reply, ok := l.replies[id]; ok {
		reply <- cmd
	}
}
