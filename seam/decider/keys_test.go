package decider_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
)

func TestKeysWithoutFreshEvidenceAreRefused(t *testing.T) {
	m := newModel(t, 9)
	m.Update(start, decider.KeyEvidence{At: start})
	onlyCommand[decider.Forward](t, m.Update(start.Add(configurer.DefaultKeyFreshness), arrival(1)))
	late := start.Add(configurer.DefaultKeyFreshness + time.Millisecond)
	if r := onlyCommand[decider.Refuse](t, m.Update(late, arrival(2))); r.Code != coder.KeyEvidenceStale || r.Ran != coder.NotRun {
		t.Fatalf("got %#v", r)
	}
	m.Update(late, decider.KeyEvidence{At: late})
	onlyCommand[decider.Forward](t, m.Update(late, arrival(3)))
}

func TestWithdrawalRefusesQueuedRequestsAndCancelsForwardedOnes(t *testing.T) {
	m := newModel(t, 1)
	sent := onlyCommand[decider.Forward](t, m.Update(start, arrival(1)))
	onlyCommand[decider.Forward](t, m.Update(start, arrival(2)))
	m.Update(start, arrival(3)) // is queued, because both slots are in use
	r := onlyCommand[decider.Refuse](t, m.Update(start, decider.KeysChanged{Keys: authenticator.NewKeyring(nil)}))
	if r.ID != 3 || r.Code != coder.KeyUnknown || r.Ran != coder.NotRun {
		t.Fatalf("got %#v", r)
	}
	for _, cmd := range m.Update(start.Add(time.Second), decider.Ticked{}) {
		if _, ok := cmd.(decider.Cancel); ok {
			t.Fatal("cancelled before the grace period was over")
		}
	}
	for _, after := range []time.Duration{2 * time.Second, 3 * time.Second} { // cancelled again at each tick until they end
		cancelled := 0
		for _, cmd := range m.Update(start.Add(after), decider.Ticked{}) {
			if _, ok := cmd.(decider.Cancel); ok {
				cancelled++
			}
		}
		if cancelled != 2 {
			t.Fatalf("%d of 2 forwarded requests were cancelled after %v", cancelled, after)
		}
	}
	ended := decider.ForwardEnded{ID: 1, Endpoint: sent.Endpoint, Result: coder.CallerGone, Ran: coder.NotRun}
	if r := onlyCommand[decider.Refuse](t, m.Update(start.Add(2*time.Second), ended)); r.Code != coder.KeyUnknown {
		t.Fatalf("a cancelled request was retried: %#v", r)
	}
}

func TestKeyWorksUntilItExpires(t *testing.T) {
	m := newModel(t, 9)
	expires := start.Add(time.Hour)
	record := authenticator.Record{Digest: authenticator.DigestOf(testKey), Team: "crew", Expires: &expires}
	m.Update(start, decider.KeysChanged{Keys: authenticator.NewKeyring([]authenticator.Record{record})})
	onlyCommand[decider.Forward](t, m.Update(expires.Add(-time.Millisecond), arrival(1)))
	if r := onlyCommand[decider.Refuse](t, m.Update(expires, arrival(2))); r.Code != coder.KeyUnknown {
		t.Fatalf("got %#v", r)
	}
}

func TestExceptionExpiresWhenItsTimeComes(t *testing.T) {
	m := newModel(t, 9)
	on, expires := true, start.Add(time.Minute)
	doc := m.Config().Document()
	doc.Exceptions = []configurer.Exception{
		{Reason: "a", Scope: configurer.Scope{Endpoint: "10.0.0.1:9000"}, Set: configurer.ExceptionSet{Draining: &on}, Expires: &expires},
		{Reason: "b", Scope: configurer.Scope{Endpoint: "10.0.0.2:9000"}, Set: configurer.ExceptionSet{Draining: &on}, Expires: &expires},
	}
	c, err := configurer.New(doc, 2)
	if err != nil {
		t.Fatal(err)
	}
	m.Update(start, decider.ConfigChanged{Config: c})
	if r := onlyCommand[decider.Refuse](t, m.Update(start, arrival(1))); r.Code != coder.NoUpstream {
		t.Fatalf("got %#v", r)
	}
	m.Update(expires.Add(-time.Millisecond), decider.Ticked{})
	onlyCommand[decider.Refuse](t, m.Update(expires.Add(-time.Millisecond), arrival(2)))
	m.Update(expires, decider.Ticked{})
	onlyCommand[decider.Forward](t, m.Update(expires, arrival(3)))
}
