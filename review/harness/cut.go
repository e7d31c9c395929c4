package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["cut"] = machinesCut }

// tcpLink is the path of a machine to the store: a proxy that is silent while it is cut.
type tcpLink struct {
	address string
	mu      sync.Mutex
	cut     bool
	open    map[net.Conn]bool
}

func newTCPLink(target string) (*tcpLink, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &tcpLink{address: l.Addr().String(), open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(c, target)
		}
	}()
	return t, nil
}

// isCut reports whether the path is cut, and keeps a connection for reset.
func (t *tcpLink) isCut(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = true
	return t.cut
}

func (t *tcpLink) serve(c net.Conn, target string) {
	defer func() { _ = c.Close() }()
	if t.isCut(c) {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	up, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	if t.isCut(up) {
		return
	}
	go func() { _, _ = io.Copy(up, c) }()
	_, _ = io.Copy(c, up)
}

// set cuts the path or heals it. Connections from before end.
func (t *tcpLink) set(cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cut = cut
	for c := range t.open {
		_ = c.Close()
	}
	t.open = map[net.Conn]bool{}
}

// drainTime is drain-s and contactTime contact-s of the site lspst-edge.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// machinesCut cuts four of six machines off, and then a fifth. An endpoint starts between the two
// cuts, and leaves during both. The four come back before the fifth.
func machinesCut(w *world, trouble bool) (result, error) {
	names := []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
	places := map[string]string{}
	for _, zone := range names {
		places[zone] = "region"
	}
	w.configure(1, map[string]any{"first": tenant(keyOfFirst)})
	for i := range 5 {
		if err := w.newEndpoint(fmt.Sprintf("i-%d0", i), names[i], "").start(); err != nil {
			return result{}, err
		}
	}
	fleet, err := w.newFleet(names, places)
	if err != nil {
		return result{}, err
	}
	time.Sleep(5 * time.Second)
	const second = 2
	first := []int{1, 3, 4, 5}
	stop := w.trafficTo(second, 12, 50*time.Millisecond, func() call { return list(keyOfFirst) })
	var late []string
	for n := range 7 {
		if trouble {
			fleet.set(true, first...)
		}
		time.Sleep(time.Second)
		x := w.newEndpoint(fmt.Sprintf("i-new-%d", n), names[second], "")
		if err := x.start(); err != nil {
			return result{}, err
		}
		time.Sleep(2 * time.Second)
		if trouble {
			fleet.set(true, second)
		}
		time.Sleep(time.Second)
		x.leave()
		gone := time.Since(w.start)
		time.Sleep(time.Second)
		fleet.set(false, first...)
		time.Sleep(2 * time.Second)
		fleet.set(false, second)
		healed := time.Since(w.start)
		time.Sleep(contactTime + 2*time.Second)
		x.crash()
		w.mu.Lock()
		for _, r := range w.order {
			for k, id := range r.runs {
				if id == x.id && r.sentAt > max(gone+drainTime, healed+contactTime) {
					late = append(late, fmt.Sprintf("%s ran at %s at %.3f s, %.1f s after its entry was removed", r.id, id, r.ranTimes[k].Seconds(), (r.ranTimes[k]-gone).Seconds()))
				}
			}
		}
		w.mu.Unlock()
	}
	stop()
	return result{
		broken:  len(late) > 0,
		summary: fmt.Sprintf("DRAIN: %d requests reached an endpoint too late\n%s", len(late), strings.Join(late[:min(len(late), 20)], "\n")),
	}, nil
}
