package heartbeater

import "time"

// delayWindow is the time over which the shortest way of a sender's heartbeats is kept. The clocks
// of two machines drift apart by a few milliseconds in it.
const delayWindow = time.Minute

// settleTime is how long a sender must be known until the shortest way is. Heartbeats that lay in
// the socket together are received at once, and all of them are late.
const settleTime = time.Second

// lifetime identifies a lifetime of an instance.
type lifetime struct {
	id          string
	startedAtMs int64
}

// offsets holds the least difference between the receiver's clock, when a heartbeat arrived, and
// the sender's, when it was made: in the current window and in the one before it. firstAt is when
// the first one arrived.
type offsets struct {
	current, previous time.Duration
	windowStart       time.Duration
	firstAt           time.Duration
}

// delays estimates how much longer than usual each heartbeat was on its way: in the sender's
// queue, on the network, or in the socket of a receiver that stood still. The clocks of two
// machines show different times, so it compares the difference between them with the least one
// of the sender's latest heartbeats. It takes clocks that count suspends and are never set.
type delays map[lifetime]*offsets

// of records a heartbeat of a sender that was made at a time by the sender's clock, and received
// now by the receiver's. It returns by how much its way was longer than the shortest one, and
// whether the shortest one is known.
func (d delays) of(sender lifetime, made, now time.Duration) (delay time.Duration, known bool) {
	offset := now - made
	o, known := d[sender]
	if !known {
		if len(d) >= maxSenders {
			clear(d)
		}
		d[sender] = &offsets{current: offset, previous: offset, windowStart: now, firstAt: now}
		return 0, false
	}
	if now-o.windowStart >= delayWindow {
		o.previous, o.current, o.windowStart = o.current, offset, now
	}
	o.current = min(o.current, offset)
	return offset - min(o.current, o.previous), now-o.firstAt >= settleTime
}
