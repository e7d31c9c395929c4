package decider_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/faker"
)

// fleetWithLatencyHistory returns a fleet of one instance. The instance has already
// forwarded requests for 2 s, so that it can tell which attempts are slow.
func fleetWithLatencyHistory(t *testing.T) *fleet {
	s := topology{"one", 1, 3, 2, 20 * time.Millisecond, time.Millisecond}
	f := newFleet(t, s, withIdempotent())
	f.play(s.trace(1, 0.3, 2*time.Second), 2*time.Second)
	return f
}

func TestSlowIdempotentRequestIsHedgedOnce(t *testing.T) {
	f := fleetWithLatencyHistory(t)
	m, now := f.models[0], f.world.Now()
	request := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true}
	first := onlyCommand[decider.Forward](t, m.Update(now, request))
	if cmds := m.Update(now.Add(10*time.Millisecond), decider.Ticked{}); len(cmds) != 0 {
		t.Fatalf("hedged too early: %v", cmds)
	}
	now = now.Add(500 * time.Millisecond)
	second := onlyCommand[decider.Forward](t, m.Update(now, decider.Ticked{}))
	if second.ID != first.ID || second.Endpoint == first.Endpoint || !second.Decision.Hedge {
		t.Fatalf("got %#v after %#v", second, first)
	}
	if cmds := m.Update(now.Add(time.Second/2), decider.Ticked{}); len(cmds) != 0 {
		t.Fatalf("hedged twice: %v", cmds)
	}
	won := decider.ForwardEnded{ID: first.ID, Endpoint: second.Endpoint, Ran: coder.HasRun, Committed: true}
	if c := onlyCommand[decider.Cancel](t, m.Update(now, won)); c.Endpoint != first.Endpoint {
		t.Fatalf("got %#v", c)
	}
	if loads := m.Loads(now); len(loads) != 1 || loads[0].Endpoint != first.Endpoint {
		t.Errorf("in flight after the answer: %v", loads)
	}
	late := decider.ForwardEnded{ID: first.ID, Endpoint: first.Endpoint, Result: coder.CallerGone, Ran: coder.MayHaveRun}
	m.Update(now, late)
	if len(m.Loads(now)) != 0 || m.Requests() != 0 {
		t.Errorf("not cleaned up: loads %v, %d requests", m.Loads(now), m.Requests())
	}
}

// The hedge ends while the first attempt is still streaming its answer to the caller. That
// answer must not be cut short.
func TestHedgeDoesNotCutShortTheFirstAnswer(t *testing.T) {
	f := fleetWithLatencyHistory(t)
	m, now := f.models[0], f.world.Now()
	request := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true}
	first := onlyCommand[decider.Forward](t, m.Update(now, request))
	now = now.Add(500 * time.Millisecond)
	second := onlyCommand[decider.Forward](t, m.Update(now, decider.Ticked{}))
	tooLate := decider.ForwardEnded{ID: first.ID, Endpoint: second.Endpoint, Ran: coder.HasRun}
	if cmds := m.Update(now, tooLate); len(cmds) != 0 {
		t.Fatalf("got %#v", cmds)
	}
	whole := decider.ForwardEnded{ID: first.ID, Endpoint: first.Endpoint, Ran: coder.HasRun, Committed: true}
	if cmds := m.Update(now.Add(3*time.Second), whole); len(cmds) != 0 || m.Requests() != 0 {
		t.Errorf("got %#v, %d requests left", cmds, m.Requests())
	}
}

// TestRefusalReportsWhetherAnyAttemptMayHaveRun makes three attempts at a request. The
// request may have run in the first attempt, but not in the other two. The refusal must
// state that the request may have run.
func TestRefusalReportsWhetherAnyAttemptMayHaveRun(t *testing.T) {
	f := fleetWithLatencyHistory(t)
	m, now := f.models[0], f.world.Now()
	request := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true}
	first := onlyCommand[decider.Forward](t, m.Update(now, request))
	lost := decider.ForwardEnded{ID: first.ID, Endpoint: first.Endpoint, Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
	second := onlyCommand[decider.Forward](t, m.Update(now, lost))
	shed := decider.ForwardEnded{ID: first.ID, Endpoint: second.Endpoint, Result: coder.UpstreamFailed, Ran: coder.NotRun, Shed: true}
	third := onlyCommand[decider.Forward](t, m.Update(now, shed))
	shed.Endpoint = third.Endpoint
	if r := onlyCommand[decider.Refuse](t, m.Update(now, shed)); r.Ran != coder.MayHaveRun {
		t.Errorf("got %#v", r)
	}
}

func TestNamedRequestGoesToItsHomeAndNowhereElse(t *testing.T) {
	f := newFleet(t, topologies[0], withIdempotent())
	m, now := f.models[0], f.world.Now()
	request := decider.RequestArrived{ID: 1 << 40, HasKey: true, Key: teamKey(0), Path: "/x", Repeatable: true, Home: nodeName(1)}
	p := onlyCommand[decider.Pass](t, m.Update(now, request))
	if p.Peer != nodeName(1) || !p.Home || p.Idempotent {
		t.Fatalf("got %#v", p)
	}
	failed := decider.PassEnded{ID: p.ID, Peer: p.Peer, Result: coder.UpstreamFailed, Ran: coder.NotRun}
	if r := onlyCommand[decider.Refuse](t, m.Update(now, failed)); r.Code != coder.OutcomeUnknown || r.Ran != coder.MayHaveRun {
		t.Errorf("got %#v", r)
	}
}

// TestServicesSpreadOverSlotOwners checks that all instances agree on the slot owner of
// each service, and that no instance owns more services than the number of services
// divided by the number of instances, rounded up.
func TestServicesSpreadOverSlotOwners(t *testing.T) {
	for instances := 1; instances <= 4; instances++ {
		owners := map[string]map[string]bool{}
		for i := range instances {
			m := manyServices(t, i, instances)
			for k := range 6 {
				request := decider.RequestArrived{ID: uint64(k), HasKey: true, Key: teamKey(0), Path: fmt.Sprint("/", k, "/x")}
				owner, service := nodeName(i), ""
				switch c := m.Update(faker.Epoch, request)[0].(type) {
				case decider.Pass:
					owner, service = c.Peer, c.Service
				case decider.Forward:
					service = c.Decision.Service
				}
				if owners[service] == nil {
					owners[service] = map[string]bool{}
				}
				owners[service][owner] = true
			}
		}
		owned := map[string]int{}
		for service, ids := range owners {
			if len(ids) != 1 {
				t.Errorf("%d instances: the slots of %s are owned by %v", instances, service, ids)
			}
			for id := range ids {
				owned[id]++
			}
		}
		for id, n := range owned {
			if n > (6+instances-1)/instances {
				t.Errorf("%d instances: %s owns %d of 6 services", instances, id, n)
			}
		}
	}
}

// manyServices returns the model of instance i in a region with six services and the
// given number of instances.
func manyServices(t *testing.T, i, instances int) *decider.Model {
	t.Helper()
	d := configurer.Defaults{
		FleetSize: instances,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Teams:     []configurer.Team{{Name: "team-0", RatePerSecond: 1e6, Burst: 1e6, Weight: 1}},
	}
	for k := range 6 {
		name := fmt.Sprint("svc-", k)
		d.Services = append(d.Services, configurer.Service{Name: name, Timeout: configurer.Duration(time.Second), Endpoints: []configurer.Endpoint{
			{Address: fmt.Sprint("10.0.0.", k+1, ":1"), Region: "west", FailureDomain: "west-a", Slots: 3, MaxConnections: 60},
		}})
		d.Routes = append(d.Routes, configurer.Route{PathPrefix: fmt.Sprint("/", k, "/"), Service: name, OpenToAll: true})
	}
	c, err := configurer.New(configurer.Document{Defaults: d}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := decider.New(decider.WithSelf(decider.NewSelf(nodeName(i), "west", "west-a")))
	m.Update(faker.Epoch, decider.ConfigChanged{Config: c})
	m.Update(faker.Epoch, decider.KeysChanged{Keys: authenticator.NewKeyring([]authenticator.Record{{Digest: teamKey(0), Team: "team-0"}})})
	var peers []decider.Peer
	for p := range instances {
		peers = append(peers, decider.Peer{ID: nodeName(p), Region: "west"})
	}
	m.Update(faker.Epoch, decider.PeersChanged{Peers: peers})
	return m
}

// TestRemovedServiceRefusesQueuedRequests removes a service from the configuration while
// a request is queued for the service. The request must be refused, not stay queued.
func TestRemovedServiceRefusesQueuedRequests(t *testing.T) {
	m := manyServices(t, 0, 1)
	request := decider.RequestArrived{HasKey: true, Key: teamKey(0), Path: "/5/x"}
	for id := range uint64(4) {
		request.ID = id
		m.Update(faker.Epoch, request)
	}
	f := newFleet(t, topologies[0])
	m.Update(faker.Epoch, decider.ConfigChanged{Config: f.configure(t, 2, nil)})
	if r := onlyCommand[decider.Refuse](t, m.Update(faker.Epoch, decider.Ticked{})); r.Code != coder.NoUpstream || r.Ran != coder.NotRun {
		t.Errorf("got %#v", r)
	}
}

func TestReportedDrainIsNotRelayed(t *testing.T) {
	f := newFleet(t, topologies[0])
	now := f.world.Now()
	address := f.upstreams[0].address
	f.models[0].Update(now, decider.LoadReported{Service: "svc", Endpoint: address, Draining: true})
	loads := f.models[0].Loads(now)
	if len(loads) != 1 || !loads[0].Draining {
		t.Fatalf("got %v", loads)
	}
	f.models[1].Update(now, decider.PeerLoadsReported{Peer: nodeName(0), Loads: loads})
	if relayed := f.models[1].Loads(now); len(relayed) != 0 {
		t.Errorf("a drain reported by a peer was relayed: %v", relayed)
	}
	for id := range uint64(20) {
		request := decider.PassedRequestArrived{ID: id, Team: "team-0", Service: "svc", Deadline: now.Add(time.Second)}
		for _, cmd := range f.models[1].Update(now, request) {
			if c, ok := cmd.(decider.Forward); ok && c.Endpoint == address {
				t.Fatal("a draining endpoint got a new request")
			}
		}
	}
}
