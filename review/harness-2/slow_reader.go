package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["slow-reader"] = slowReader }

const (
	// uploadBytes is the size of an upload, below that of the largest files of the installations.
	uploadBytes = 240 << 10
	// firstPart is what the endpoint reads of an upload before it works on it for partWork. Then
	// it reads the rest and answers.
	firstPart = 32 << 10
	partWork  = 3 * time.Second
	// uploadWait is how long a client waits.
	uploadWait = 5 * time.Second
	graceS     = 6.0
)

// slowReader stops an instance as planned while endpoints are at work on uploads that they read
// slowly: the first part, and the rest after three seconds. Without trouble, they read all at once
// and work as long.
func slowReader(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r, map[string]string{"z-1": "r-1"}, []string{"127.77.0.11"})
	if err != nil {
		return couldNot, err
	}
	defer d.close()
	work := func(e *endpoint, request *http.Request) (int, []byte) {
		id := request.Header.Get("X-Request-Id")
		if !trouble {
			body, err := io.ReadAll(request.Body)
			if err != nil || !working(request, partWork) {
				return 0, nil
			}
			return http.StatusOK, fmt.Appendf(nil, "accepted %d bytes\n", len(body))
		}
		if _, err := io.ReadFull(request.Body, make([]byte, firstPart)); err != nil {
			return 0, nil
		}
		time.Sleep(partWork)
		rest, err := io.ReadAll(request.Body)
		if err != nil {
			r.printf("endpoint %s reads on in %s, but its connection was closed: %v", e.id, id, err)
			return 0, nil
		}
		return http.StatusOK, fmt.Appendf(nil, "accepted %d bytes\n", firstPart+len(rest))
	}
	var endpoints []*endpoint
	for n := range 3 {
		e, err := startEndpoint(r, fmt.Sprintf("i-%d", n+1), "depot", "z-1", fmt.Sprintf("127.77.1.%d", n+1), work)
		if err != nil {
			return couldNot, err
		}
		defer func() { _ = e.server.Close() }()
		endpoints = append(endpoints, e)
		d.store.put("servers", e.id, e.entry("ready"))
	}
	d.store.put("config", "main", configOf("r1", map[string]any{"r-files": routeOf("files.example", "/files/", "upload", "depot", 0, 0.8, 2)}, "depot"))
	front := d.add("front-1", "z-1", "127.77.0.11", nil, graceS)
	if err := front.start(); err != nil {
		return couldNot, err
	}
	if err := front.awaitReady(10 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(5 * time.Second)

	type upload struct {
		call
		answer
	}
	const early, late = 3, 3
	uploads := make(chan upload, early+late)
	send := func(n int) {
		c := call{id: fmt.Sprintf("upload-%d", n), method: http.MethodPost, host: "files.example", path: fmt.Sprintf("/files/%d", n), body: bytes.Repeat([]byte{byte('a' + n)}, uploadBytes), wait: uploadWait}
		r.printf("client sends %s: %d bytes, waits %v", c.id, len(c.body), c.wait)
		go func() {
			a := c.do(front.front)
			r.printf("client of %s gets %v, %.2f s after it was sent", c.id, a, a.endedAt.Sub(a.sentAt).Seconds())
			uploads <- upload{c, a}
		}()
	}
	for n := range early {
		send(n + 1)
	}
	time.Sleep(500 * time.Millisecond)
	r.printf("SIGTERM to %s, grace %v s", front.name, graceS)
	front.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	for n := range late {
		send(early + n + 1)
	}
	brokenOff := 0
	for range early + late {
		u := <-uploads
		own := u.answer.err != nil || u.answer.header.Get("X-Response-Signature") == ""
		for _, run := range runsOf(endpoints, u.id) {
			// A run that hasn't ended by itself was under way when the client got that answer.
			if own && (run.endedAt.IsZero() || !run.finished) && u.endedAt.Sub(u.sentAt) < uploadWait-time.Second {
				brokenOff++
				r.printf("%s was broken off while its endpoint was at work on it, %.2f s before its client's time was over", u.id, (uploadWait - u.endedAt.Sub(u.sentAt)).Seconds())
			}
		}
	}
	time.Sleep(partWork)
	for _, line := range front.logLines("attempt failed") {
		r.printf("log of %s: %s", front.name, line)
	}
	r.printf("%d of %d uploads were broken off while an endpoint was at work on them", brokenOff, early+late)
	if brokenOff > 0 {
		return broken, nil
	}
	return held, nil
}
