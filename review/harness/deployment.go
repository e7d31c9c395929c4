package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The small deployment of all cases: one region with three zones, a machine in two of them,
// and an endpoint of one service in each.
var zones = map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"}

const (
	host        = "shop.example"
	keyOfFirst  = "key-of-first-0001"
	keyOfSecond = "key-of-second-0002"
	settleTime  = 2 * time.Second
)

func routes() map[string]any {
	return map[string]any{
		"pay": map[string]any{
			"host": host, "path-prefix": "/pay/", "route-type": "non_idempotent", "timeout-s": 2, "target-latency-s": 0.1, "priority": 1,
			"service": "till", "max-attempts": 3, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
		},
		"list": map[string]any{
			"host": host, "path-prefix": "/list/", "route-type": "idempotent", "timeout-s": 2, "target-latency-s": 0.25, "priority": 2,
			"service": "till", "max-attempts": 2, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
		},
	}
}

func tenant(keys ...string) map[string]any {
	return map[string]any{"api-keys": keys, "priority": 0, "rate-per-s": 0, "burst-size": 0, "home-regions": []string{}}
}

// configure writes a version of the configuration. The store's answer is its ack.
func (w *world) configure(version int, tenants map[string]any) {
	w.store.write("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes(),
		"services": map[string]any{"till": map[string]any{"health-path": "/health", "max-connections": 390, "warmup-s": 0.5, "cold-per-s": 18.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"tenants":  tenants,
	})
	w.log("configuration r%d is acknowledged", version)
}

func (w *world) newEndpoint(id, zone, address string) *endpoint {
	return &endpoint{w: w, id: id, service: "till", zone: zone, slots: 4, work: 25 * time.Millisecond, address: address, warmup: 500 * time.Millisecond}
}

// deploy starts the whole deployment and returns its endpoints.
func (w *world) deploy(tenants map[string]any) ([]*endpoint, error) {
	w.configure(1, tenants)
	var endpoints []*endpoint
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e := w.newEndpoint(fmt.Sprintf("i-%d0", i), zone, "")
		e.born = time.Now().UnixMilli()
		if err := e.start(); err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	seeds := []string{w.ip(21) + ":" + w.ports["control"], w.ip(22) + ":" + w.ports["control"]}
	for i, zone := range []string{"zone-a", "zone-b"} {
		e, err := w.addEdge(fmt.Sprintf("front-%s-1", zone), w.ip(21+i), zone, zones, seeds)
		if err != nil {
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
	time.Sleep(settleTime)
	return endpoints, nil
}

func pay(key string) call {
	return call{
		method: http.MethodPost, host: host, path: fmt.Sprintf("/pay/%d", rand.IntN(60)), key: key, object: fmt.Sprint(rand.IntN(60)),
		body: "amount=10", timeLeft: 2 * time.Second,
	}
}

func list(key string) call {
	return call{
		method: http.MethodGet, host: host, path: fmt.Sprintf("/list/%d", rand.IntN(60)), key: key, object: fmt.Sprint(rand.IntN(60)),
		idempotent: true, timeLeft: 2 * time.Second,
	}
}

// traffic sends requests from a number of clients, each with a pause after each answer, until
// the returned function is called.
func (w *world) traffic(clients int, pause time.Duration, next func() call) (stop func()) {
	return w.trafficTo(-1, clients, pause, next)
}

// trafficTo is like traffic, but to one machine only, unless that is -1.
func (w *world) trafficTo(machine, clients int, pause time.Duration, next func() call) (stop func()) {
	end := make(chan struct{})
	var all sync.WaitGroup
	for i := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			at := machine
			if at < 0 {
				at = i % len(w.edges)
			}
			c := client{w: w, address: w.edges[at].front()}
			for {
				select {
				case <-end:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				c.send(next())
			}
		}()
	}
	return func() {
		close(end)
		all.Wait()
	}
}
