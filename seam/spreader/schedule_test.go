package spreader_test

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

const (
	scheduleSeeds      = 40 // in CI; SEAM_SCHEDULES sets another number
	faultDuration      = 20 * time.Second
	settleTimeout      = time.Minute      // for the operators to finish after the faults end
	quietDuration      = 10 * time.Second // for the instances to receive the last change
	operators          = 4
	changesPerOperator = 3
)

// schedule is one simulation run from a seed: instances that hold copies of the
// store, operators that change the configuration at the same time, and faults.
type schedule struct {
	t                *testing.T
	seed             uint64
	world            *faker.World
	network          *faker.Network
	store            *faker.Store
	watchers         []spreader.Watcher
	nodes            []*node
	pastReads        []storer.Events
	installedObjects []storer.Object
	accepted         []string
	reversions       int
	faultsEnabled    bool
}

// node is a simulated instance. A crash replaces its model by a new one without objects.
type node struct {
	*schedule
	id, region string
	starts     uint64
	model      *spreader.Model
	installed  map[string]int64
	heldCalls  []func()
}

func newSchedule(t *testing.T, seed uint64) *schedule {
	w := faker.NewWorld(seed)
	n := faker.NewNetwork(w, faker.WithDelay(time.Millisecond, 300*time.Millisecond), faker.WithDuplicates(0.1))
	s := &schedule{t: t, seed: seed, world: w, network: n, store: faker.NewStore(w, n, 2*time.Second), faultsEnabled: true}
	for i := range 9 {
		nd := &node{schedule: s, id: fmt.Sprintf("n%d", i), region: fmt.Sprintf("r%d", i%3)}
		s.nodes = append(s.nodes, nd)
		if i < 6 {
			s.watchers = append(s.watchers, spreader.Watcher{ID: nd.id, Region: nd.region, Address: nd.id})
		}
	}
	for _, nd := range s.nodes {
		nd.start()
	}
	return s
}

// start creates an empty model, as a new process does.
func (n *node) start() {
	n.starts++
	n.model = spreader.New(spreader.WithSelf(n.id, n.region), spreader.WithIncarnation(n.starts), spreader.WithSeed(n.seed+n.starts))
	n.installed, n.heldCalls = map[string]int64{}, nil
	n.update(spreader.WatchersChanged{Watchers: n.watchers})
	n.tick()
}

func (n *node) tick() {
	n.update(spreader.Ticked{})
	n.world.After(n.id, 100*time.Millisecond, n.tick)
}

// update passes a message to the model and executes the commands it returns.
func (n *node) update(msg spreader.Msg) {
	for _, cmd := range n.model.Update(n.world.Now(), msg) {
		switch c := cmd.(type) {
		case spreader.Install:
			n.install(c.Objects)
		case spreader.ReadStore:
			n.read(c)
		case spreader.Follow:
			n.follow(c)
		}
	}
}

// install records the objects and answers the held calls of followers. It counts a
// reversion for each object that isn't newer than the version installed before.
func (n *node) install(objects []storer.Object) {
	for _, o := range objects {
		name := string(o.Kind) + "/" + o.Name
		if o.Version <= n.installed[name] {
			n.reversions++
		}
		n.installed[name] = o.Version
		n.installedObjects = append(n.installedObjects, o)
	}
	heldCalls := n.heldCalls
	n.heldCalls = nil
	for _, answer := range heldCalls {
		answer()
	}
}

// read executes a read of the store. While faults are enabled, it replaces some answers
// by the answer to an earlier read of the same kind, and reports some failures as a
// compacted position.
func (n *node) read(c spreader.ReadStore) {
	sent, starts := n.world.Now(), n.starts
	n.world.After(n.id, min(c.Wait, 300*time.Millisecond), func() {
		n.store.List(n.id, c.Kind, func(events storer.Events, err error) {
			if starts != n.starts {
				return
			}
			if err != nil {
				n.update(spreader.StoreFailed{Call: c, Compacted: n.faultsEnabled && n.world.Rand().IntN(4) == 0})
				return
			}
			n.pastReads = append(n.pastReads, events)
			if n.faultsEnabled && n.world.Rand().IntN(5) == 0 {
				if old := n.pastReads[n.world.Rand().IntN(len(n.pastReads))]; sameKind(old, c.Kind) {
					events = old
				}
			}
			n.update(spreader.StoreAnswered{Call: c, Sent: sent, Events: events})
		})
	})
}

func sameKind(events storer.Events, kind storer.Kind) bool {
	return len(events.Objects) > 0 && events.Objects[0].Kind == kind
}

// follow sends a request to a peer. The peer holds the request until the peer has
// updates or the request's wait has passed.
func (n *node) follow(c spreader.Follow) {
	sent, callEnded, starts := n.world.Now(), false, n.starts
	end := func(msg spreader.Msg) {
		// An answer to a process that has since crashed is lost.
		if !callEnded && starts == n.starts {
			callEnded = true
			n.update(msg)
		}
	}
	n.world.After(n.id, c.Request.Wait+time.Second, func() { end(spreader.PeerFailed{Call: c}) })
	peer := n.node(c.Peer.ID)
	n.network.Send(n.id, peer.id, func() {
		arrivedAt, answerSent := n.world.Now(), false
		answer := func() {
			if answerSent {
				return
			}
			answerSent = true
			a := peer.model.Answer(n.world.Now(), c.Request, n.world.Now().Sub(arrivedAt))
			n.network.Send(peer.id, n.id, func() { end(spreader.PeerAnswered{Call: c, Sent: sent, Answer: a}) })
		}
		if peer.model.HasUpdates(c.Request) || c.Request.Wait == 0 {
			answer()
			return
		}
		peer.heldCalls = append(peer.heldCalls, answer)
		n.world.After(peer.id, c.Request.Wait, answer)
	})
}

func (s *schedule) node(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	s.t.Fatalf("node %q doesn't exist", id)
	return nil
}

// injectFault causes or ends one random fault and schedules the next.
func (s *schedule) injectFault() {
	if !s.faultsEnabled {
		return
	}
	rng := s.world.Rand()
	n := s.nodes[rng.IntN(len(s.nodes))]
	switch rng.IntN(7) {
	case 0:
		s.world.Crash(n.id)
		n.start()
	case 1:
		s.world.Pause(n.id)
		s.world.After("", time.Duration(rng.IntN(4000))*time.Millisecond, func() { s.world.Resume(n.id) })
	case 2:
		s.store.SetDown(rng.IntN(2) == 0)
	case 3:
		s.store.LoseAnswers(1 + rng.IntN(2))
	case 4:
		s.network.SetCut(n.id, s.nodes[rng.IntN(len(s.nodes))].id, true)
	case 5:
		s.network.ClearCuts()
	case 6:
		if len(s.installedObjects) > 0 { // replay an object that was installed before
			n.update(spreader.Offered{Objects: []storer.Object{s.installedObjects[rng.IntN(len(s.installedObjects))]}})
		}
	}
	s.world.After("", time.Duration(rng.IntN(700))*time.Millisecond, s.injectFault)
}

// operator runs an applier as a coroutine within the simulation. It implements the
// applier's store and clock: each call to the store and each wait suspends the
// coroutine until the simulation has the result.
type operator struct {
	clockwork.Clock
	*schedule
	name  string
	yield func(func(func())) bool
}

// run starts work as a coroutine. Each value that the coroutine yields is a function,
// which run calls with a callback. The function calls the callback when its result is
// there, which resumes the coroutine.
func (o *operator) run(work func()) {
	next, _ := iter.Pull(func(yield func(func(func())) bool) {
		o.yield = yield
		work()
	})
	var step func()
	step = func() {
		if call, ok := next(); ok {
			call(step)
		}
	}
	o.world.After("", 0, step)
}

func (o *operator) Now() time.Time { return o.world.Now() }

func (o *operator) After(d time.Duration) <-chan time.Time {
	o.yield(func(done func()) { o.world.After("", d, done) })
	ready := make(chan time.Time, 1)
	ready <- o.world.Now()
	return ready
}

func (o *operator) List(_ context.Context, kind storer.Kind) (events storer.Events, err error) {
	o.yield(func(done func()) {
		o.store.List(o.name, kind, func(e storer.Events, failed error) { events, err = e, failed; done() })
	})
	return events, err
}

func (o *operator) Get(ctx context.Context, kind storer.Kind, name string) (storer.Object, error) {
	events, err := o.List(ctx, kind)
	for _, object := range events.Objects {
		if object.Name == name {
			return object, nil
		}
	}
	if err == nil {
		err = coder.Errorf(coder.StoreNotFound, name, "the store has no such object")
	}
	return storer.Object{}, err
}

func (o *operator) Put(_ context.Context, object storer.Object) (written storer.Object, err error) {
	o.yield(func(done func()) {
		o.store.Put(o.name, object, func(w storer.Object, failed error) { written, err = w, failed; done() })
	})
	return written, err
}

func (o *operator) Watch(context.Context, storer.Kind, int64, time.Duration) (storer.Events, error) {
	return storer.Events{}, nil
}

func (o *operator) Instances(context.Context) ([]storer.Instance, error) { return nil, nil }

// applyChanges adds exceptions to the configuration one by one, each based on the
// version currently in the store, until all are accepted. After a conflict it
// proposes the change again on the new version.
func (o *operator) applyChanges() {
	a := applier.New(o, applier.WithClock(o), applier.WithSeed(o.seed))
	for n := 0; n < changesPerOperator; {
		current, err := a.Current(context.Background())
		if err != nil {
			o.After(time.Second)
			continue
		}
		reason := fmt.Sprintf("%s change %d", o.name, n)
		doc := current.Document
		doc.Exceptions = append(append([]configurer.Exception(nil), doc.Exceptions...), configurer.Exception{
			Reason: reason, Scope: configurer.Scope{Team: "crew"},
		})
		p := applier.Proposal{ID: reason + proposalSuffix(current), Operator: o.name, Base: current.Sequence(), Document: doc}
		if _, err = a.Apply(context.Background(), p); err == nil {
			o.accepted = append(o.accepted, reason)
			n++
		} else if coder.CodeOf(err) != coder.ConfigConflict {
			o.t.Errorf("seed %d: %v", o.seed, err)
			return
		}
	}
}

// proposalSuffix makes proposal ids unique when a change is proposed again.
func proposalSuffix(c applier.Current) string { return " on " + strconv.FormatInt(c.Sequence(), 10) }

// run stores a first configuration, runs operators and faults together, then ends
// the faults and waits until the operators have finished and all instances had
// time to receive the last change.
func (s *schedule) run() {
	first, err := json.Marshal(configurer.Stored{Document: document(), Change: &configurer.Change{ID: "first", Sequence: 1}})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("", storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Value: first}, func(storer.Object, error) {})
	s.world.Run(time.Second)
	s.network.SetLoss(0.05)
	for i := range operators {
		o := &operator{schedule: s, name: fmt.Sprintf("operator-%d", i)}
		o.run(o.applyChanges)
	}
	s.injectFault()
	s.world.Run(faultDuration)
	s.faultsEnabled = false
	s.store.SetDown(false)
	s.store.LoseAnswers(0)
	s.network.SetLoss(0)
	s.network.ClearCuts()
	for waited := time.Duration(0); waited < settleTimeout && len(s.accepted) < operators*changesPerOperator; waited += time.Second {
		s.world.Run(time.Second)
	}
	s.world.Run(quietDuration)
}

// check verifies that no instance reverted to an older version, that the stored
// configuration contains every accepted change exactly once, and that all
// instances hold its version.
func (s *schedule) check() {
	if s.reversions != 0 {
		s.t.Errorf("seed %d: %d installed objects were not newer than the version before", s.seed, s.reversions)
	}
	o, _ := s.store.Object(storer.KindConfig, storer.ConfigName)
	stored, err := configurer.ParseStored(o.Value)
	if err != nil {
		s.t.Fatal(err)
	}
	present := map[string]int{}
	for _, e := range stored.Exceptions {
		present[e.Reason]++
	}
	for _, reason := range s.accepted {
		if present[reason] != 1 {
			s.t.Errorf("seed %d: accepted change %q is stored %d times", s.seed, reason, present[reason])
		}
	}
	if len(s.accepted) != operators*changesPerOperator {
		s.t.Errorf("seed %d: only %d changes were accepted", s.seed, len(s.accepted))
	}
	for _, n := range s.nodes {
		if v := n.model.Version(storer.KindConfig, storer.ConfigName); v != o.Version {
			s.t.Errorf("seed %d: %s holds configuration version %d; want %d", s.seed, n.id, v, o.Version)
		}
	}
}

func offered(o storer.Object) spreader.Msg { return spreader.Offered{Objects: []storer.Object{o}} }

// document returns a valid configuration for the simulated fleet.
func document() configurer.Document {
	return configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 9,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{
			Name: "lessons", Timeout: configurer.Duration(time.Second),
			Endpoints: []configurer.Endpoint{{Address: "10.0.0.1:9000", Region: "west", FailureDomain: "west-a", Slots: 3, MaxConnections: 9}},
		}},
		Routes: []configurer.Route{{PathPrefix: "/lessons/", Service: "lessons", OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: 10, Burst: 5, Weight: 1}},
	}}
}

// TestVersionsNeverGoBackAndAcceptedChangesStay simulates random faults (crashes,
// pauses, store outages, lost answers, network partitions, stale reads and replayed
// messages). An instance must never go back to an older version. The stored
// configuration must contain every accepted change exactly once.
func TestVersionsNeverGoBackAndAcceptedChangesStay(t *testing.T) {
	seeds := scheduleSeeds
	if n, err := strconv.Atoi(os.Getenv("SEAM_SCHEDULES")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		s := newSchedule(t, uint64(seed))
		s.run()
		s.check()
		if t.Failed() {
			return
		}
	}
}
