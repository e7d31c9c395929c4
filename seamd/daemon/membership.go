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
	// membershipTickInterval is how often the membership model checks whether a
	// heartbeat is due.
	membershipTickInterval = 100 * time.Millisecond
	// heartbeatAnswerTimeout is the maximum time that a peer's heartbeat waits for
	// the answer of the model.
	heartbeatAnswerTimeout = 2 * time.Second
)

// membership owns the model that tracks which instances of the fleet are alive, and
// executes the commands of this model. A member is an instance in the model's list, which
// instances exchange in heartbeats.
type membership struct {
	daemon *Daemon
	log    *zap.Logger

	mu    sync.Mutex
	model *gossiper.Model
	// pendingAnswers holds the channels of peers' heartbeats that wait for the
	// model's answer, by token.
	pendingAnswers map[uint64]chan gossiper.Heartbeat
	token          uint64
	halted         bool

	view         atomic.Pointer[gossiper.View]
	instanceList atomic.Pointer[[]storer.Instance]
	// storeContact is the time of the last successful read of the instance list, in
	// nanoseconds since 1970.
	storeContact atomic.Int64
	// superseded is closed when a later start with the same instance id has taken
	// over.
	superseded chan struct{}
	calls      sync.WaitGroup

	steering steering
	// publishedConfig and publishedInstanceList are the values at the last call of
	// publish by publishIfChanged.
	publishedConfig       *configurer.Config
	publishedInstanceList *[]storer.Instance

	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
}

func newMembership(d *Daemon, seed uint64) *membership {
	opts := []gossiper.Option{gossiper.WithSeed(seed), gossiper.WithSeeds(d.settings.Peers...)}
	if bytes := d.settings.Membership.BytesPerSecond; bytes > 0 {
		opts = append(opts, gossiper.WithBytesPerSecond(bytes))
	}
	s := &membership{
		daemon:         d,
		log:            d.log.Named("member"),
		model:          gossiper.New(d.selfMember(), opts...),
		pendingAnswers: map[uint64]chan gossiper.Heartbeat{},
		superseded:     make(chan struct{}),
		steering:       steering{controller: steerer.NewController(d.settings.Instance.Region)},
		sentBytes:      d.metrics.NewCounter("seam_membership_sent_bytes_total"),
		receivedBytes:  d.metrics.NewCounter("seam_membership_received_bytes_total"),
	}
	s.view.Store(&gossiper.View{Members: []gossiper.Member{s.model.Self()}})
	s.exportStats()
	return s
}

// selfMember returns this instance's own entry in the member list.
func (d *Daemon) selfMember() gossiper.Member {
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

// exportStats exports the model's counters and the number of usable members as metrics.
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

// run ticks the model, which sends heartbeats, until ctx ends. Then it waits for the
// heartbeats in progress.
func (s *membership) run(ctx context.Context) {
	ticker := s.daemon.clock.NewTicker(membershipTickInterval)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		s.update(gossiper.LoadMeasured{Load: s.ownLoad()})
		s.update(gossiper.Ticked{})
		s.publishIfChanged()
		select {
		case <-ctx.Done():
			s.halt()
			return
		case <-ticker.Chan():
		}
	}
}

// publishIfChanged calls publish if the configuration or the platform's instance list has
// changed since the last call, and calls steer in any case.
func (s *membership) publishIfChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.steer(s.daemon.clock.Now())
	config, instanceList := s.daemon.config.Load(), s.instanceList.Load()
	if config == s.publishedConfig && instanceList == s.publishedInstanceList {
		return
	}
	s.publishedConfig, s.publishedInstanceList = config, instanceList
	s.publish()
}

// leave announces to peers that this instance is shutting down.
func (s *membership) leave() { s.update(gossiper.LeaveRequested{}) }

// halt makes the membership ignore all further messages. The instance then neither sends
// nor answers heartbeats, as after a crash.
func (s *membership) halt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halted = true
}

// update passes a message to the model and executes the resulting commands.
func (s *membership) update(msg gossiper.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halted {
		return
	}
	for _, cmd := range s.model.Update(s.daemon.clock.Now(), msg) {
		s.execute(cmd)
	}
}

// execute executes a command of the model. The caller holds s.mu.
func (s *membership) execute(cmd gossiper.Cmd) {
	switch c := cmd.(type) {
	case gossiper.Call:
		s.calls.Go(func() { s.sendHeartbeat(s.daemon.workCtx, c) })
	case gossiper.Answer:
		if reply, ok := s.pendingAnswers[c.Token]; ok {
			delete(s.pendingAnswers, c.Token)
			reply <- c.Heartbeat
		}
	case gossiper.MembersChanged:
		s.logStatusChanges(c.View)
		s.view.Store(&c.View)
		s.publish()
	case gossiper.Superseded:
		s.supersede(c.By)
	}
}

// supersede starts the shutdown of this instance, because a later start with the same
// instance id has taken over.
func (s *membership) supersede(by gossiper.Member) {
	select {
	case <-s.superseded:
	default:
		s.log.Warn("member: superseded by a later start", zap.String("peer", by.PeerAddress))
		close(s.superseded)
	}
}

// sendHeartbeat sends a heartbeat to a peer and passes the peer's answer, or the failure
// of the call, to the model.
func (s *membership) sendHeartbeat(ctx context.Context, c gossiper.Call) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := peerv1connect.NewMembershipServiceClient(s.daemon.peerClient, s.daemon.peerURL(c.Address))
	request := &peerv1.HeartbeatRequest{Heartbeat: c.Heartbeat.Proto()}
	s.sentBytes.Add(c.Heartbeat.Size())
	resp, err := client.Heartbeat(ctx, connect.NewRequest(request))
	if err != nil {
		s.log.Debug("member: heartbeat failed", zap.String("peer", c.Address), zap.Error(err))
		s.update(gossiper.CallFailed{ID: c.ID})
		return
	}
	h := gossiper.FromProto(resp.Msg.GetHeartbeat())
	s.receivedBytes.Add(h.Size())
	s.reportPeerLoads(h)
	s.update(gossiper.AnswerArrived{ID: c.ID, Heartbeat: h})
}

// membershipService serves peers' heartbeats.
type membershipService struct{ daemon *Daemon }

// Heartbeat implements peerv1connect.MembershipServiceHandler.
func (m *membershipService) Heartbeat(
	ctx context.Context, req *connect.Request[peerv1.HeartbeatRequest],
) (*connect.Response[peerv1.HeartbeatResponse], error) {
	s := m.daemon.membership
	h := gossiper.FromProto(req.Msg.GetHeartbeat())
	if h.Sender.ID == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("heartbeat has no sender"))
	}
	s.receivedBytes.Add(h.Size())
	s.reportPeerLoads(h)
	answer, err := s.handleHeartbeat(ctx, h)
	if err != nil {
		return nil, err
	}
	s.sentBytes.Add(answer.Size())
	return connect.NewResponse(&peerv1.HeartbeatResponse{Heartbeat: answer.Proto()}), nil
}

// handleHeartbeat passes a peer's heartbeat to the model and returns the model's answer.
// It returns an error if there is no answer within heartbeatAnswerTimeout.
func (s *membership) handleHeartbeat(ctx context.Context, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	reply := make(chan gossiper.Heartbeat, 1)
	s.mu.Lock()
	s.token++
	token := s.token
	s.pendingAnswers[token] = reply
	s.mu.Unlock()
	s.update(gossiper.HeartbeatArrived{Token: token, Heartbeat: h})
	ctx, cancel := context.WithTimeout(ctx, heartbeatAnswerTimeout)
	defer cancel()
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pendingAnswers, token)
		return gossiper.Heartbeat{}, connect.NewError(connect.CodeDeadlineExceeded, fmt.Errorf("heartbeat: %w", ctx.Err()))
	}
}

// reportPeerLoads sends the loop the endpoint loads in a peer's heartbeat, if the peer is
// in this instance's region. It leaves out endpoints that aren't in the configuration.
func (s *membership) reportPeerLoads(h gossiper.Heartbeat) {
	config := s.daemon.config.Load()
	if config == nil || h.Sender.Region != s.daemon.settings.Instance.Region {
		return
	}
	reported := decider.PeerLoadsReported{Peer: h.Sender.ID}
	for _, e := range h.Load.Endpoints {
		if service, ok := config.ServiceOf(e.Endpoint); ok {
			reported.Loads = append(reported.Loads, decider.EndpointLoad{
				Service: service, Endpoint: e.Endpoint, Load: e.InFlight, Draining: e.Draining,
			})
		}
	}
	s.daemon.loop.send(reported)
}

// ownLoad returns the part of the heartbeats that describes this instance: the age of its
// last contact to the store, its configuration version, the loads of its services and
// endpoints, and its region's shares.
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
	if endpointLoads := s.daemon.loop.endpointLoads.Load(); endpointLoads != nil {
		for _, e := range *endpointLoads {
			load.Endpoints = append(load.Endpoints, gossiper.EndpointLoad{
				Endpoint: e.Endpoint, InFlight: e.Load, Draining: e.Draining,
			})
		}
	}
	load.Shares = s.ownShares()
	return load
}

// setInstanceList stores the platform's instance list and passes its live instances to
// the model. The list lags behind the fleet, so the model only uses it to choose which
// addresses to contact. As long as this instance is the only member, [membership.usable]
// returns the list's instances too.
func (s *membership) setInstanceList(list []storer.Instance) {
	s.storeContact.Store(s.daemon.clock.Now().UnixNano())
	if old := s.instanceList.Load(); old == nil || !slices.Equal(*old, list) {
		s.instanceList.Store(&list)
	}
	s.update(gossiper.PlatformListed{Members: listedMembers(list)})
}

// listedMembers converts the live instances of the platform's list to members.
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

// usable returns the members to which requests may be sent. As long as this instance is
// the only member, it returns this instance and the live instances of the platform's
// list.
func (s *membership) usable() []gossiper.Member {
	view := s.view.Load()
	members := view.Members
	if list := s.instanceList.Load(); list != nil && len(members) == 1 {
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

// withSelf returns self, followed by the listed members except for the one with the id of
// self.
func withSelf(listed []gossiper.Member, self gossiper.Member) []gossiper.Member {
	members := []gossiper.Member{self}
	for _, m := range listed {
		if m.ID != self.ID {
			members = append(members, m)
		}
	}
	return members
}

// leavingInstances returns the members that are shutting down. They still answer calls of
// peers.
func (s *membership) leavingInstances() []storer.Instance {
	var instances []storer.Instance
	for _, m := range s.view.Load().Members {
		if m.Status == gossiper.Leaving {
			instances = append(instances, storer.Instance{ID: m.ID, Region: m.Region, PeerAddress: m.PeerAddress, State: storer.InstanceLeaving})
		}
	}
	return instances
}

// listedNonMembers returns the live instances of the platform's list that the member list
// doesn't have. They answer calls of peers if they run: while instances join, no heartbeat
// may have reported them yet.
func (s *membership) listedNonMembers() []storer.Instance {
	list := s.instanceList.Load()
	if list == nil {
		return nil
	}
	members := s.view.Load().Members
	var instances []storer.Instance
	for _, i := range *list {
		isMember := slices.ContainsFunc(members, func(m gossiper.Member) bool { return m.ID == i.ID })
		if !isMember && i.State == storer.InstanceLive {
			instances = append(instances, i)
		}
	}
	return instances
}

// hasPeerContact reports whether there are other members, and something was recently
// received from one of them.
func (s *membership) hasPeerContact() bool {
	view := s.view.Load()
	return len(view.Members) > 1 && !view.Isolated
}

// publish updates everything that is derived from the member list: the directory, the
// peers in the loop's model, the members in the ledger, the watchers of the store, and
// the lookup table. The caller holds s.mu.
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
	known := slices.Concat(instances, s.leavingInstances())
	s.daemon.setPeerAddresses(slices.Concat(s.listedNonMembers(), known))
	s.daemon.reportPeers(known)
	s.daemon.ledger.membersChanged()
	s.daemon.replication.setInstances(s.daemon.workCtx, instances)
	s.daemon.publishTable(members, s.steering)
}

// logStatusChanges logs every member that is new or whose status changed.
func (s *membership) logStatusChanges(next gossiper.View) {
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

// serviceLoads returns the loads of the services as of the last tick, or nil before the
// first one.
func (l *loop) serviceLoads() []decider.ServiceLoad {
	if loads := l.loads.Load(); loads != nil {
		return *loads
	}
	return nil
}
