package gossiper_test

import (
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/rehearser"
)

var tenInstances = rehearser.Shape{Regions: 3, Domains: 2, Instances: 10, Services: 3}

// longer returns the greater bound if SEAM_WHOLE asks for whole runs.
func longer[T any](short, long T) T {
	if os.Getenv("SEAM_WHOLE") != "" {
		return long
	}
	return short
}

// joined starts a fleet and waits until everybody knows everybody.
func joined(t *testing.T, seed uint64, shape rehearser.Shape, opts ...faker.NetworkOption) *rehearser.Fleet {
	t.Helper()
	f := rehearser.NewFleet(seed, shape, opts...)
	took, ok := f.Until(20*time.Second, func() bool { return everybody(f, func(id string) bool { return f.Usable(id) == shape.Instances }) })
	if !ok {
		t.Fatal("the fleet did not come together")
	}
	t.Logf("joined after %v", took)
	return f
}

func everybody(f *rehearser.Fleet, holds func(id string) bool) bool {
	for _, id := range f.IDs() {
		if !holds(id) {
			return false
		}
	}
	return true
}

// within fails the test unless all others hold a status of an instance in time.
func within(t *testing.T, f *rehearser.Fleet, limit time.Duration, about string, status gossiper.Status) {
	t.Helper()
	took, ok := f.Until(limit, func() bool {
		return everybody(f, func(id string) bool { return id == about || f.Believes(id, about) == status })
	})
	if !ok {
		t.Errorf("not everybody held %s %v within %v", about, status, limit)
	}
	t.Logf("%s %v everywhere after %v", about, status, took)
}

func TestLeavingAndCrashedInstancesAreGoneInTime(t *testing.T) {
	for seed := range longer(uint64(2), 100) {
		f := joined(t, seed, tenInstances)
		f.Leave("r0-d1-i0", 3*time.Second)
		within(t, f, time.Second, "r0-d1-i0", gossiper.Leaving)
		f.Crash("r1-d0-i0")
		within(t, f, 8*time.Second, "r1-d0-i0", gossiper.Dead)
		f.Start("r1-d0-i0")
		within(t, f, 5*time.Second, "r1-d0-i0", gossiper.Alive)
	}
}

func TestLossMakesNobodyDead(t *testing.T) {
	length := longer(time.Minute, time.Hour)
	f := joined(t, 1, tenInstances, faker.WithLoss(0.05))
	f.World.Run(length)
	var suspicions, refutations int
	for _, id := range f.IDs() {
		suspicions += f.Node(id).Model().Stats().Suspicions
		refutations += f.Node(id).Model().Stats().Refutations
	}
	t.Logf("%v at 5%% loss: %d suspicions, %d refutations, %d false deaths", length, suspicions, refutations, f.Deaths())
	if f.Deaths() != 0 {
		t.Fatalf("%d false deaths", f.Deaths())
	}
}

func TestPausedInstanceThatWakesDoesNoHarm(t *testing.T) {
	f := joined(t, 3, tenInstances)
	deaths := f.Deaths()
	f.World.Pause("r0-d1-i0")
	f.World.Run(30 * time.Second)
	held := f.Deaths() - deaths
	if held == 0 {
		t.Fatal("nobody missed the paused instance")
	}
	f.World.Resume("r0-d1-i0")
	within(t, f, 6*time.Second, "r0-d1-i0", gossiper.Alive)
	if f.Node("r0-d1-i0").Model().Stats().Deaths != 0 || f.Deaths()-deaths != held {
		t.Fatal("the instance that woke declared others dead")
	}
}

func TestPausedInstanceLearnsOfItsSuccessor(t *testing.T) {
	f := joined(t, 4, tenInstances)
	old := f.Node("r2-d0-i0").Model()
	successor := old.Self()
	successor.Incarnation += uint64(time.Minute)
	successor.PeerAddress = "peer/r2-d1-i0"
	now := f.World.Now()
	cmds := old.Update(now, gossiper.HeartbeatArrived{Heartbeat: gossiper.Heartbeat{
		Sender: f.Node("r1-d1-i0").Model().Self(), Words: []gossiper.Member{successor},
	}})
	check := findCall(t, cmds, successor.PeerAddress)
	cmds = old.Update(now, gossiper.AnswerArrived{ID: check.ID, Heartbeat: gossiper.Heartbeat{Sender: successor}})
	if _, ok := cmds[0].(gossiper.Superseded); !ok {
		t.Fatalf("got %#v", cmds)
	}
	cmds = old.Update(now, gossiper.HeartbeatArrived{Heartbeat: gossiper.Heartbeat{
		Sender: f.Node("r1-d1-i0").Model().Self(), Words: []gossiper.Member{successor},
	}})
	check = findCall(t, cmds, successor.PeerAddress)
	old.Update(now, gossiper.CallFailed{ID: check.ID})
	if old.Self().Incarnation <= successor.Incarnation {
		t.Fatal("a start with a slow clock did not overrule the one before it")
	}
}

func findCall(t *testing.T, cmds []gossiper.Cmd, address string) gossiper.Call {
	t.Helper()
	for _, cmd := range cmds {
		if c, ok := cmd.(gossiper.Call); ok && c.Address == address {
			return c
		}
	}
	t.Fatalf("no call to %s in %v", address, cmds)
	return gossiper.Call{}
}

func TestRegionsThatLoseEachOtherFindBack(t *testing.T) {
	f := joined(t, 5, tenInstances)
	f.CutRegion("r2", true)
	f.World.Run(3 * time.Minute)
	if got := f.Usable("r0-d0-i0"); got != 7 {
		t.Errorf("outside, %d instances are in use instead of 7", got)
	}
	if got := f.Usable("r2-d0-i0"); got != 3 {
		t.Errorf("inside, %d instances are in use instead of 3", got)
	}
	f.CutRegion("r2", false)
	took, ok := f.Until(10*time.Second, func() bool {
		return everybody(f, func(id string) bool { return f.Usable(id) == tenInstances.Instances })
	})
	t.Logf("together again after %v", took)
	if !ok || f.Deaths() != 0 {
		t.Fatalf("together %v, deaths %d", ok, f.Deaths())
	}
}

func TestHeartbeatKeepsEverythingOnItsWay(t *testing.T) {
	f := joined(t, 6, tenInstances)
	cmds := f.Node("r0-d0-i0").Model().Update(f.World.Now(), gossiper.LeaveRequested{})
	for _, cmd := range cmds {
		c, ok := cmd.(gossiper.Call)
		if !ok {
			continue
		}
		got := gossiper.FromProto(c.Heartbeat.Proto())
		if got.Sender != c.Heartbeat.Sender || len(got.Load.Services) != len(c.Heartbeat.Load.Services) ||
			len(got.Words) != len(c.Heartbeat.Words) || len(got.Regions) != len(c.Heartbeat.Regions) || got.Size() != c.Heartbeat.Size() {
			t.Fatalf("sent %#v, got %#v", c.Heartbeat, got)
		}
		exact := proto.Size(c.Heartbeat.Proto())
		if estimate := c.Heartbeat.Size() - gossiper.CallOverhead; estimate < exact*9/10 || estimate > exact*11/10 {
			t.Fatalf("estimated %d bytes for %d", estimate, exact)
		}
	}
}

func TestNoRegionSeemsSilentInALargerFleet(t *testing.T) {
	f := joined(t, 7, rehearser.Shape{Regions: 8, Domains: 3, Instances: longer(64, 240), Services: 3})
	for range longer(10, 300) {
		f.World.Run(time.Second)
		for _, id := range f.IDs() {
			if silent := f.Node(id).View().SilentRegions; len(silent) > 0 {
				t.Fatalf("at %s, %v seem silent", id, silent)
			}
		}
	}
	if f.Deaths() > 0 {
		t.Fatalf("%d false deaths", f.Deaths())
	}
}
