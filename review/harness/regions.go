package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["regions"] = regionsCut }

// link is one direction of the path between two machines: a proxy that passes datagrams on,
// or drops them while it is cut.
type link struct {
	cut  atomic.Bool
	from *net.UDPConn
	to   *net.UDPConn
}

// newLink listens at an address and passes on what arrives there.
func newLink(listen, source, target string) (*link, error) {
	at, err := net.ResolveUDPAddr("udp4", listen)
	if err != nil {
		return nil, err
	}
	dest, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	l := &link{}
	if l.from, err = net.ListenUDP("udp4", at); err != nil {
		return nil, err
	}
	if l.to, err = net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(source)}, dest); err != nil {
		return nil, err
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := l.from.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			if !l.cut.Load() {
				// A datagram to a machine that doesn't run is lost.
				_, _ = l.to.Write(buffer[:n])
			}
		}
	}()
	return l, nil
}

// fleet is a number of machines with the paths between them and to the store. The machines
// reach each other only by proxies, which are their seeds. They state their own addresses
// with a host name, to which no datagram is sent, and so each needs a port of its own.
type fleet struct {
	w      *world
	links  map[[2]int]*link
	stores []*tcpLink
	off    map[int]bool
}

// newFleet starts a machine in each zone and waits until all are ready.
func (w *world) newFleet(names []string, places map[string]string) (*fleet, error) {
	own := []string{w.ports["internal"], w.ports["second"], w.ports["third"], w.ports["fourth"], w.ports["fifth"], w.ports["sixth"]}
	f := &fleet{w: w, links: map[[2]int]*link{}, off: map[int]bool{}}
	for i := range names {
		var seeds []string
		for j := range names {
			if i == j {
				continue
			}
			at := w.ip(40 + 10*i + j)
			l, err := newLink(at+":"+own[i], w.ip(100+10*i+j), "127.0.0.1:"+own[j])
			if err != nil {
				return nil, err
			}
			f.links[[2]int{i, j}] = l
			seeds = append(seeds, at+":"+w.ports["control"])
		}
		e, err := w.addEdge("front-"+names[i]+"-1", w.ip(21+i), names[i], places, seeds)
		if err != nil {
			return nil, err
		}
		if err := e.replaceSetting(`"peers": "`+e.ip+":"+w.ports["internal"], `"peers": "localhost:`+own[i]); err != nil {
			return nil, err
		}
		t, err := newTCPLink(w.store.address)
		if err != nil {
			return nil, err
		}
		f.stores = append(f.stores, t)
		if err := e.replaceSetting(`"store": "`+w.store.address, `"store": "`+t.address); err != nil {
			return nil, err
		}
		if err := e.run(); err != nil {
			return nil, err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// set cuts machines off from the others and from the store, or heals that.
func (f *fleet) set(cut bool, machines ...int) {
	f.w.log("machines %v are cut off: %v", machines, cut)
	for _, m := range machines {
		f.off[m] = cut
		f.stores[m].set(cut)
	}
	for pair, l := range f.links {
		l.cut.Store(f.off[pair[0]] || f.off[pair[1]])
	}
}

const (
	ratePerSecond = 60
	burstSize     = 60
	quotaWindow   = 5 * time.Second
	quotaOver     = 0.1
	quotaSlack    = 20
)

// regionsCut runs a machine in each of three regions. Two regions lose each other; both still
// reach the third. A tenant is hot for 8 s before the cut and for 8 s during it.
func regionsCut(w *world, trouble bool) (result, error) {
	places := map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
	limited := tenant(keyOfFirst)
	limited["rate-per-s"], limited["burst-size"] = ratePerSecond, burstSize
	w.configure(1, map[string]any{"first": limited})
	names := []string{"zone-a", "zone-b", "zone-c"}
	for i, zone := range names {
		for k := range 2 {
			if err := w.newEndpoint(fmt.Sprintf("i-%d%d", i, k), zone, "").start(); err != nil {
				return result{}, err
			}
		}
	}
	fleet, err := w.newFleet(names, places)
	if err != nil {
		return result{}, err
	}
	time.Sleep(5 * time.Second)
	// The tenant's usual traffic is its rate divided by 1.6; when it is hot, it is 6.7 times that.
	const usual, hot = 1340 * time.Millisecond, 200 * time.Millisecond
	var pause atomic.Int64
	pause.Store(int64(usual))
	surge := func() {
		w.log("the tenant is hot")
		pause.Store(int64(hot))
		time.Sleep(8 * time.Second)
		pause.Store(int64(usual))
		w.log("the tenant is no longer hot")
	}
	end := make(chan struct{})
	var all sync.WaitGroup
	for i, clients := range []int{24, 24, 3} {
		for range clients {
			all.Add(1)
			go func() {
				defer all.Done()
				c := client{w: w, address: w.edges[i].front()}
				for {
					select {
					case <-end:
						return
					case <-time.After(time.Duration(pause.Load())):
						c.send(list(keyOfFirst))
					}
				}
			}()
		}
	}
	time.Sleep(8 * time.Second)
	surge()
	time.Sleep(8 * time.Second)
	cutAt := time.Since(w.start)
	if trouble {
		fleet.links[[2]int{0, 1}].cut.Store(true)
		fleet.links[[2]int{1, 0}].cut.Store(true)
		w.log("the regions of the first two machines lose each other")
	}
	time.Sleep(15 * time.Second)
	surge()
	close(end)
	all.Wait()
	return w.judgeQuota(cutAt), nil
}

// judgeQuota applies the rule QUOTA to all windows.
func (w *world) judgeQuota(cutAt time.Duration) result {
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := (ratePerSecond*quotaWindow.Seconds()+burstSize)*(1+quotaOver) + quotaSlack
	var times []time.Duration
	counts := map[int]int{}
	for _, r := range w.order {
		counts[r.status]++
		if len(r.runs) > 0 {
			times = append(times, r.ranAt)
		}
	}
	slices.Sort(times)
	most, mostAt, before := 0, time.Duration(0), 0
	for i, j := 0, 0; i < len(times); i++ {
		for times[i]-times[j] > quotaWindow {
			j++
		}
		if n := i - j + 1; n > most {
			most, mostAt = n, times[j]
		}
		if times[i] < cutAt {
			before = max(before, i-j+1)
		}
	}
	var perSecond []string
	for s := time.Duration(0); len(times) > 0 && s <= times[len(times)-1]; s += 5 * time.Second {
		n := 0
		for _, t := range times {
			if t >= s && t < s+5*time.Second {
				n++
			}
		}
		perSecond = append(perSecond, fmt.Sprint(n))
	}
	return result{
		broken: float64(most) > allowed,
		summary: fmt.Sprintf("answers by status: %v\nrun in each 5 s from the start: %s (the cut came at %.1f s)\nQUOTA: %d run in the window from %.1f s, allowed %.0f; at most %d before the cut",
			counts, strings.Join(perSecond, " "), cutAt.Seconds(), most, mostAt.Seconds(), allowed, before),
	}
}
