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

// sizedModel returns the model of an instance with the given numbers of endpoints and
// teams. Each endpoint has 3 slots, and the team rates are too high to limit anything.
func sizedModel(b *testing.B, endpoints, teams int) *decider.Model {
	b.Helper()
	svc := configurer.Service{Name: "svc", Timeout: configurer.Duration(2 * time.Second)}
	for i := range endpoints {
		svc.Endpoints = append(svc.Endpoints, configurer.Endpoint{
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), Region: "west", FailureDomain: "west-a",
			Slots: 3, MaxConnections: 360,
		})
	}
	d := configurer.Defaults{
		FleetSize: 1,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services:  []configurer.Service{svc},
		Routes:    []configurer.Route{{PathPrefix: "/", Service: "svc", OpenToAll: true}},
	}
	var records []authenticator.Record
	for i := range teams {
		name := fmt.Sprint("team-", i)
		d.Teams = append(d.Teams, configurer.Team{Name: name, RatePerSecond: 1e9, Burst: 1e9, Weight: 1})
		records = append(records, authenticator.Record{Digest: teamKey(i), Team: name})
	}
	c, err := configurer.New(configurer.Document{Defaults: d}, 1)
	if err != nil {
		b.Fatal(err)
	}
	m := decider.New(decider.WithSelf(decider.NewSelf("a", "west", "west-a")))
	m.Update(faker.Epoch, decider.ConfigChanged{Config: c})
	m.Update(faker.Epoch, decider.KeysChanged{Keys: authenticator.NewKeyring(records)})
	return m
}

// BenchmarkDecision measures the time of all decisions for one request, from its arrival
// to its end. backlog is the number of queued requests. If it isn't 0, all slots are in
// use and each new request is queued.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ endpoints, teams, backlog int }{
		{10, 8, 0},
		{100, 8, 0},
		{1000, 8, 0},
		{10, 500, 0},
		{10, 8, 200},
		{100, 8, 200},
		{1000, 8, 200},
		{10, 500, 200},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d/backlog=%d", size.endpoints, size.teams, size.backlog), func(b *testing.B) {
			m := sizedModel(b, size.endpoints, size.teams)
			keys := make([]authenticator.Digest, size.teams)
			for i := range keys {
				keys[i] = teamKey(i)
			}
			now := faker.Epoch
			var open []decider.Forward
			id := uint64(0)
			arrive := func() {
				id++
				for _, cmd := range m.Update(now, decider.RequestArrived{ID: id, HasKey: true, Key: keys[int(id)%len(keys)], Path: "/x", Repeatable: true}) {
					if f, ok := cmd.(decider.Forward); ok {
						open = append(open, f)
					}
				}
			}
			for range size.backlog {
				arrive()
			}
			if size.backlog > 0 {
				for range size.endpoints * 3 {
					arrive()
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				arrive()
				f := open[0]
				open = open[1:]
				end := decider.ForwardEnded{ID: f.ID, Endpoint: f.Endpoint, Ran: coder.HasRun, Committed: true}
				for _, cmd := range m.Update(now, end) {
					if next, ok := cmd.(decider.Forward); ok {
						open = append(open, next)
					}
				}
			}
		})
	}
}
