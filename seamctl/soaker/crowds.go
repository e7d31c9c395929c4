package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/standin/crowder"
)

const (
	// crowdHeadBytes and crowdBodyBytes are the sizes of what a crowd sends. The configuration
	// of the test sets no limits, so they are within those of the instances.
	crowdHeadBytes = 16 << 10
	crowdBodyBytes = 256 << 10
	// A crowd stays for a random time between minCrowdTime and maxCrowdTime.
	minCrowdTime = 3 * time.Second
	maxCrowdTime = 6 * time.Second
	// answeredRatio is the least share of requests that must be answered beside a crowd, if
	// there are at least minBesideCrowd.
	answeredRatio  = 0.95
	minBesideCrowd = 20
)

// crowdIP is the address of the clients of a crowd. The callers of the test have another one.
var crowdIP = net.IPv4(127, 0, 0, 200)

// crowd sends a crowd of clients that misbehave to one of an instance's listeners. It is not
// recorded as a fault: the rules hold beside it.
func crowd(ctx context.Context, s *Soak, rng *rand.Rand) {
	i := pick(rng, s.instances)
	form := pick(rng, crowder.Forms())
	place, target := i.crowdTarget(rng)
	lasts := minCrowdTime + randomBelow(rng, maxCrowdTime-minCrowdTime)
	s.logf("crowd of %d, %v, at %s of %s for %v", s.crowdSize, form, place, i.id, lasts)
	end := s.history.recordCrowd(i, form.String()+" at "+place)
	c := crowder.Start(ctx, target, form, s.crowdSize)
	waiter.Pause(ctx, lasts)
	end()
	c.Close()
	if peak := i.peakMemory(); peak > float64(s.memoryMB) {
		s.history.recordViolation(ruleMemory, "%s used %.0f MB of %d beside %v at %s", i.id, peak, s.memoryMB, form, place)
	}
	s.logf("crowd ended: %d connections were closed, most memory of %s %.0f MB", c.Closings(), i.id, i.peakMemory())
}

// crowdTarget returns a random place at an instance where a crowd may come, and its name.
func (i *instance) crowdTarget(rng *rand.Rand) (string, crowder.Target) {
	target := crowder.Target{Host: host, HeadBytes: crowdHeadBytes, BodyBytes: crowdBodyBytes, Address: i.address(portCallers), From: crowdIP}
	switch rng.IntN(5) {
	case 0:
		target.Path, target.KeyHeader, target.Key = pathIdempotent+"1", platform.HeaderKey, "key-a"
		return "a route", target
	case 1:
		target.Path = "/elsewhere"
		return "no route", target
	case 2:
		target.Address, target.Path = i.address(portReady), platform.PathReady
		return "readiness", target
	case 3:
		target.Address, target.Path = i.address(portLookups), platform.PathLookup
		return "lookups", target
	}
	target.Address, target.Path = i.address(portPeers), "/"
	return "peers", target
}

// recordCrowd records that a crowd is at an instance, from now until the returned function is
// called.
func (h *history) recordCrowd(i *instance, what string) func() {
	started := time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.crowds = append(h.crowds, crowdSpan{span: span{subject: i, from: started, to: time.Now()}, what: what})
	}
}

// crowdSpan is the time during which a crowd is at an instance.
type crowdSpan struct {
	span
	what string
}

// checkCrowds checks that callers are answered beside crowds. It leaves out requests that
// their callers cancelled early, and instances with a recent fault or planned stop.
func (h *history) checkCrowds() {
	for _, c := range h.crowds {
		if !h.undisturbed(c.subject, c.from.Add(-undisturbedFor), c.to) || h.stoppedAround(c.subject.(*instance), c.from, c.to) {
			continue
		}
		sent, answered := 0, 0
		failures := map[string]int{}
		for _, r := range h.requests {
			if r.instance != c.subject || r.cancelledEarly() || !c.overlaps(r.sentAt, r.endedAt) {
				continue
			}
			sent++
			if r.status != 0 {
				answered++
				continue
			}
			failures[fmt.Sprint(errors.Unwrap(r.failure))]++
		}
		if sent >= minBesideCrowd && float64(answered) < answeredRatio*float64(sent) {
			h.addViolation(ruleAnswered, "%d of %d requests were answered by %s beside %s; others: %v", answered, sent, c.subject.(*instance).id, c.what, failures)
		}
	}
}
