package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["extra"] = extraAnswers }

// extraAnswers lets an endpoint crash between two groups of requests and come back at its
// address, in a new lifetime with a new id. Of each lifetime's answers, the endpoint sends
// one a second time, late.
func extraAnswers(w *world, trouble bool) (result, error) {
	endpoints, err := w.deploy(map[string]any{"first": tenant(keyOfFirst)})
	if err != nil {
		return result{}, err
	}
	const (
		groupGap  = 750 * time.Millisecond
		groupSize = 40
		cycles    = 12
		perCycle  = 10 // groups
	)
	groups := time.Now().Add(500 * time.Millisecond)
	var all sync.WaitGroup
	for range groupSize {
		all.Add(1)
		go func() {
			defer all.Done()
			c := client{w: w, address: w.edges[0].front()}
			for n := range cycles*perCycle + 2 {
				time.Sleep(time.Until(groups.Add(time.Duration(n)*groupGap + rand.N(20*time.Millisecond))))
				c.send(pay(keyOfFirst))
			}
		}()
	}
	var lifetimes []*endpoint
	at := endpoints[0]
	for n := range cycles {
		if !w.crashes {
			break
		}
		time.Sleep(time.Until(groups.Add(time.Duration(2+n*perCycle)*groupGap - 500*time.Millisecond)))
		at.crash()
		time.Sleep(150 * time.Millisecond)
		next := w.newEndpoint(fmt.Sprintf("i-0%d", n+1), at.zone, at.address)
		if trouble {
			next.mostExtras = 1
			next.extraOf = func(status int) bool {
				return status == http.StatusMisdirectedRequest && time.Since(time.UnixMilli(next.born)) > time.Second
			}
		}
		if err := next.start(); err != nil {
			return result{}, err
		}
		lifetimes = append(lifetimes, next)
		at = next
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	var shares []string
	for _, e := range lifetimes {
		e.mu.Lock()
		shares = append(shares, fmt.Sprintf("%d/%d", e.extras, e.early))
		e.mu.Unlock()
	}
	return w.judgeOnce("second copies of answers and answers in the first 5 s, by lifetime: " + strings.Join(shares, " ")), nil
}

// judgeOnce applies the rules TWICE and REFUSED to all requests.
func (w *world) judgeOnce(more string) result {
	w.mu.Lock()
	defer w.mu.Unlock()
	var twice, refused []string
	counts := map[int]int{}
	for _, r := range w.order {
		counts[r.status]++
		if r.idempotent {
			continue
		}
		if len(r.runs) > 1 {
			twice = append(twice, fmt.Sprintf("%s ran at %s", r.id, strings.Join(r.runs, " and ")))
		}
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(r.runs) > 0 {
				refused = append(refused, fmt.Sprintf("%s was answered %d and ran at %s", r.id, r.status, strings.Join(r.runs, " and ")))
			}
		}
	}
	return result{
		broken: len(twice)+len(refused) > 0,
		summary: fmt.Sprintf("requests by status: %v; %s\nTWICE %d: %s\nREFUSED %d: %s", counts, more,
			len(twice), strings.Join(twice, ", "), len(refused), strings.Join(refused, ", ")),
	}
}
