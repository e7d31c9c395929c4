package conductor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primroseseam.org/seam/placer"
)

// The running total of the demand at other instances must equal the sum over the peers
// that aren't silent, whatever heartbeats arrive, are lost or come from a new lifetime.
func TestDemandTotalsEqualTheSumOverPeers(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	m := New(WithSelf("self", "zone-1", map[string]string{"zone-1": "region-1"}))
	now := time.Unix(1000, 0)
	sequenceNumbers := map[string]uint64{}
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
		id := fmt.Sprint("peer-", rng.IntN(9))
		sequenceNumbers[id]++
		hb := Heartbeat{ID: id, StartedAtMs: 1 + int64(rng.IntN(2)), SequenceNumber: sequenceNumbers[id], FullDemand: rng.IntN(4) == 0}
		for range rng.IntN(4) {
			hb.Demand = append(hb.Demand, Demand{Team: uint32(rng.IntN(5)), TenthsPerSecond: uint32(rng.IntN(100))})
		}
		m.Update(now, HeartbeatReceived{Heartbeat: hb})
		if rng.IntN(40) == 0 {
			now = now.Add(time.Duration(rng.IntN(70)) * time.Second)
		}
		m.Update(now, Ticked{})
		for team := range uint32(5) {
			want := int64(0)
			for _, p := range m.peers {
				if !p.silent {
					want += int64(p.demandByTeam[team])
				}
			}
			if m.demand[team] != want {
				t.Fatalf("team %d: total %d, want %d", team, m.demand[team], want)
			}
		}
		if want := len(m.peers) + 1; m.knownInstances != want {
			t.Fatalf("%d known instances, want %d", m.knownInstances, want)
		}
	}
}

// An instance must know at once which cold endpoints it owns after another one has left.
func TestOwnershipFollowsTheLiveInstances(t *testing.T) {
	m := New(WithSelf("self", "zone-1", map[string]string{"zone-1": "region-1"}))
	now := time.Unix(1000, 0)
	hb := Heartbeat{ID: "other", Region: "region-1", StartedAtMs: 1, SequenceNumber: 1}
	m.Update(now, HeartbeatReceived{Heartbeat: hb})
	endpoint := uint32(0)
	for m.standing("region-1", endpoint).Rank == 0 {
		endpoint = placer.Hash32(fmt.Sprint(endpoint))
	}
	hb.SequenceNumber, hb.Leaving = 2, true
	m.Update(now, HeartbeatReceived{Heartbeat: hb})
	if m.standing("region-1", endpoint).Rank != 0 {
		t.Error("the endpoint of an instance that leaves has no owner")
	}
}
