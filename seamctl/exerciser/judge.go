package exerciser

import (
	"fmt"
	"net/http"
	"time"
)

//go:generate stringer -type=Rule

// Rule is what must hold for exchanges.
type Rule int

// Rules.
const (
	// WholeAnswer: an answer that the client takes for whole is the one that the endpoint sent.
	WholeAnswer Rule = iota
	// WholeRequest: a body whose end reaches an endpoint is the one that the client sent, and the body of a
	// request that was answered early arrives.
	WholeRequest
	// AtMostOnce: a request that may run once reaches an endpoint as a whole once at most.
	AtMostOnce
	// TrueRefusal: a request that was refused has not run.
	TrueRefusal
	// Answered: a client that keeps its connection gets an answer if its endpoint is sound.
	Answered
	// Served: that is the endpoint's answer if nobody ends a connection or stalls.
	Served
	// Gone: a request whose client has left doesn't reach an endpoint later.
	Gone
	// Prompt: an answer that the endpoint has sent doesn't wait for the client's body.
	Prompt
	// Follows: the connection carries the next request.
	Follows
	// RunsOn: the instance runs on.
	RunsOn
	ruleCount
)

const (
	// goneAfter is how long after its client has left a request may still reach an endpoint.
	goneAfter = 500 * time.Millisecond
	// goneBytes is the size of the smallest body that doesn't fit into the buffers of an endpoint that doesn't
	// read. A smaller one has reached the endpoint before its client leaves.
	goneBytes = 256 << 10
	// promptWithin is how long after the endpoint has sent it an answer may reach the client, and how long
	// after its head a request without a route may be refused.
	promptWithin = 500 * time.Millisecond
)

// verdict holds the rules that applied to a play, and what violated them.
type verdict struct {
	judged     map[Rule]bool
	violations map[Rule]string
}

// check records that a rule applied, and the violation if it didn't hold.
func (v verdict) check(r Rule, holds bool, format string, args ...any) {
	v.judged[r] = true
	if _, known := v.violations[r]; !holds && !known {
		v.violations[r] = fmt.Sprintf(format, args...)
	}
}

// judge checks a play against the rules that apply to its scenario.
func judge(p *play) verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := verdict{judged: map[Rule]bool{}, violations: map[Rule]string{}}
	p.judgeAnswer(v)
	p.judgeExecutions(v)
	p.judgeClient(v)
	return v
}

// judgeAnswer checks what the client got.
func (p *play) judgeAnswer(v verdict) {
	s, r := p.scenario, p.response
	size := s.bytes(AnswerSize)
	// An unframed answer that breaks off looks whole unless the connection is reset.
	looksWhole := s.is(AnswerFraming, byClose) && s.ender() == theEndpoint && !s.endsBy(resets)
	if r.status == http.StatusOK && r.whole && !looksWhole {
		v.check(WholeAnswer, r.bytes == size && !r.altered, "%d of %d bytes, altered: %v", r.bytes, size, r.altered)
	}
	if r.err == nil && r.whole && !r.closes && s.is(Follow, behind) && p.sentAll && s.is(End, nobody) && !p.clientStalls() {
		f := p.follower
		v.check(Follows, f.err == nil && f.status == http.StatusOK, "the next request got status %d, %v", f.status, f.err)
	}
	if !s.is(End, nobody) || s.pauses(theClient, midAnswer) {
		return
	}
	if s.is(Target, unknown) {
		late := r.endedAt.Sub(p.headAt)
		v.check(Prompt, r.err == nil && late <= promptWithin, "refused after %v, status %d, %v", late, r.status, r.err)
		return
	}
	for _, x := range p.executions {
		switch {
		case !x.answered:
		case r.err != nil:
			v.check(Prompt, false, "the endpoint's answer didn't arrive: %v", r.err)
		default:
			late := r.endedAt.Sub(x.answeredAt)
			v.check(Prompt, r.status == http.StatusOK && r.whole && late <= promptWithin,
				"the endpoint's answer arrived after %v, with status %d, whole: %v", late, r.status, r.whole)
		}
	}
}

// judgeExecutions checks what reached the endpoint.
func (p *play) judgeExecutions(v verdict) {
	s := p.scenario
	size := s.bytes(BodySize)
	// A request with a length of 0 ends with its head.
	sentAll := p.sentAll || size == 0 && s.is(BodyFraming, byLength)
	whole := 0
	for _, x := range p.executions {
		if x.whole {
			whole++
			v.check(WholeRequest, x.bytes == size && !x.altered && sentAll, "%d of %d bytes, altered: %v, all sent: %v", x.bytes, size, x.altered, sentAll)
		}
		if late := x.wholeAt.Sub(p.leftAt); p.hasLeft() && x.whole {
			v.check(Gone, late <= goneAfter, "the request reached the endpoint %v after its client had left", late)
		}
	}
	v.judged[Gone] = p.hasLeft()
	if s.is(Runs, once) {
		v.check(AtMostOnce, whole <= 1, "it ran %d times", whole)
	}
	if isRefusal(p.response.status) {
		v.check(TrueRefusal, whole == 0, "status %d, but it ran", p.response.status)
	}
	if s.is(End, nobody) && p.sentAll && p.response.status == http.StatusOK && !p.clientStalls() {
		v.check(WholeRequest, whole > 0, "answered, but the body never arrived as a whole")
	}
}

// hasLeft reports whether the client has left before it got an answer, and its request could arrive later.
func (p *play) hasLeft() bool {
	s := p.scenario
	return !p.leftAt.IsZero() && !s.endsBy(halfCloses) && !s.ends(theClient, midAnswer) && s.bytes(BodySize) >= goneBytes
}

// isRefusal reports whether a status promises that the request hasn't run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// clientStalls reports whether the client pauses for longer than clients may.
func (p *play) clientStalls() bool {
	s := p.scenario
	return s.pausesLong() && (s.pauses(theClient, midBody) || s.pauses(theClient, midAnswer))
}

// judgeClient checks that the client was answered.
func (p *play) judgeClient(v verdict) {
	s, r := p.scenario, p.response
	if !s.is(End, nobody) {
		return
	}
	v.check(Answered, r.err == nil, "no answer: %v", r.err)
	if !p.clientStalls() && s.is(Target, known) {
		v.check(Served, r.status == http.StatusOK && r.whole, "status %d, whole: %v, %d bytes, %v", r.status, r.whole, r.bytes, r.err)
	}
}
