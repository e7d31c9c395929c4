// Package heartbeater sends heartbeats between instances, and copies of store objects
// to instances that lack them.
//
// Heartbeats are UDP datagrams in MessagePack, since an RPC for each would cost more
// than all requests on a small instance. To save bytes, only two kinds carry the
// sender's identity: full heartbeats, which list the demand of all teams, and those with
// copy states only, which announce a change between two regular heartbeats. The sender
// of any other heartbeat is identified by its source address. Copies are fetched by
// Connect RPCs.
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

	"primroseseam.org/seam/conductor"
)

// maxDatagram is the size in bytes of the largest heartbeat that can be received. Larger
// datagrams are cut off and can't be decoded.
const maxDatagram = 8 << 10

// Heartbeater sends and receives heartbeats.
type Heartbeater struct {
	socket  *net.UDPConn
	receive func(conductor.Heartbeat)
	report  func(error)
	senders senders
}

// Listen opens a UDP socket at an address. Run calls receive with each heartbeat, and
// report with the error for each datagram that can't be received or decoded.
func Listen(address string, receive func(conductor.Heartbeat), report func(error)) (*Heartbeater, error) {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	socket, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		return nil, fmt.Errorf("heartbeats: %w", err)
	}
	return &Heartbeater{socket: socket, receive: receive, report: report, senders: senders{}}, nil
}

// Address returns the local address of the socket.
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
		if hb, ok := h.senders.toHeartbeat(m, from); ok {
			h.receive(hb)
		}
	}
}

// Send sends a heartbeat to addresses. It returns the total size of the datagrams, and
// the last error if any could not be sent. A lost heartbeat does no harm, so none is
// sent again.
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
