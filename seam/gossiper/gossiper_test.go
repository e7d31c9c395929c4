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

// longer returns long if the environment variable SEAM_WHOLE is set, and short otherwise.
func longer[T any](short, long T) T {
	if os.Getenv("SEAM_WHOLE") != "" {
		return long
	}
	return short
}

// newJoinedFleet starts a fleet and waits until every instance has all others as members.
func newJoinedFleet(t *testing.T, seed uint64, shape rehearser.Shape, opts ...faker.NetworkOption) *rehearser.Fleet {
	t.Helper()
	f := rehearser.NewFleet(seed, shape, opts...)
	took, ok := f.RunUntil(20*time.Second, func() bool {
		return allInstances(f, func(id string) bool { return f.CountUsable(id) == shape.Instances })
	})
	if !ok {
		t.Fatal("not every instance has all others as members after 20 s")
	}
	t.Logf("joined after %v", took)
	return f
}

func allInstances(f *rehearser.Fleet, holds func(id string) bool) bool {
	for _, id := range f.IDs() {
		if !holds(id) {
			return false
		}
	}
	return true
}

// expectStatus fails the test unless, within limit, every instance except subjectID itself
// holds the instance subjectID in the given status.
func expectStatus(t *testing.T, f *rehearser.Fleet, limit time.Duration, subjectID string, status gossiper.Status) {
	t.Helper()
	took, ok := f.RunUntil(limit, func() bool {
		return allInstances(f, func(id string) bool { return id == subjectID || f.StatusSeenBy(id, subjectID) == status })
	})
	if !ok {
		t.Errorf("not every instance held %s %v within %v", subjectID, status, limit)
	}
	t.Logf("all instances hold %s %v after %v", subjectID, status, took)
}

func TestLeavingAndCrashedInstancesAreDetectedInTime(t *testing.T) {
	for seed := range longer(uint64(2), 100) {
		f := newJoinedFleet(t, seed, tenInstances)
		f.Leave("r0-d1-i0", 3*time.Second)
		expectStatus(t, f, time.Second, "r0-d1-i0", gossiper.Leaving)
		f.Crash("r1-d0-i0")
		expectStatus(t, f, 8*time.Second, "r1-d0-i0", gossiper.Dead)
		f.Start("r1-d0-i0")
		expectStatus(t, f, 5*time.Second, "r1-d0-i0", gossiper.Alive)
	}
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	length := longer(time.Minute, time.Hour)
	f := newJoinedFleet(t, 1, tenInstances, faker.WithLoss(0.05))
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

// An instance whose process was paused has missed the answers of its peers. After the
// pause it must not declare these peers dead, and the peers, which declared the instance
// dead, must hold it alive again.
func TestResumedInstanceDeclaresNobodyDead(t *testing.T) {
	f := newJoinedFleet(t, 3, tenInstances)
	deaths := f.Deaths()
	f.World.Pause("r0-d1-i0")
	f.World.Run(30 * time.Second)
	declared := f.Deaths() - deaths
	if declared == 0 {
		t.Fatal("no instance declared the paused one dead")
	}
	f.World.Resume("r0-d1-i0")
	expectStatus(t, f, 6*time.Second, "r0-d1-i0", gossiper.Alive)
	if f.Node("r0-d1-i0").Model().Stats().Deaths != 0 || f.Deaths()-deaths != declared {
		t.Fatal("the resumed instance declared others dead, or was declared dead again")
	}
}

// An instance receives an update with its own id and a greater incarnation, and calls the
// address in the update. If a later start answers the call, the instance must stop. If the
// call fails, the update came from an earlier process whose clock was ahead, and the
// instance must raise its incarnation.
func TestPausedInstanceLearnsOfItsSuccessor(t *testing.T) {
	f := newJoinedFleet(t, 4, tenInstances)
	old := f.Node("r2-d0-i0").Model()
	successor := old.Self()
	successor.Incarnation += uint64(time.Minute)
	successor.PeerAddress = "peer/r2-d1-i0"
	now := f.World.Now()
	cmds := old.Update(now, gossiper.HeartbeatArrived{Heartbeat: gossiper.Heartbeat{
		Sender: f.Node("r1-d1-i0").Model().Self(), Updates: []gossiper.Member{successor},
	}})
	checkCall := findCall(t, cmds, successor.PeerAddress)
	cmds = old.Update(now, gossiper.AnswerArrived{ID: checkCall.ID, Heartbeat: gossiper.Heartbeat{Sender: successor}})
	if _, ok := cmds[0].(gossiper.Superseded); !ok {
		t.Fatalf("got %#v", cmds)
	}
	cmds = old.Update(now, gossiper.HeartbeatArrived{Heartbeat: gossiper.Heartbeat{
		Sender: f.Node("r1-d1-i0").Model().Self(), Updates: []gossiper.Member{successor},
	}})
	checkCall = findCall(t, cmds, successor.PeerAddress)
	old.Update(now, gossiper.CallFailed{ID: checkCall.ID})
	if old.Self().Incarnation <= successor.Incarnation {
		t.Fatal("a start with a slow clock did not raise its incarnation above the earlier start's")
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

func TestRegionsRejoinAfterPartition(t *testing.T) {
	f := newJoinedFleet(t, 5, tenInstances)
	f.CutRegion("r2", true)
	f.World.Run(3 * time.Minute)
	if got := f.CountUsable("r0-d0-i0"); got != 7 {
		t.Errorf("outside the cut region, %d instances are usable, want 7", got)
	}
	if got := f.CountUsable("r2-d0-i0"); got != 3 {
		t.Errorf("inside the cut region, %d instances are usable, want 3", got)
	}
	f.CutRegion("r2", false)
	took, ok := f.RunUntil(10*time.Second, func() bool {
		return allInstances(f, func(id string) bool { return f.CountUsable(id) == tenInstances.Instances })
	})
	t.Logf("rejoined after %v", took)
	if !ok || f.Deaths() != 0 {
		t.Fatalf("rejoined %v, %d false deaths", ok, f.Deaths())
	}
}

func TestHeartbeatSurvivesEncoding(t *testing.T) {
	f := newJoinedFleet(t, 6, tenInstances)
	cmds := f.Node("r0-d0-i0").Model().Update(f.World.Now(), gossiper.LeaveRequested{})
	for _, cmd := range cmds {
		c, ok := cmd.(gossiper.Call)
		if !ok {
			continue
		}
		got := gossiper.FromProto(c.Heartbeat.Proto())
		if got.Sender != c.Heartbeat.Sender || len(got.Load.Services) != len(c.Heartbeat.Load.Services) ||
			len(got.Updates) != len(c.Heartbeat.Updates) || len(got.Regions) != len(c.Heartbeat.Regions) || got.Size() != c.Heartbeat.Size() {
			t.Fatalf("sent %#v, decoded %#v", c.Heartbeat, got)
		}
		exact := proto.Size(c.Heartbeat.Proto())
		if estimate := c.Heartbeat.Size() - gossiper.CallOverhead; estimate < exact*9/10 || estimate > exact*11/10 {
			t.Fatalf("estimated %d bytes, encoded size is %d", estimate, exact)
		}
	}
}

func TestNoRegionSeemsSilentInALargerFleet(t *testing.T) {
	f := newJoinedFleet(t, 7, rehearser.Shape{Regions: 8, Domains: 3, Instances: longer(64, 240), Services: 3})
	for range longer(10, 300) {
		f.World.Run(time.Second)
		for _, id := range f.IDs() {
			if silent := f.Node(id).View().SilentRegions; len(silent) > 0 {
				t.Fatalf("instance %s counts regions %v as silent", id, silent)
			}
		}
	}
	if f.Deaths() > 0 {
		t.Fatalf("%d false deaths", f.Deaths())
	}
}
