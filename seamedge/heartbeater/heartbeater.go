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

// maxDatagram is the size in bytes of the largest heartbeat that can be received. A larger
// datagram is truncated and can't be decoded.
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

// Send sends a heartbeat to each of the addresses. It returns the total size of the
// datagrams in bytes. If sending to an address fails, Send goes on with the others and
// returns the last error. A heartbeat isn't sent again, since a lost one does no harm.
func (h *Heartbeater) Send(hb conductor.Heartbeat, addresses []netip.AddrPort) (int, error) {
	data, err := encode(hb)
	if err != nil {
		return 0, err
	}
	var lastErr error
	for _, a := range addresses {
		if _, err := h.socket.WriteToUDPAddrPort(data, a); err != nil {
			lastErr = fmt.Errorf("send heartbeat to %s: %w", a, err)
		}
	}
	return len(data) * len(addresses), lastErr
}
