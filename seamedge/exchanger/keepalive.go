package exchanger

import (
	"cmp"
	"context"
	"fmt"
	"hash/maphash"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// defaultMinKeptDialTime is the dial time from which on connections are kept open. Others
	// are opened anew in little time.
	defaultMinKeptDialTime = 20 * time.Millisecond
	// keptAfterRequest is how long a connection is kept open after its last request, and
	// maxKept the largest number of connections that are.
	keptAfterRequest = 2 * time.Minute
	maxKept          = 128
	// probeFraction is the part of a connection's largest idle time after which it is probed.
	// The rest is left for the probe to arrive.
	probeFraction = 0.7
)

// Probe is a request without effect, which an endpoint answers at once. It keeps an idle
// connection from being closed.
type Probe struct {
	Address string
	URI     string
	// IDHeader is the name of the response header with the ID of the endpoint, and ID is that
	// ID. Another response is not one to the probe.
	IDHeader string
	ID       string
	Deadline time.Time
}

// DueProbes returns the addresses to which an idle connection will soon have been idle for too
// long and should be kept: it took long to open, and carried a request not long ago. Only the
// connections that carried the latest requests are kept open, and one for each address.
func (x *Exchanger) DueProbes() []string { return x.pool.due(time.Now(), x.minKeptDialTime) }

// KeepAlive sends a probe on the most recently used idle connection to an address. Any response
// to it shows that the connection is open; without one, it is closed. KeepAlive does nothing if
// there is no connection.
func (x *Exchanger) KeepAlive(ctx context.Context, p Probe) error {
	call := Call{
		Address: p.Address, Method: http.MethodGet, URI: p.URI, Host: p.Address,
		RequestID: p.ID, IDHeader: p.IDHeader, Deadline: p.Deadline,
	}
	if err := validate(call); err != nil {
		return err
	}
	// Probes have no effect, so a connection may carry any number of them: each counts as a
	// request of its own.
	id := maphash.String(x.seed, "probe "+strconv.FormatUint(x.lastProbeID.Add(1), 10))
	c := x.pool.take(p.Address, poolRequest{id: id}, time.Now())
	if c == nil {
		return nil
	}
	c.requests = append(c.requests, id)
	result := x.transfer(ctx, c, call.withDefaults())
	if result.Close != nil {
		result.Close()
	}
	if result.Err != nil {
		return fmt.Errorf("probe: %w", result.Err)
	}
	return nil
}

// due returns the addresses of the connections to probe, which took at least minDialTime to open.
func (p *pool) due(now time.Time, minDialTime time.Duration) []string {
	type kept struct {
		address string
		conn    *conn
	}
	var list []kept
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		if len(conns) == 0 {
			continue
		}
		c := conns[len(conns)-1]
		if c.dialTime >= minDialTime && now.Sub(c.lastRequest) <= keptAfterRequest {
			list = append(list, kept{address, c})
		}
	}
	slices.SortFunc(list, func(x, y kept) int {
		return cmp.Or(y.conn.lastRequest.Compare(x.conn.lastRequest), cmp.Compare(x.address, y.address))
	})
	var due []string
	for _, k := range list[:min(len(list), maxKept)] {
		if now.Sub(k.conn.lastUsed) >= time.Duration(probeFraction*float64(k.conn.maxIdle)) {
			due = append(due, k.address)
		}
	}
	return due
}
