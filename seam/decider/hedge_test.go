package decider_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// warmFleet is one instance that knows how long its service usually takes.
func warmFleet(t *testing.T) *fleet {
	s := shape{"one", 1, 3, 2, 20 * time.Millisecond, time.Millisecond}
	f := newFleet(t, s, withIdempotent())
	f.play(s.trace(1, 0.3, 2*time.Second), 2*time.Second)
	return f
}

func TestSlowIdempotentRequestIsHedgedOnce(t *testing.T) {
	f := warmFleet(t)
	m, now := f.models[0], f.world.Now()
	ask := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true}
	first := only[decider.Forward](t, m.Update(now, ask))
	if cmds := m.Update(now.Add(10*time.Millisecond), decider.Ticked{}); len(cmds) != 0 {
		t.Fatalf("hedged too early: %v", cmds)
	}
	now = now.Add(500 * time.Millisecond)
	second := only[decider.Forward](t, m.Update(now, decider.Ticked{}))
	if second.ID != first.ID || second.Endpoint == first.Endpoint || !second.Decision.Hedge {
		t.Fatalf("got %#v after %#v", second, first)
	}
	if cmds := m.Update(now.Add(time.Second/2), decider.Ticked{}); len(cmds) != 0 {
		t.Fatalf("hedged twice: %v", cmds)
	}
	won := decider.AnswerEnded{ID: first.ID, Endpoint: second.Endpoint, Ran: coder.HasRun, Committed: true}
	if c := only[decider.Cancel](t, m.Update(now, won)); c.Endpoint != first.Endpoint {
		t.Fatalf("got %#v", c)
	}
	if loads := m.Loads(); len(loads) != 1 || loads[0].Endpoint != first.Endpoint {
		t.Errorf("in flight after the answer: %v", loads)
	}
	late := decider.AnswerEnded{ID: first.ID, Endpoint: first.Endpoint, Result: coder.CallerGone, Ran: coder.MayHaveRun}
	m.Update(now, late)
	if len(m.Loads()) != 0 || m.Requests() != 0 {
		t.Errorf("left over: %v, %d requests", m.Loads(), m.Requests())
	}
}

// TestFailedAttemptsLeaveNoFalseNotRun ends a request by two attempts, of which
// the first may have run and the second surely did not.
func TestFailedAttemptsLeaveNoFalseNotRun(t *testing.T) {
	f := warmFleet(t)
	m, now := f.models[0], f.world.Now()
	ask := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true}
	first := only[decider.Forward](t, m.Update(now, ask))
	lost := decider.AnswerEnded{ID: first.ID, Endpoint: first.Endpoint, Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
	second := only[decider.Forward](t, m.Update(now, lost))
	shed := decider.AnswerEnded{ID: first.ID, Endpoint: second.Endpoint, Result: coder.UpstreamFailed, Ran: coder.NotRun, Shed: true}
	third := only[decider.Forward](t, m.Update(now, shed))
	shed.Endpoint = third.Endpoint
	if r := only[decider.Refuse](t, m.Update(now, shed)); r.Ran != coder.MayHaveRun {
		t.Errorf("got %#v", r)
	}
}

func TestNamedRequestGoesToItsHomeAndNowhereElse(t *testing.T) {
	f := newFleet(t, shapes[0], withIdempotent())
	m, now := f.models[0], f.world.Now()
	ask := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true, Home: nodeName(1)}
	p := only[decider.Pass](t, m.Update(now, ask))
	if p.Peer != nodeName(1) || !p.Home || p.Idempotent {
		t.Fatalf("got %#v", p)
	}
	gone := decider.PassEnded{ID: p.ID, Peer: p.Peer, Result: coder.UpstreamFailed, Ran: coder.NotRun}
	if r := only[decider.Refuse](t, m.Update(now, gone)); r.Code != coder.OutcomeUnknown || r.Ran != coder.MayHaveRun {
		t.Errorf("got %#v", r)
	}
}
