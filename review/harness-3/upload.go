package main

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"
)

func init() { cases["upload"] = playUploads }

// The figures of the case. The limits of the configuration are those of the pages' example.
const (
	uploadHost     = "files.example"
	uploadIdle     = 15.0
	uploadTimeout  = 20.0
	uploadDeadline = 20 * time.Second
	uploadBytes    = 300_000
	uploadClients  = 12
	uploadWork     = 1400 * time.Millisecond
	// Two of five endpoints (0.4) take 12 times as long for what they begin within 9 s.
	uploadEndpoints = 5
	uploadSlow      = 2
	uploadSlowBy    = 12
	uploadSlowFor   = 9 * time.Second
	// uploadsAllowed is how many requests may be lost by the rule.
	uploadsAllowed = 3
)

// playUploads sends uploads on kept connections. In the second round some endpoints are slow.
func playUploads(ctx context.Context, w *world) (verdict, error) {
	var endpoints []*endpoint
	for n := range uploadEndpoints {
		e, err := startEndpoint(w.record, fmt.Sprintf("i-%d", n), "depot", "zone-a", 6, uploadWork, 400)
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
		"routes": map[string]any{"r-files": map[string]any{
			"host": uploadHost, "path-prefix": "/files/", "route-type": "upload", "timeout-s": uploadTimeout, "target-latency-s": 2,
			"priority": 1, "service": "depot", "max-attempts": 2, "allow-anonymous": false, "sticky": true, "home-regions": []string{},
		}},
		"services": map[string]any{"depot": map[string]any{"health-path": "/health", "max-connections": 390, "warmup-s": 3.0, "cold-per-s": 18.0}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": uploadIdle},
	})
	i, err := w.addInstance("front-zone-a-1", "zone-a", map[string]string{"zone-a": "region-a"})
	if err != nil {
		return verdict{}, err
	}
	// Longer than contact-s, so that the instance is in touch.
	time.Sleep(5 * time.Second)
	clients := make([]*client, uploadClients)
	for n := range clients {
		clients[n] = &client{address: i.listen["callers"]}
	}
	send := func(round string) []result {
		results := make([]result, uploadClients)
		var wg sync.WaitGroup
		for n, c := range clients {
			wg.Go(func() {
				q := call{
					id: uploadID(round, n), method: "POST", host: uploadHost, path: fmt.Sprintf("/files/%s-%d", round, n),
					affinity: fmt.Sprint(n), body: make([]byte, uploadBytes), deadline: uploadDeadline,
				}
				w.record.write("client %d sends request %s: POST %s, %d bytes, X-Deadline-Ms %d", n, q.id, q.path, len(q.body), q.deadline.Milliseconds())
				r := c.do(q)
				w.record.write("client %d: request %s ended after %.3f s: status %d, error %v, kept connection %t", n, q.id, r.took.Seconds(), r.status, r.err, r.kept)
				results[n] = r
			})
		}
		wg.Wait()
		return results
	}
	for _, r := range send("usual") {
		if r.err != nil || r.status != 200 && r.status != 503 {
			return verdict{}, fmt.Errorf("an upload before the disruption: status %d, error %v", r.status, r.err)
		}
	}
	if w.trouble {
		sort.Slice(endpoints, func(x, y int) bool { return endpoints[x].ranCount() > endpoints[y].ranCount() })
		for _, e := range endpoints[:uploadSlow] {
			e.setWork(uploadSlowBy * uploadWork)
			w.record.write("endpoint %s turns slow: what it begins takes %d times as long", e.id, uploadSlowBy)
			time.AfterFunc(uploadSlowFor, func() { e.setWork(uploadWork) })
		}
	}
	lost := 0
	for n, r := range send("slow") {
		ran := w.record.runsOf(uploadID("slow", n)) > 0
		if r.err != nil && !isTimeout(r.err) && r.kept && ran && r.took < uploadDeadline-time.Second {
			lost++
		}
	}
	return verdict{broken: lost > uploadsAllowed, text: fmt.Sprintf(
		"LOST: %d of %d requests on kept connections were passed on to a sound endpoint, and the instance closed their connections without an answer; %d are allowed",
		lost, uploadClients, uploadsAllowed)}, nil
}

func uploadID(round string, n int) string { return fmt.Sprintf("u-%s-%d", round, n) }
