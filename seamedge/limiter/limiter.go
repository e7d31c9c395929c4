// Package limiter bounds what the clients of a listener can make an instance of the edge
// daemon, seamedge, hold: memory and open connections. Clients may misbehave: they send
// bodies that never end, heads of very many fields, requests ahead without reading the
// responses, or very slowly, on many connections at once.
//
// A [Budget] is the room of one listener, so that a crowd at one listener takes nothing from
// another one. Each connection has an [Account]. All that is held for a client is charged to
// it before it is held: the connection itself, the head of a request while it is read (by its
// bytes and its fields, since a decoded field takes more memory than its bytes), the buffered
// parts of bodies, and the handling of the request.
//
// When room gets short, connections have to make room in this order:
//
//   - those that are idle, the longest idle first; but connections of clients that are
//     served keep up to half of the room;
//   - those that receive a request or take a response: first the ones of a client address
//     that holds more than half of the budget, among these the ones that moved the fewest
//     bytes lately, and then those that have taken the longest;
//   - the other idle ones;
//   - none whose request is with an endpoint.
//
// What they hold counts until it is really given back. A new connection or request for which
// there is no room is refused. Sweep closes connections that exceed a time limit, however much
// room there is.
//
// Requests that a client has sent ahead on a connection wait for one of a few turns, in the
// order in which they are reached, so that they hold up no other connection.
//
// # Usage
//
//	b := limiter.New(12<<20, limiter.WithReport(report))
//	a, ok := b.Open(conn) // for each new connection
//	defer a.Close()
//	err := a.Received(p) // after each read
//	err = a.AwaitTurn(ctx)
//	ok = a.Begin(fields, bytes, bodyDeadline)
//	ok = a.Reserve(4096)
//	body = a.Body(body)
//	reason, ok := a.SetPhase(limiter.AtEndpoint)
//	a.End()
package limiter

import (
	"container/list"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// connectionBytes is the memory of an open connection: its buffers, its goroutine and its
	// state. requestBytes is what a request in progress takes beyond that, apart from its
	// head and bodies.
	connectionBytes = 16 << 10
	requestBytes    = 16 << 10
	// A head costs headByteCost for each of its bytes and fieldBytes for each of its fields.
	// A decoded field takes entries of maps and slices, and strings of their own. Fields are
	// decoded once, and copied once for the request to the endpoint.
	headByteCost = 2
	fieldBytes   = 200
	// Connections have to make room when more than highWater of the budget or of the
	// connections is in use, so that new ones normally find room.
	highWater = 14.0 / 16
	// largeShare is the part of the budget that accounts with more than largeAccount bytes
	// may hold together. The rest stays free for ordinary requests.
	largeShare   = 0.75
	largeAccount = 64 << 10
	// spareShare is the part of the budget up to which buffers are charged that aren't needed.
	spareShare = 0.5
	// establishedShare is the part of the budget, or of the connections, that idle connections
	// of clients that are served keep while there are others to make room.
	establishedShare = 0.5
	// addressShare is the part of the budget or of the connections from which on the connections
	// of a client address make room before others do. Beyond it, the client finds room only up
	// to addressLimit, so that others find the rest.
	addressShare = 0.5
	addressLimit = 15.0 / 16
	// aheadTurns is the number of requests that were sent ahead and are handled at the same
	// time, over all connections of a listener.
	aheadTurns = 16
)

// Limits are limits on clients that come from the configuration. A value of 0 means that there
// is no limit.
type Limits struct {
	// HeadBytes is the largest size of a head. A head that exceeds it by headSlack or more is
	// refused while it is read.
	HeadBytes int
	// HeadTimeout limits the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// Stall limits the time in which a client that is to send a body or take a response moves no
	// bytes. It doesn't apply while the connection waits for an endpoint.
	Stall time.Duration
	// Idle limits the time in which a connection carries no request.
	Idle time.Duration
}

// Conn is a connection to a client, as far as a Budget uses it.
type Conn interface {
	RemoteAddr() net.Addr
	Write(p []byte) (int, error)
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
	// Readable reports whether a read would return at once.
	Readable() bool
}

// Closing describes a connection that was closed, or a request that was refused, by a budget.
type Closing struct {
	Reason  Reason
	Phase   Phase
	Address netip.Addr
	// Held is the memory that was charged to the connection, in bytes. Age is the time in
	// which the connection was in its phase.
	Held int64
	Age  time.Duration
}

// Budget is the room for what the clients of one listener make an instance hold. It is safe
// for concurrent use.
type Budget struct {
	clock  clockwork.Clock
	report func(Closing)
	size   int64
	// turns holds a value for each request sent ahead that is being handled.
	turns chan struct{}

	mu       sync.Mutex
	limits   Limits
	maxConns int
	// all and large hold totals over all accounts, and over those with more than largeAccount
	// bytes.
	all, large totals
	accounts   map[*Account]struct{}
	clients    map[netip.Addr]*client
	// idle and established hold the idle accounts, the one that has been idle the longest
	// first. established holds those of clients that are served.
	idle, established *list.List
}

// totals are what a group of accounts holds: connections and memory in bytes. The leaving ones
// are the part of it that belongs to accounts that have to make room.
type totals struct {
	conns, leavingConns int
	held, leavingHeld   int64
}

// add adds an account to the totals n times; n is 1 or -1.
func (t *totals) add(a *Account, n int) {
	t.conns += n
	t.held += int64(n) * a.held
	if a.leaving {
		t.leavingConns += n
		t.leavingHeld += int64(n) * a.held
	}
}

// client is what all connections of a client address hold together.
type client struct {
	address netip.Addr
	held    int64
	conns   int
}

// Option configures a Budget in New.
type Option func(*Budget)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(b *Budget) { b.clock = c } }

// WithReport sets a function that is called for each connection that the budget closes and
// each request that it refuses. The function must not call methods of the budget.
func WithReport(report func(Closing)) Option { return func(b *Budget) { b.report = report } }

// WithMaxConnections sets the largest number of open connections; 0 means no limit.
func WithMaxConnections(n int) Option { return func(b *Budget) { b.maxConns = n } }

// New returns a budget of the given size in bytes.
func New(size int64, opts ...Option) *Budget {
	b := &Budget{
		clock: clockwork.NewRealClock(), report: func(Closing) {}, size: size, turns: make(chan struct{}, aheadTurns),
		accounts: map[*Account]struct{}{}, clients: map[netip.Addr]*client{}, idle: list.New(), established: list.New(),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetLimits replaces the limits from the configuration.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// SetMaxConnections sets the largest number of open connections; 0 means no limit.
func (b *Budget) SetMaxConnections(n int) {
	b.mu.Lock()
	b.maxConns = n
	actions := b.makeRoom(nil, 0, 0)
	b.mu.Unlock()
	b.carryOut(actions)
}

// CloseOldestIdle closes a connection that has been idle for long, if there is one.
func (b *Budget) CloseOldestIdle() {
	b.mu.Lock()
	left := 1
	one := func(*Account) bool {
		left--
		return left >= 0
	}
	actions := b.closeIdle(b.idle, NoConnection, one)
	if len(actions) == 0 {
		left = 1
		actions = b.closeIdle(b.established, NoConnection, one)
	}
	b.mu.Unlock()
	b.carryOut(actions)
}

// Usage holds the state of a budget for metrics.
type Usage struct {
	// Open and Idle count connections, and Addresses the client addresses that have one.
	Open, Idle, Addresses int
	// Held and Size are in bytes.
	Held, Size int64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Open: b.all.conns, Idle: b.idle.Len() + b.established.Len(), Addresses: len(b.clients), Held: b.all.held, Size: b.size}
}

// Open returns the account of a new connection. It returns false if there is no room for the
// connection, which must then be closed.
func (b *Budget) Open(conn Conn) (*Account, bool) {
	now := b.clock.Now()
	a := &Account{budget: b, conn: conn, phaseAt: now, windowAt: now, lastMoveAt: now}
	b.mu.Lock()
	actions, ok := b.open(a, addressOf(conn))
	b.mu.Unlock()
	b.carryOut(actions)
	return a, ok
}

// open adds an account if there is room.
func (b *Budget) open(a *Account, address netip.Addr) ([]action, bool) {
	c, ok := b.clients[address]
	if !ok {
		c = &client{address: address}
	}
	a.client = c
	if reason, ok := b.admits(a); !ok {
		return append(b.makeRoom(nil, connectionBytes, 1), action{closing: a.closing(reason)}), false
	}
	b.clients[address] = c
	c.conns++
	a.held = connectionBytes
	a.open = true
	b.accounts[a] = struct{}{}
	b.count(a, 1)
	a.enterIdle()
	return b.makeRoom(a, 0, 0), true
}

// admits reports whether there is room for a new connection, or why there isn't.
func (b *Budget) admits(a *Account) (Reason, bool) {
	most := float64(b.maxConns)
	if b.overShare(a.client) {
		most *= addressLimit
	}
	if b.maxConns > 0 && float64(b.all.conns+1) > most {
		return NoConnection, false
	}
	return NoRoom, b.fits(a, connectionBytes)
}

// charge charges bytes to an account if there is room.
func (b *Budget) charge(a *Account, bytes int64) ([]action, bool) {
	if !a.open || a.leaving {
		return nil, false
	}
	if !b.fits(a, bytes) {
		return b.makeRoom(a, bytes, 0), false
	}
	b.add(a, bytes)
	return b.makeRoom(a, 0, 0), true
}

// fits reports whether there is room for an account to hold more bytes. Large accounts may use
// only largeShare of the budget, and clients that hold more than their share only
// addressLimit.
func (b *Budget) fits(a *Account, bytes int64) bool {
	size := float64(b.size)
	if b.overShare(a.client) {
		size *= addressLimit
	}
	if float64(b.all.held+bytes) > size {
		return false
	}
	if a.held+bytes <= largeAccount {
		return true
	}
	large := b.large.held + bytes
	if a.held <= largeAccount {
		large += a.held
	}
	return float64(large) <= largeShare*float64(b.size)
}

// count adds an account to the totals n times; n is 1 or -1.
func (b *Budget) count(a *Account, n int) {
	b.all.add(a, n)
	if a.held > largeAccount {
		b.large.add(a, n)
	}
	a.client.held += int64(n) * a.held
}

// add changes the bytes charged to an account. bytes may be negative.
func (b *Budget) add(a *Account, bytes int64) {
	b.count(a, -1)
	a.held += bytes
	b.count(a, 1)
}

// remove takes an account out of the budget, with all that is charged to it.
func (b *Budget) remove(a *Account) {
	if !a.open {
		return
	}
	b.count(a, -1)
	a.open = false
	a.leaveIdle()
	delete(b.accounts, a)
	a.client.conns--
	if a.client.conns == 0 {
		delete(b.clients, a.client.address)
	}
}

// addressOf returns the client address of a connection, or the zero address if it is unknown.
func addressOf(conn Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}
