// Package heartbeater implements the protocols between instances of the edge daemon,
// seamedge: heartbeats, and an RPC that fetches changes of store objects from another
// instance.
//
// Heartbeats are UDP datagrams in MessagePack. On a small instance, an RPC for each
// heartbeat would cost more than serving all requests of callers. To save bytes, only two
// kinds of heartbeats carry the sender's identity:
//
//   - full heartbeats, which list the demand of all teams (FullDemand);
//   - heartbeats that hold only the positions of the sender's copies of store objects
//     (CopyStatesOnly). They are sent when a copy changes, without waiting for the next
//     periodic heartbeat.
//
// For all other heartbeats, the receiver looks up the sender by the source address of the
// datagram. The RPC uses the Connect protocol.
//
// # Usage
//
//	h, err := heartbeater.Listen("10.0.0.1:7400", func(hb conductor.Heartbeat) { ... }, report)
//	go h.Run(ctx)
//	h.Send(heartbeat, addresses)
package heartbeater

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/timekeeper"
)

// maxDatagram is the size in bytes of the largest datagram that can be received. A larger one
// is truncated and can't be decoded. Larger heartbeats are sent in parts.
const maxDatagram = 8 << 10

// Heartbeater sends and receives heartbeats on a UDP socket.
type Heartbeater struct {
	socket  *net.UDPConn
	receive func(conductor.Heartbeat)
	report  func(error)
	clock   Clock
	senders senders
	delays  delays
}

// Clock returns the time since some moment. It counts suspends and is never set; see package
// timekeeper.
type Clock interface{ Elapsed() time.Duration }

// Option configures a Heartbeater in Listen.
type Option func(*Heartbeater)

// WithClock sets the clock by which the delays of heartbeats are measured.
func WithClock(c Clock) Option { return func(h *Heartbeater) { h.clock = c } }

// Listen opens a UDP socket at address and returns a Heartbeater for it. [Heartbeater.Run]
// then calls receive with each heartbeat whose sender is known. It calls report with each
// error in receiving or decoding a datagram.
func Listen(address string, receive func(conductor.Heartbeat), report func(error), opts ...Option) (*Heartbeater, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	socket, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	h := &Heartbeater{socket: socket, receive: receive, report: report, clock: timekeeper.New(), senders: senders{}, delays: delays{}}
	for _, opt := range opts {
		opt(h)
	}
	return h, nil
}

// Address returns the local address of the socket.
func (h *Heartbeater) Address() string { return h.socket.LocalAddr().String() }

// Run receives heartbeats until ctx ends, and then closes the socket.
func (h *Heartbeater) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = h.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				h.report(fmt.Errorf("receive heartbeat: %w", err))
			}
			continue
		}
		m, x, err := decode(buffer[:n])
		if err != nil {
			h.report(err)
			continue
		}
		if hb, ok := h.senders.toHeartbeat(m, x, from); ok {
			if hb.MadeAt > 0 {
				hb.Delay, hb.DelayKnown = h.delays.of(lifetime{hb.ID, hb.StartedAtMs}, hb.MadeAt, h.clock.Elapsed())
			}
			h.receive(hb)
		}
	}
}

// Sent is what [Heartbeater.Send] has sent: the total size of all datagrams in bytes, and in how many parts
// each address got the heartbeat. The parts have the sequence number of the heartbeat and those after it.
type Sent struct{ Bytes, Parts int }

// Send sends a heartbeat to each of the addresses. If sending to an address fails, Send goes on with the
// others and returns the last error. A heartbeat isn't sent again, since a lost one does no harm. One that
// is too large even in parts isn't sent; the error is [ErrTooLarge] then.
func (h *Heartbeater) Send(hb conductor.Heartbeat, addresses []netip.AddrPort) (Sent, error) {
	parts, err := encodeParts(hb)
	if err != nil {
		return Sent{}, err
	}
	sent := Sent{Parts: len(parts)}
	var lastErr error
	for _, data := range parts {
		for _, a := range addresses {
			if _, err := h.socket.WriteToUDPAddrPort(data, a); err != nil {
				lastErr = fmt.Errorf("send heartbeat to %s: %w", a, err)
			}
		}
		sent.Bytes += len(data) * len(addresses)
	}
	return sent, lastErr
}
