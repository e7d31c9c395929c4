package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["replaced"] = playReplaced }

const (
	replacedHost     = "lessons.example"
	replacedMachines = 4
	replacedWork     = 30 * time.Millisecond
	// The tenant may send 40 requests a second and sends 36.
	replacedRate     = 40
	replacedInterval = time.Second / 36
	// replacedRecover is recover-s, and replacedSpan how long requests are counted.
	replacedRecover = 15 * time.Second
	replacedSpan    = 10 * time.Second
)

// playReplaced lets all machines lose power for good and adds as many new ones, with other names
// and addresses.
func playReplaced(ctx context.Context, w *world) (verdict, error) {
	zones := map[string]string{"zone-a": "region-a", "zone-b": "region-b"}
	zoneOf := func(n int) string { return []string{"zone-a", "zone-b"}[n%2] }
	var endpoints []*endpoint
	for n := range 4 {
		e, err := startEndpoint(w.record, fmt.Sprintf("i-%d", n), "lessons", zoneOf(n), 9, replacedWork, 400)
		if err != nil {
			return verdict{}, err
		}
		endpoints = append(endpoints, e)
	}
	beats, stop := context.WithCancel(ctx)
	defer stop()
	go beat(beats, w.store, endpoints...)
	w.store.put("config", "main", map[string]any{
		"version": "r1",
		"routes": map[string]any{"r-lessons": map[string]any{
			"host": replacedHost, "path-prefix": "/lessons/", "route-type": "idempotent", "timeout-s": 1.5, "target-latency-s": 0.2,
			"priority": 2, "service": "lessons", "max-attempts": 2, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
		}},
		"services": map[string]any{"lessons": map[string]any{"health-path": "/health", "max-connections": 390, "warmup-s": 3.0, "cold-per-s": 18.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"tenants":  map[string]any{"school": map[string]any{"api-keys": []string{"key-of-school"}, "priority": 0, "rate-per-s": replacedRate, "burst-size": replacedRate, "home-regions": []string{}}},
	})
	startAll := func(generation int) ([]*instance, error) {
		var list []*instance
		for n := range replacedMachines {
			i, err := w.addInstance(fmt.Sprintf("front-%s-%d", zoneOf(n), generation*replacedMachines+n+1), zoneOf(n), zones)
			if err != nil {
				return nil, err
			}
			w.record.write("machine %s runs at %s and is ready", i.name, i.listen["callers"])
			list = append(list, i)
		}
		return list, nil
	}
	instances, err := startAll(0)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	before := sendLessons(w, "before", instances)
	if w.trouble {
		for _, i := range instances {
			i.end()
			w.record.write("machine %s loses power and is removed for good", i.name)
		}
		if instances, err = startAll(1); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(replacedRecover)
	after := sendLessons(w, "after", instances)
	return verdict{broken: before >= 0.25 && after < 0.25, text: fmt.Sprintf(
		"RECOVER: %.3f of the requests were served before the fault, and %.3f of those sent later than %v after the machines were back; a quarter is the least. The tenant sent %d requests a second, its rate is %d",
		before, after, replacedRecover, time.Second/replacedInterval, replacedRate)}, nil
}

// sendLessons sends requests of the tenant to all instances in turn, each on a new connection, and
// returns the part that was served. Nothing is sent again.
func sendLessons(w *world, name string, instances []*instance) float64 {
	var wg sync.WaitGroup
	var served atomic.Int64
	sent := 0
	ticker := time.NewTicker(replacedInterval)
	defer ticker.Stop()
	for end := time.Now().Add(replacedSpan); time.Now().Before(end); sent++ {
		n := sent
		i := instances[n%len(instances)]
		wg.Go(func() {
			c := &client{address: i.listen["callers"]}
			defer c.close()
			q := call{
				id: fmt.Sprintf("r-%s-%d", name, n), method: "GET", host: replacedHost, path: fmt.Sprintf("/lessons/%d", n%20),
				affinity: fmt.Sprint(n % 20), key: "key-of-school", deadline: 1500 * time.Millisecond,
			}
			r := c.do(q)
			w.record.write("client: request %s to %s: status %d, error %v", q.id, i.name, r.status, r.err)
			if r.err == nil && r.status == 200 && r.signature != "" {
				served.Add(1)
			}
		})
		<-ticker.C
	}
	wg.Wait()
	return float64(served.Load()) / float64(sent)
}
