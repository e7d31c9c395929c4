package decider_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
)

const testKey = "a key of the crew"

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newModel(t *testing.T, slots int) *decider.Model {
	t.Helper()
	c, err := configurer.New(configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 1,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{
			Name: "payments", Timeout: configurer.Duration(time.Second),
			Endpoints: []configurer.Endpoint{
				{Address: "10.0.0.1:9000", Region: "west", FailureDomain: "west-a", Slots: slots, MaxConnections: 100},
				{Address: "10.0.0.2:9000", Region: "west", FailureDomain: "west-a", Slots: slots, MaxConnections: 100},
			},
		}},
		Routes: []configurer.Route{{PathPrefix: "/payments/", Service: "payments", OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: 1, Burst: 5, Weight: 1}},
	}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := decider.New(decider.WithSelf(decider.NewSelf("a", "west", "west-a")))
	m.Update(start, decider.ConfigChanged{Config: c})
	record := authenticator.Record{Digest: authenticator.DigestOf(testKey), Team: "crew"}
	m.Update(start, decider.KeysChanged{Keys: authenticator.NewKeyring([]authenticator.Record{record})})
	return m
}

func arrival(id uint64) decider.RequestArrived {
	return decider.RequestArrived{
		ID: id, HasKey: true, Key: authenticator.DigestOf(testKey), Path: "/payments/1", Repeatable: true,
	}
}

func onlyCommand[T decider.Cmd](t *testing.T, cmds []decider.Cmd) T {
	t.Helper()
	if len(cmds) != 1 {
		t.Fatalf("got %d commands: %v", len(cmds), cmds)
	}
	cmd, ok := cmds[0].(T)
	if !ok {
		t.Fatalf("got %#v", cmds[0])
	}
	return cmd
}

func TestWithdrawnKeyIsRefused(t *testing.T) {
	m := newModel(t, 1)
	m.Update(start, decider.KeysChanged{Keys: authenticator.NewKeyring(nil)})
	if r := onlyCommand[decider.Refuse](t, m.Update(start, arrival(1))); r.Code != coder.KeyUnknown {
		t.Fatalf("got %v", r.Code)
	}
}

func TestRequestQueuesUntilASlotIsFree(t *testing.T) {
	m := newModel(t, 1)
	first := onlyCommand[decider.Forward](t, m.Update(start, arrival(1)))
	onlyCommand[decider.Forward](t, m.Update(start, arrival(2)))
	if cmds := m.Update(start, arrival(3)); len(cmds) != 0 {
		t.Fatalf("the third request was not queued: %v", cmds)
	}
	ended := decider.ForwardEnded{ID: 1, Endpoint: first.Endpoint, Ran: coder.HasRun, Committed: true}
	next := onlyCommand[decider.Forward](t, m.Update(start, ended))
	if next.ID != 3 || next.Endpoint != first.Endpoint {
		t.Fatalf("got %#v", next)
	}
}

func TestNonIdempotentRequestIsNotRepeatedUnlessItDidNotRun(t *testing.T) {
	m := newModel(t, 1)
	sent := onlyCommand[decider.Forward](t, m.Update(start, arrival(1)))
	notRun := decider.ForwardEnded{ID: 1, Endpoint: sent.Endpoint, Result: coder.UpstreamFailed, Ran: coder.NotRun}
	again := onlyCommand[decider.Forward](t, m.Update(start, notRun))
	if again.Endpoint == sent.Endpoint {
		t.Fatal("retried at the same endpoint")
	}
	mayHaveRun := decider.ForwardEnded{ID: 1, Endpoint: again.Endpoint, Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
	if r := onlyCommand[decider.Refuse](t, m.Update(start, mayHaveRun)); r.Ran != coder.MayHaveRun {
		t.Fatalf("got %#v", r)
	}
}

func TestTeamOverItsRateIsRefused(t *testing.T) {
	m := newModel(t, 100)
	for id := range uint64(5) {
		onlyCommand[decider.Forward](t, m.Update(start, arrival(id)))
	}
	if r := onlyCommand[decider.Refuse](t, m.Update(start, arrival(9))); r.Code != coder.TeamOverRate || r.RetryAfter < time.Second {
		t.Fatalf("got %#v", r)
	}
}

func TestRetrySpendsATeamToken(t *testing.T) {
	m := newModel(t, 100)
	sent := onlyCommand[decider.Forward](t, m.Update(start, arrival(0)))
	failed := decider.ForwardEnded{ID: 0, Endpoint: sent.Endpoint, Result: coder.UpstreamFailed, Ran: coder.NotRun}
	onlyCommand[decider.Forward](t, m.Update(start, failed))
	for id := range uint64(3) {
		onlyCommand[decider.Forward](t, m.Update(start, arrival(id+1)))
	}
	if r := onlyCommand[decider.Refuse](t, m.Update(start, arrival(9))); r.Code != coder.TeamOverRate {
		t.Fatalf("got %#v", r)
	}
}
