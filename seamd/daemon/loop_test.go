package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/loader"
)

// BenchmarkLoop measures the decision loop's time for one request, from its arrival to
// the end of its answer, without network I/O.
func BenchmarkLoop(b *testing.B) {
	c, err := configurer.New(configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 1,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{Name: "lessons", Timeout: configurer.Duration(time.Second), Endpoints: []configurer.Endpoint{
			{Address: "10.0.0.1:9000", Region: "west", FailureDomain: "west-a", Slots: 100, MaxConnections: 100},
			{Address: "10.0.0.2:9000", Region: "west", FailureDomain: "west-a", Slots: 100, MaxConnections: 100},
		}}},
		Routes: []configurer.Route{{PathPrefix: "/lessons/", Service: "lessons", OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: 1e9, Burst: 1e9, Weight: 1}},
	}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	key := authenticator.DigestOf("a key of the crew")
	clock := clockwork.NewRealClock()
	model := decider.New(decider.WithSelf(decider.NewSelf("a", "west", "west-a")))
	model.Update(clock.Now(), decider.ConfigChanged{Config: c})
	model.Update(clock.Now(), decider.KeysChanged{Keys: authenticator.NewKeyring([]authenticator.Record{{Digest: key, Team: "crew"}})})
	model.Update(clock.Now(), decider.KeyEvidence{At: clock.Now()})
	l := newLoop(model, clock, newDecisionLog(zap.NewNop(), loader.Sampling{}), newMeters(metrics.NewSet()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.run(ctx)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		cmd := <-l.request(id, decider.RequestArrived{ID: id, HasKey: true, Key: key, Path: "/lessons/1", Repeatable: true})
		forward, ok := cmd.(decider.Forward)
		if !ok {
			b.Fatalf("got %#v", cmd)
		}
		l.send(decider.ForwardEnded{ID: id, Endpoint: forward.Endpoint, Result: coder.OK, Ran: coder.HasRun, Committed: true})
		l.endDelivery(id)
	}
}
