package limiter

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

const (
	// minEvictionAge is how long a connection must have been in its phase before it makes
	// room, if others can: ordinary requests pass through their phases in less time.
	minEvictionAge = 250 * time.Millisecond
	// minIdleAge is how long a connection on which nothing has been served must have been idle
	// to make room before connections that carry requests.
	minIdleAge = time.Second
	// timeoutMargin is added to the limit on the time for a head, for the delays of the
	// network and of this process.
	timeoutMargin = time.Second
)

// action is what remains to be done without the lock: the closing is reported. If conn is set,
// it is closed or, with refuse, no longer read, so that its request is refused.
type action struct {
	closing Closing
	conn    Conn
	refuse  bool
}

// carryOut carries out actions. It is called without the lock.
func (b *Budget) carryOut(actions []action) {
	for _, a := range actions {
		switch {
		case a.conn == nil:
		case a.refuse:
			_ = a.conn.SetReadDeadline(time.Unix(1, 0))
		default:
			_ = a.conn.Close()
		}
		b.report(a.closing)
	}
}

// makeRoom makes accounts other than the given one leave if more than highWater of the budget
// or of the connections is in use, or would be with more bytes and connections. Those that
// already leave count as gone. If only the large accounts hold too much, only these leave.
func (b *Budget) makeRoom(other *Account, bytes int64, conns int) []action {
	short := func() bool { return b.all.isShort(b.size, bytes) || b.isShortOfConnections(conns) }
	largeShort := func() bool { return b.large.isShort(int64(largeShare*float64(b.size)), bytes) }
	if !short() && !largeShort() {
		return nil
	}
	now := b.clock.Now()
	actions := b.closeIdle(b.idle, NoRoom, func(a *Account) bool {
		return a != other && short() && now.Sub(a.phaseAt) >= minIdleAge
	})
	actions = append(actions, b.closeIdle(b.established, NoRoom, func(a *Account) bool {
		return a != other && short() && b.establishedExceedShare()
	})...)
	if !short() && !largeShort() {
		return actions
	}
	for _, a := range b.evictable(other) {
		if short() || largeShort() && a.held > largeAccount {
			actions = append(actions, b.evict(a, NoRoom))
		}
	}
	return append(actions, b.closeIdle(b.established, NoRoom, func(a *Account) bool { return a != other && short() })...)
}

// establishedExceedShare reports whether idle connections of clients that are served take more than establishedShare of the budget or of the connections.
func (b *Budget) establishedExceedShare() bool {
	n := float64(b.established.Len())
	return n*connectionBytes > establishedShare*float64(b.size) || b.maxConns > 0 && n > establishedShare*float64(b.maxConns)
}

// isShortOfConnections reports whether connections have to make room for more connections.
func (b *Budget) isShortOfConnections(more int) bool {
	return b.maxConns > 0 && float64(b.all.conns-b.all.leavingConns+more) > highWater*float64(b.maxConns)
}

// isShort reports whether more than highWater of a size would be in use with more bytes.
func (t totals) isShort(size, bytes int64) bool {
	return float64(t.held-t.leavingHeld+bytes) > highWater*float64(size)
}

// closeIdle closes the idle connections of a list, the longest idle first, as long as more
// returns true for the next one. Connections with unread bytes stay open, since the bytes may
// be a request.
func (b *Budget) closeIdle(idle *list.List, r Reason, more func(*Account) bool) []action {
	var actions []action
	for e := idle.Front(); e != nil; {
		a := e.Value.(*Account)
		e = e.Next()
		if !more(a) {
			break
		}
		if a.conn.Readable() {
			continue
		}
		actions = append(actions, b.evict(a, r))
	}
	return actions
}

// evictable returns the accounts that can make room for another one, in that order, but for
// idle ones of clients that are served. New connections whose first request hasn't been read
// can.
func (b *Budget) evictable(other *Account) []*Account {
	now := b.clock.Now()
	type candidate struct {
		account                  *Account
		served, overShare, young bool
		recentBytes              int
	}
	var list []candidate
	for a := range b.accounts {
		if a == other || a.leaving || a.phase == Idle && a.served || a.phase == AtEndpoint || a.phase == Streaming {
			continue
		}
		list = append(list, candidate{a, a.served, b.overShare(a.client), now.Sub(a.phaseAt) < minEvictionAge, a.recentBytes(now)})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(
			compareBool(y.overShare, x.overShare), compareBool(x.served, y.served), compareBool(x.young, y.young),
			cmp.Compare(x.recentBytes, y.recentBytes), x.account.phaseAt.Compare(y.account.phaseAt),
		)
	})
	accounts := make([]*Account, len(list))
	for i, c := range list {
		accounts[i] = c.account
	}
	return accounts
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// overShare reports whether a client address holds more than addressShare of the budget or of
// the connections.
func (b *Budget) overShare(c *client) bool {
	return float64(c.held) > addressShare*float64(b.size) || b.maxConns > 0 && float64(c.conns) > addressShare*float64(b.maxConns)
}

// evict makes an account leave. If its body is being received and there are enough connections,
// its request is refused; otherwise its connection is closed.
func (b *Budget) evict(a *Account, r Reason) action {
	act := action{closing: a.closing(r), conn: a.conn}
	act.refuse = (a.phase == ReceivingBody || a.phase == Streaming) && !b.isShortOfConnections(0)
	b.count(a, -1)
	a.leaving, a.leavingFor = true, r
	b.count(a, 1)
	a.leaveIdle()
	return act
}

// Sweep closes the connections that exceed a time limit. It must be called periodically.
func (b *Budget) Sweep() {
	now := b.clock.Now()
	b.mu.Lock()
	var actions []action
	if limit := b.limits.Idle; limit > 0 {
		expired := func(a *Account) bool { return now.Sub(a.phaseAt) > limit }
		actions = append(b.closeIdle(b.idle, IdleTimeout, expired), b.closeIdle(b.established, IdleTimeout, expired)...)
	}
	for a := range b.accounts {
		if r, exceeded := b.exceeds(a, now); exceeded {
			actions = append(actions, b.evict(a, r))
		}
	}
	b.mu.Unlock()
	b.carryOut(actions)
}

// exceeds reports whether an account exceeds a time limit other than that on idle connections,
// and which.
func (b *Budget) exceeds(a *Account, now time.Time) (Reason, bool) {
	if a.leaving {
		return 0, false
	}
	since := func(limit time.Duration, at time.Time) bool { return limit > 0 && now.Sub(at) > limit }
	switch a.phase {
	case ReceivingHead:
		return HeadTimeout, b.limits.HeadTimeout > 0 && since(b.limits.HeadTimeout+timeoutMargin, a.phaseAt)
	case ReceivingBody:
		return b.exceedsBody(a, now, a.phaseAt)
	case Streaming:
		if a.readingSince.IsZero() {
			return 0, false
		}
		return b.exceedsBody(a, now, a.readingSince)
	case Responding:
		return Stalled, !a.sendingSince.IsZero() && since(b.limits.Stall, a.sendingSince)
	}
	return 0, false
}

// exceedsBody reports whether an account that has waited for the client's body since the given
// time exceeds a limit on it, and which.
func (b *Budget) exceedsBody(a *Account, now, waitingSince time.Time) (Reason, bool) {
	if !a.bodyDeadline.IsZero() && now.After(a.bodyDeadline) {
		return BodyTimeout, true
	}
	return Stalled, b.limits.Stall > 0 && now.Sub(later(waitingSince, a.lastMoveAt)) > b.limits.Stall
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}
