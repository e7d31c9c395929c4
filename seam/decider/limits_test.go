package decider

import (
	"testing"
	"time"

	"primroseseam.org/seam/configurer"
)

func TestLinkAndSlotReservations(t *testing.T) {
	c, err := configurer.New(configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 1,
		Regions: []configurer.Region{
			{Name: "east", FailureDomains: []string{"east-a"}, SlotsForOthers: 1},
			{Name: "west", FailureDomains: []string{"west-a"}},
		},
		Links: []configurer.Link{{From: "west", To: "east", CapBytesPerSecond: 100, BurstBytes: 1000}},
		Services: []configurer.Service{{Name: "payments", Timeout: configurer.Duration(time.Second), Endpoints: []configurer.Endpoint{
			{Address: "10.0.0.1:9000", Region: "east", FailureDomain: "east-a", Slots: 1, MaxConnections: 10},
		}}},
		Routes: []configurer.Route{{PathPrefix: "/", Service: "payments", OpenToAll: true}},
	}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := New(WithSelf(NewSelf("a", "west", "west-a")))
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	m.Update(now, ConfigChanged{Config: c})
	hold, ok := m.reserveLinkBytes(now, "west", "east", 600)
	if _, again := m.reserveLinkBytes(now, "west", "east", 600); !ok || again {
		t.Fatalf("took %v, again %v", ok, again)
	}
	m.settleLinkBytes(now, hold, 300)
	if _, ok := m.reserveLinkBytes(now, "west", "east", 700); !ok {
		t.Fatal("unused bytes were not returned")
	}
	slot, ok := m.takeRemoteSlot(now, "east", now.Add(time.Second))
	if _, again := m.takeRemoteSlot(now, "east", now.Add(time.Second)); !ok || again {
		t.Fatalf("took %v, again %v", ok, again)
	}
	m.freeRemoteSlot(now, slot)
	if _, ok := m.takeRemoteSlot(now, "east", now.Add(time.Second)); !ok {
		t.Fatal("a freed slot was not returned")
	}
}
