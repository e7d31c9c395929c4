package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = shorterGrace }

const (
	// longGrace and shortGrace are the two graces of the installations on the users' pages.
	longGrace, shortGrace = 10.0, 6.0
	// stampWork is how long the work of a request takes.
	stampWork = 1600 * time.Millisecond
)

// shorterGrace lowers the grace in the settings of an instance, says so with SIGHUP, and later
// stops the instance as the platform does: SIGTERM, and SIGKILL after the grace. Clients use
// earlier answers of the directory meanwhile. Without trouble, the grace is the same from the start.
func shorterGrace(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r, map[string]string{"z-1": "r-1"}, []string{"127.77.0.11"})
	if err != nil {
		return couldNot, err
	}
	defer d.close()
	var endpoints []*endpoint
	for n := range 4 {
		e, err := startEndpoint(r, fmt.Sprintf("i-%d", n+1), "stamps", "z-1", fmt.Sprintf("127.77.1.%d", n+1), func(_ *endpoint, request *http.Request) (int, []byte) {
			_, _ = io.ReadAll(request.Body)
			if !working(request, stampWork) {
				return 0, nil
			}
			return http.StatusOK, []byte("stamped\n")
		})
		if err != nil {
			return couldNot, err
		}
		defer func() { _ = e.server.Close() }()
		endpoints = append(endpoints, e)
		d.store.put("servers", e.id, e.entry("ready"))
	}
	d.store.put("config", "main", configOf("r1", map[string]any{"r-stamps": routeOf("stamps.example", "/stamps/", "non_idempotent", "stamps", 4, 2, 2)}, "stamps"))
	grace := shortGrace
	if trouble {
		grace = longGrace
	}
	front := d.add("front-1", "z-1", "127.77.0.11", nil, grace)
	if err := front.start(); err != nil {
		return couldNot, err
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		front.settings["bounds"].(map[string]any)["grace"] = shortGrace
		if err := front.writeSettings(); err != nil {
			return couldNot, err
		}
		r.printf("the settings of %s change: grace %v s instead of %v s; SIGHUP", front.name, shortGrace, longGrace)
		front.signal(syscall.SIGHUP)
	}
	time.Sleep(8 * time.Second)
	for _, line := range front.logLines("reload") {
		r.printf("log of %s: %s", front.name, line)
	}
	stopAt := time.Now()
	r.printf("SIGTERM to %s; SIGKILL follows %v s later", front.name, shortGrace)
	front.signal(syscall.SIGTERM)
	time.AfterFunc(time.Duration(shortGrace*float64(time.Second)), func() {
		if !front.hasEnded() {
			r.printf("SIGKILL to %s", front.name)
			front.signal(syscall.SIGKILL)
		}
	})
	var mu sync.Mutex
	var clients sync.WaitGroup
	cut := 0
	for n := 0; time.Since(stopAt) < time.Duration((shortGrace-0.5)*float64(time.Second)); n++ {
		c := call{id: fmt.Sprintf("stamp-%d", n+1), method: http.MethodPost, host: "stamps.example", path: "/stamps/1", body: []byte("stamp it\n"), wait: 4 * time.Second}
		clients.Go(func() {
			a := c.do(front.front)
			sent, ended := a.sentAt.Sub(stopAt).Seconds(), a.endedAt.Sub(stopAt).Seconds()
			runs := runsOf(endpoints, c.id)
			r.printf("client sends %s %.2f s after SIGTERM and gets %v at %.2f s; it was passed on %d times", c.id, sent, a, ended, len(runs))
			// Not counted: the endpoint was still at work in the last sixth of the grace on a request
			// that was sent no later than 3 s after the SIGTERM.
			if a.err != nil && len(runs) > 0 && sent > 3 && ended < shortGrace+1 {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	r.printf("%d requests that were sent later than 3 s after the SIGTERM were passed on to an endpoint and got no complete answer", cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
