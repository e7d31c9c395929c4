// Package heartbeater carries heartbeats between instances as datagrams, and
// copies of what the store says to instances that can't reach it.
//
// Heartbeats are datagrams in MessagePack, since a call for each would cost
// more than all requests on a small instance. Who the sender is stands in whole
// heartbeats only; the others are known by the address they come from. Copies
// are connect calls.
//
// # Usage
//
//	h, err := heartbeater.Listen("10.0.0.1:7400", func(b conductor.Heartbeat) { ... })
//	go h.Run(ctx)
//	h.Send(beat, addresses)
package heartbeater

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"primroseseam.org/seam/conductor"
)

// maxDatagram is the size of the largest heartbeat in bytes.
const maxDatagram = 8 << 10

// Heartbeater sends and receives heartbeats.
type Heartbeater struct {
	socket  *net.UDPConn
	receive func(conductor.Heartbeat)
	report  func(error)
	senders senders
}

// Listen opens the socket at an address. Receive is called with each heartbeat,
// report with each datagram that is none.
func Listen(address string, receive func(conductor.Heartbeat), report func(error)) (*Heartbeater, error) {
	bound, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	socket, err := net.ListenUDP("udp4", bound)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	return &Heartbeater{socket: socket, receive: receive, report: report, senders: senders{}}, nil
}

// Address returns where heartbeats are received.
func (h *Heartbeater) Address() string { return h.socket.LocalAddr().String() }

// Run receives heartbeats until ctx ends.
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
		m, err := decode(buffer[:n])
		if err != nil {
			h.report(err)
			continue
		}
		if beat, ok := h.senders.complete(m, from); ok {
			h.receive(beat)
		}
	}
}

// Send sends a heartbeat to addresses and returns the bytes of all datagrams.
// Losing one does no harm.
func (h *Heartbeater) Send(beat conductor.Heartbeat, addresses []netip.AddrPort) (int, error) {
	data, err := encode(beat)
	if err != nil {
		return 0, err
	}
	var failed error
	for _, a := range addresses {
		if _, err := h.socket.WriteToUDPAddrPort(data, a); err != nil {
			failed = fmt.Errorf("send heartbeat to %s: %w", a, err)
		}
	}
	return len(data) * len(addresses), failed
}
