package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/gossiper"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/storer"
)

const (
	// memberTick is the time between two looks for heartbeats that are due.
	memberTick = 100 * time.Millisecond
	// memberAnswerTimeout bounds how long a heartbeat may wait for its answer.
	memberAnswerTimeout = 2 * time.Second
)

// membership owns the model of who is alive and carries its commands out.
type membership struct {
	daemon *Daemon
	log    *zap.Logger

	mu      sync.Mutex
	model   *gossiper.Model
	answers map[uint64]chan gossiper.Heartbeat
	token   uint64
	ended   bool

	view         atomic.Pointer[gossiper.View]
	listed       atomic.Pointer[[]storer.Instance]
	storeContact atomic.Int64
	superseded   chan struct{}
	calls        sync.WaitGroup

	steering        steering
	publishedConfig *configurer.Config
	publishedList   *[]storer.Instance

	sent     *metrics.Counter
	received *metrics.Counter
}

func newMembership(d *Daemon, seed uint64) *membership {
	opts := []gossiper.Option{gossiper.WithSeed(seed), gossiper.WithSeeds(d.settings.Peers...)}
	if bytes := d.settings.Membership.BytesPerSecond; bytes > 0 {
		opts = append(opts, gossiper.WithBytesPerSecond(bytes))
	}
	s := &membership{
		daemon:     d,
		log:        d.log.Named("member"),
		model:      gossiper.New(d.member(), opts...),
		answers:    map[uint64]chan gossiper.Heartbeat{},
		superseded: make(chan struct{}),
		steering:   steering{steps: steerer.NewController(d.settings.Instance.Region)},
		sent:       d.metrics.NewCounter("seam_membership_sent_bytes_total"),
		received:   d.metrics.NewCounter("seam_membership_received_bytes_total"),
	}
	s.view.Store(&gossiper.View{Members: []gossiper.Member{s.model.Self()}})
	s.exportStats()
	return s
}

// member describes this instance to peers.
func (d *Daemon) member() gossiper.Member {
	return gossiper.Member{
		ID:            d.settings.Instance.ID,
		Incarnation:   d.incarnation,
		Region:        d.settings.Instance.Region,
		FailureDomain: d.settings.Instance.FailureDomain,
		CallerAddress: d.CallerAddress(),
		LookupAddress: d.LookupAddress(),
		PeerAddress:   d.PeerAddress(),
	}
}

func (s *membership) exportStats() {
	stats := map[string]func(gossiper.Stats) int{
		"seam_membership_calls_total":       func(t gossiper.Stats) int { return t.Calls },
		"seam_membership_failures_total":    func(t gossiper.Stats) int { return t.Failures },
		"seam_membership_suspicions_total":  func(t gossiper.Stats) int { return t.Suspicions },
		"seam_membership_deaths_total":      func(t gossiper.Stats) int { return t.Deaths },
		"seam_membership_refutations_total": func(t gossiper.Stats) int { return t.Refutations },
		"seam_membership_pauses_total":      func(t gossiper.Stats) int { return t.Pauses },
		"seam_membership_syncs_total":       func(t gossiper.Stats) int { return t.Syncs },
	}
	for name, value := range stats {
		s.daemon.metrics.NewGauge(name, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(value(s.model.Stats()))
		})
	}
	s.daemon.metrics.NewGauge("seam_membership_members", func() float64 {
		return float64(len(s.usable()))
	})
}

// run sends heartbeats until ctx ends, then waits for those in progress.
func (s *membership) run(ctx context.Context) {
	ticker := s.daemon.clock.NewTicker(memberTick)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		s.update(gossiper.LoadMeasured{Load: s.ownLoad()})
		s.update(gossiper.Ticked{})
		s.publishNews()
		select {
		case <-ctx.Done():
			s.end()
			return
		case <-ticker.Chan():
		}
	}
}

// publishNews publishes anew if the configuration or the platform's list changed.
func (s *membership) publishNews() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.steer(s.daemon.clock.Now())
	config, listed := s.daemon.config.Load(), s.listed.Load()
	if config == s.publishedConfig && listed == s.publishedList {
		return
	}
	s.publishedConfig, s.publishedList = config, listed
	s.publish()
}

// leave tells peers that this instance shuts down.
func (s *membership) leave() { s.update(gossiper.LeaveRequested{}) }

// end silences the instance as a crash would.
func (s *membership) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// update gives the model a message and carries its commands out.
func (s *membership) update(msg gossiper.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	for _, cmd := range s.model.Update(s.daemon.clock.Now(), msg) {
		s.carryOut(cmd)
	}
}

func (s *membership) carryOut(cmd gossiper.Cmd) {
	switch c := cmd.(type) {
	case gossiper.Call:
		s.calls.Go(func() { s.call(s.daemon.work, c) })
	case gossiper.Answer:
		if reply, ok := s.answers[c.Token]; ok {
			delete(s.answers, c.Token)
			reply <- c.Heartbeat
		}
	case gossiper.MembersChanged:
		s.logChanges(c.View)
		s.view.Store(&c.View)
		s.publish()
	case gossiper.Superseded:
		s.supersede(c.By)
	}
}

// supersede stops an instance whose name a later start has taken.
func (s *membership) supersede(by gossiper.Member) {
	select {
	case <-s.superseded:
	default:
		s.log.Warn("member: superseded by a later start", zap.String("peer", by.PeerAddress))
		close(s.superseded)
	}
}

// call sends a heartbeat and reports its outcome to the model.
func (s *membership) call(ctx context.Context, c gossiper.Call) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := peerv1connect.NewMembershipServiceClient(s.daemon.peerClient, s.daemon.peerURL(c.Address))
	request := &peerv1.HeartbeatRequest{Heartbeat: c.Heartbeat.Proto()}
	s.sent.Add(c.Heartbeat.Size())
	resp, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		s.log.Debug("member: no answer", zap.String("peer", c.Address), zap.Error(err))
		s.update(gossiper.CallFailed{ID: c.ID})
		return
	}
	h := gossiper.FromProto(resp.Msg.GetHeartbeat())
	s.received.Add(h.Size())
	s.tellLoads(h)
	s.update(gossiper.AnswerArrived{ID: c.ID, Heartbeat: h})
}

// membershipService answers peers' heartbeats.
type membershipService struct{ daemon *Daemon }

// Heartbeat implements peerv1connect.MembershipServiceHandler.
func (m *membershipService) Heartbeat(
	ctx context.Context, req *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	s := m.daemon.membership
	h := gossiper.FromProto(req.Msg.GetHeartbeat())
	if h.Sender.ID == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a heartbeat needs a sender"))
	}
	s.received.Add(h.Size())
	s.tellLoads(h)
	answer, err := s.arrived(ctx, h)
	if err != nil {
		return nil, err
	}
	s.sent.Add(answer.Size())
	return connect.NewResponse(&peerv1.HeartbeatResponse{Heartbeat: answer.Proto()}), nil
}

// arrived gives the model a heartbeat and waits for its answer.
func (s *membership) arrived(ctx context.Context, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	reply := make(chan gossiper.Heartbeat, 1)
	s.mu.Lock()
	s.token++
	token := s.token
	s.answers[token] = reply
	s.mu.Unlock()
	s.update(gossiper.HeartbeatArrived{Token: token, Heartbeat: h})
	ctx, cancel := context.WithTimeout(ctx, memberAnswerTimeout)
	defer cancel()
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.answers, token)
		return gossiper.Heartbeat{}, connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("heartbeat: %w", ctx.Err()))
	}
}

// tellLoads gives the loop what a peer of the own region says of endpoints.
func (s *membership) tellLoads(h gossiper.Heartbeat) {
	config := s.daemon.config.Load()
	if config == nil || h.Sender.Region != s.daemon.settings.Instance.Region {
		return
	}
	heard := decider.PeerLoadsReported{Peer: h.Sender.ID}
	for _, e := range h.Load.Endpoints {
		if service, ok := config.ServiceOf(e.Endpoint); ok {
			heard.Loads = append(heard.Loads, decider.EndpointLoad{
				Service: service, Endpoint: e.Endpoint, Load: e.InFlight, Draining: e.Draining,
			})
		}
	}
	s.daemon.loop.send(heard)
}

// ownLoad is what this instance tells its peers about itself.
func (s *membership) ownLoad() gossiper.Load {
	load := gossiper.Load{StoreContactAge: s.daemon.clock.Now().Sub(time.Unix(0, s.storeContact.Load()))}
	if c := s.daemon.config.Load(); c != nil {
		load.ConfigVersion = c.Version()
	}
	for _, l := range s.daemon.loop.serviceLoads() {
		load.Services = append(load.Services, gossiper.ServiceLoad{
			Service: l.Service, InFlight: l.InFlight, Queued: l.Queued, FreeSlots: l.FreeSlots,
		})
	}
	if endpoints := s.daemon.loop.endpoints.Load(); endpoints != nil {
		for _, e := range *endpoints {
			load.Endpoints = append(load.Endpoints, gossiper.EndpointLoad{
				Endpoint: e.Endpoint, InFlight: e.Load, Draining: e.Draining,
			})
		}
	}
	load.Shares = s.ownShares()
	return load
}

// setListed takes the platform's lagging list: hints of whom to call, and all
// there is to go by until a peer has been heard.
func (s *membership) setListed(list []storer.Instance) {
	s.storeContact.Store(s.daemon.clock.Now().UnixNano())
	if old := s.listed.Load(); old == nil || !slices.Equal(*old, list) {
		s.listed.Store(&list)
	}
	s.update(gossiper.PlatformListed{Members: listedMembers(list)})
}

// listedMembers returns the live instances of the platform's list.
func listedMembers(list []storer.Instance) []gossiper.Member {
	var members []gossiper.Member
	for _, i := range list {
		if i.State == storer.InstanceLive {
			members = append(members, gossiper.Member{
				ID: i.ID, Region: i.Region, FailureDomain: i.FailureDomain,
				CallerAddress: i.CallerAddress, LookupAddress: i.LookupAddress, PeerAddress: i.PeerAddress,
			})
		}
	}
	return members
}

// usable returns the members that may be sent work. Before any peer has been
// heard, the platform's list stands in.
func (s *membership) usable() []gossiper.Member {
	view := s.view.Load()
	members := view.Members
	if list := s.listed.Load(); list != nil && len(members) == 1 {
		members = withSelf(listedMembers(*list), members[0])
	}
	var usable []gossiper.Member
	for _, m := range members {
		if m.Usable() {
			usable = append(usable, m)
		}
	}
	return usable
}

// withSelf replaces the platform's word about this instance by its own.
func withSelf(listed []gossiper.Member, self gossiper.Member) []gossiper.Member {
	members := []gossiper.Member{self}
	for _, m := range listed {
		if m.ID != self.ID {
			members = append(members, m)
		}
	}
	return members
}

// leavingInstances returns the members that leave but still answer peers.
func (s *membership) leavingInstances() []storer.Instance {
	var instances []storer.Instance
	for _, m := range s.view.Load().Members {
		if m.Status == gossiper.Leaving {
			instances = append(instances, storer.Instance{ID: m.ID, Region: m.Region, PeerAddress: m.PeerAddress, State: storer.InstanceLeaving})
		}
	}
	return instances
}

// joined reports whether peers are heard.
func (s *membership) joined() bool {
	view := s.view.Load()
	return len(view.Members) > 1 && !view.Isolated
}

// publish rebuilds what others read: the directory, the watchers of the store
// and the look-up table. The caller holds the lock.
func (s *membership) publish() {
	members := s.usable()
	peers := make([]Peer, 0, len(members))
	instances := make([]storer.Instance, 0, len(members))
	for _, m := range members {
		peers = append(peers, Peer{
			id: m.ID, region: m.Region, failureDomain: m.FailureDomain, address: m.PeerAddress, incarnation: m.Incarnation,
		})
		instances = append(instances, storer.Instance{
			ID: m.ID, Region: m.Region, FailureDomain: m.FailureDomain, PeerAddress: m.PeerAddress, State: storer.InstanceLive,
		})
	}
	s.daemon.directory.set(peers)
	s.daemon.tellPeers(append(instances, s.leavingInstances()...))
	s.daemon.ledger.membersChanged()
	s.daemon.spread.setInstances(s.daemon.work, instances)
	s.daemon.publishTable(members, s.steering)
}

// logChanges writes a line for every member whose status changed.
func (s *membership) logChanges(next gossiper.View) {
	before := map[string]gossiper.Status{}
	for _, m := range s.view.Load().Members {
		before[m.ID] = m.Status
	}
	for _, m := range next.Members {
		if status, known := before[m.ID]; !known || status != m.Status {
			s.log.Info("member: changed", zap.String("peer", m.ID), zap.Stringer("status", m.Status),
				zap.String("region", m.Region), zap.Uint64("incarnation", m.Incarnation))
		}
	}
}

// serviceLoads returns the newest loads that the loop published.
func (l *loop) serviceLoads() []decider.ServiceLoad {
	if loads := l.loads.Load(); loads != nil {
		return *loads
	}
	return nil
}
