package placer

import (
	"time"
)

// Outcome is how an attempt ended.
type Outcome struct {
	// SentAt is when the attempt was sent, as given to Sent.
	SentAt time.Time
	Object uint32
	// Choice is what was expected.
	Choice Choice
	// Answered means that a whole answer came, whatever its status.
	Answered bool
	// Good means that the answer was a success.
	Good bool
	// NotRun means that the endpoint said that it did not run the request.
	NotRun bool
	// Unreachable means that no connection could be opened, Refused that this
	// was the other side's answer.
	Unreachable bool
	Refused     bool
	// Left means that the caller left, which says nothing of the endpoint.
	Left bool
	// Connect is how long a new connection took, or 0.
	Connect time.Duration
	// Target and Timeout are the request's.
	Target  time.Duration
	Timeout time.Duration
}

// Sent notes that an attempt at an endpoint begins.
func (b *Board) Sent(now time.Time, id string, object uint32) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.sent(now)
	if e.cold(now) {
		e.coldBudget.Take(now)
	}
	if object == 0 {
		return
	}
	if !e.isWarm(now, object) && len(b.touches) < maxTouches {
		b.touches = append(b.touches, Touch{Endpoint: e.hash, Object: object})
	}
	e.warm[object] = now
}

// Ended notes how an attempt ended and learns from it.
func (b *Board) Ended(now time.Time, id string, o Outcome) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	e.ended(o.SentAt)
	if o.Connect > 0 {
		b.learnDistance(e.region, o.Connect)
	}
	s := b.service(e.spec.Service)
	switch {
	case o.Left:
	case o.NotRun:
		e.failed = e.failing(now) + learnFast*(1-e.failing(now))/2
		e.failedAt = now
		delete(e.warm, o.Object)
	case o.Unreachable:
		e.unopenedOnce(now, o.Refused)
	case !o.Answered:
		e.failedOnce(now)
	default:
		b.learnTime(now, s, e, o)
		e.succeeded(now, s.spec.Warmup)
		if !o.Good {
			e.failed = e.failing(now) + learnFast*(1-e.failing(now))/2
		}
	}
}

// learnDistance keeps the time to a region and back.
func (b *Board) learnDistance(region string, took time.Duration) {
	old, ok := b.distance[region]
	if !ok || took < old {
		b.distance[region] = took
		return
	}
	b.distance[region] = old + time.Duration(learnSlow*float64(took-old))
}

// learnTime compares an answer's time with what was expected. Only runs that
// did not wait tell how long a run takes.
func (b *Board) learnTime(now time.Time, s *service, e *endpoint, o Outcome) {
	took := now.Sub(o.SentAt)
	if o.Choice.Expect <= 0 {
		return
	}
	e.took(now, o.Choice.Slow*float64(took)/float64(o.Choice.Expect))
	waited := o.Choice.Wait > 0 || e.load() >= e.spec.Slots
	if waited || e.cold(now) || e.slowness(now) > 2 || !o.Good {
		return
	}
	warm, cold := s.times(o.Target, o.Timeout)
	run := took - b.distanceTo(e.region)
	if o.Choice.Warm {
		s.warm = warm + time.Duration(learnSlow*float64(run-warm))
		return
	}
	s.cold = cold + time.Duration(learnSlow*float64(run-cold))
}

// PeerLoads takes the attempts under way at an instance. It replaces what the
// instance said before.
func (b *Board) PeerLoads(peer string, loads []Load) {
	b.ForgetPeer(peer)
	kept := make(map[uint32]int, len(loads))
	for _, l := range loads {
		kept[l.Endpoint] = l.Count
		if e, ok := b.byHash[l.Endpoint]; ok {
			e.others += l.Count
		}
	}
	b.peers[peer] = kept
}

// ForgetPeer forgets the attempts of an instance.
func (b *Board) ForgetPeer(peer string) {
	for hash, count := range b.peers[peer] {
		if e, ok := b.byHash[hash]; ok {
			e.others = max(e.others-count, 0)
		}
	}
	delete(b.peers, peer)
}

// PeerTouches takes news of which objects are warm where.
func (b *Board) PeerTouches(now time.Time, touches []Touch) {
	for _, t := range touches {
		if e, ok := b.byHash[t.Endpoint]; ok {
			e.warm[t.Object] = now
			e.untried = false
		}
	}
}

// Loads returns the attempts of this instance that are under way.
func (b *Board) Loads() []Load {
	var loads []Load
	for _, e := range b.byID {
		if e.own > 0 {
			loads = append(loads, Load{Endpoint: e.hash, Count: e.own})
		}
	}
	return loads
}

// TakeTouches returns the news since the last call.
func (b *Board) TakeTouches() []Touch {
	touches := b.touches
	b.touches = nil
	return touches
}

// Rest says that an endpoint can't be reached, or has come back cold.
type Rest struct {
	Endpoint uint32
	// Returned means that it can be reached again and is cold.
	Returned bool
	// ForMs is how much longer that holds, in milliseconds.
	ForMs uint32
}

// Rests returns what this instance itself has seen of endpoints that can't be
// reached or have come back.
func (b *Board) Rests(now time.Time) []Rest {
	var rests []Rest
	for _, e := range b.byID {
		switch {
		case e.unreachable():
			rests = append(rests, Rest{Endpoint: e.hash, ForMs: uint32(restFor.Milliseconds())})
		case now.Before(e.returnedTill):
			rests = append(rests, Rest{Endpoint: e.hash, Returned: true, ForMs: uint32(e.returnedTill.Sub(now).Milliseconds())})
		}
	}
	return rests
}

// restFor is how long an endpoint that another instance can't reach rests here;
// it covers several heartbeats.
const restFor = 1500 * time.Millisecond

// PeerRests takes what another instance has seen of endpoints, so that one that
// comes back cold isn't met by all at once.
func (b *Board) PeerRests(now time.Time, rests []Rest) {
	for _, r := range rests {
		e, ok := b.byHash[r.Endpoint]
		if !ok {
			continue
		}
		length := time.Duration(r.ForMs) * time.Millisecond
		if r.Returned {
			e.returned(now, length)
			continue
		}
		// What this instance has seen itself counts more: the other one may be
		// cut off.
		if !now.Before(e.coldTill) && now.Sub(e.answeredAt) > restFor {
			e.restsTill = now.Add(length)
		}
	}
}

// First returns the instance that comes first for an endpoint, in an order that
// all instances agree on.
func First(instances []string, endpoint uint32) string {
	best := ""
	var most uint32
	for _, id := range instances {
		if weight := mix(Hash32(id), endpoint); best == "" || weight > most {
			best, most = id, weight
		}
	}
	return best
}
