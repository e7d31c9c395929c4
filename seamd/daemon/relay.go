package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

const (
	// replicationTickInterval is how often the model checks which calls are due.
	replicationTickInterval = 100 * time.Millisecond
	// followTimeout is how much longer than its requested wait a call to a peer may
	// take.
	followTimeout = time.Second
	// maxFollowWait is how long a follower's call is held at most while there are no
	// updates.
	maxFollowWait = 10 * time.Second
)

// replication keeps this instance's copy of the configuration, the keys and the client
// map up to date, from the store or from other instances. It owns the model that decides
// where to read from, and executes its commands.
type replication struct {
	daemon *Daemon

	mu           sync.Mutex
	model        *spreader.Model
	changed      chan struct{}
	watchers     []spreader.Watcher
	followerRank int
	regions      []string
	// keyEvidence is the newest time at which the keys were proven to be up to date, as
	// last sent to the loop.
	keyEvidence time.Time

	calls sync.WaitGroup
}

func newReplication(d *Daemon, seed uint64) *replication {
	return &replication{
		daemon: d,
		model: spreader.New(
			spreader.WithSelf(d.settings.Instance.ID, d.settings.Instance.Region),
			spreader.WithIncarnation(d.incarnation),
			spreader.WithSeed(seed)),
		changed: make(chan struct{}),
	}
}

// run makes the calls that are due until ctx ends, then waits for those in progress. The
// start counts as evidence of up-to-date keys, because the loop checks the age of the
// evidence only after it has received the first.
func (s *replication) run(ctx context.Context) {
	s.daemon.loop.send(decider.KeyEvidence{At: s.daemon.clock.Now()})
	ticker := s.daemon.clock.NewTicker(replicationTickInterval)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		s.update(ctx, spreader.Ticked{})
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// update passes a message to the model and executes the resulting commands. If objects
// have changed, it wakes the calls of followers that wait for updates.
func (s *replication) update(ctx context.Context, msg spreader.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serial := s.model.Serial()
	for _, cmd := range s.model.Update(s.daemon.clock.Now(), msg) {
		s.execute(ctx, cmd)
	}
	if s.model.Serial() != serial {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if at := s.model.KeyEvidenceTime(); at.After(s.keyEvidence) {
		s.keyEvidence = at
		s.daemon.loop.send(decider.KeyEvidence{At: at})
	}
}

// execute installs objects or starts a call. It starts no call once ctx has ended, so
// that run can wait for the open calls.
func (s *replication) execute(ctx context.Context, cmd spreader.Cmd) {
	switch c := cmd.(type) {
	case spreader.Install:
		s.daemon.install(c.Objects)
	case spreader.ReadStore:
		if ctx.Err() == nil {
			s.calls.Go(func() { s.readStore(ctx, c) })
		}
	case spreader.Follow:
		if ctx.Err() == nil {
			s.calls.Go(func() { s.follow(ctx, c) })
		}
	}
}

// readStore reads from the store and passes the result to the model.
func (s *replication) readStore(ctx context.Context, call spreader.ReadStore) {
	sent := s.daemon.clock.Now()
	events, err := s.daemon.readKind(ctx, call)
	if err != nil {
		s.daemon.log.Debug("store: read failed", zap.String("kind", string(call.Kind)), zap.Error(err))
		s.update(ctx, spreader.StoreFailed{Call: call, Compacted: coder.CodeOf(err) == coder.StoreCompacted})
		return
	}
	s.update(ctx, spreader.StoreAnswered{Call: call, Sent: sent, Events: events})
}

// follow requests updates from a peer and passes the answer to the model.
func (s *replication) follow(ctx context.Context, call spreader.Follow) {
	limited, cancel := context.WithTimeout(ctx, call.Request.Wait+followTimeout)
	defer cancel()
	sent := s.daemon.clock.Now()
	client := peerv1connect.NewRelayServiceClient(s.daemon.peerClient, s.daemon.peerURL(call.Peer.Address))
	resp, err := client.Follow(limited, connect.NewRequest(encodeFollow(call.Request)))
	if err != nil {
		s.daemon.log.Debug("relay: call to a peer failed", zap.String("peer", call.Peer.ID), zap.Error(err))
		s.update(ctx, spreader.PeerFailed{Call: call})
		return
	}
	s.update(ctx, spreader.PeerAnswered{Call: call, Sent: sent, Answer: decodeAnswer(resp.Msg)})
}

// setInstances derives the watchers of the store from the live instances and passes
// them to the model, with the configured regions, if anything changed.
func (s *replication) setInstances(ctx context.Context, list []storer.Instance) {
	regions := s.daemon.regionNames()
	watchers := spreader.ChooseWatchers(list)
	followerRank := spreader.FollowerRank(s.daemon.settings.Instance.ID, list, watchers)
	s.mu.Lock()
	same := slices.Equal(watchers, s.watchers) && followerRank == s.followerRank && slices.Equal(regions, s.regions)
	s.watchers, s.followerRank, s.regions = watchers, followerRank, regions
	s.mu.Unlock()
	if !same {
		s.update(ctx, spreader.WatchersChanged{Watchers: watchers, Regions: regions, Rank: followerRank})
	}
}

// regionNames returns the names of the configured regions.
func (d *Daemon) regionNames() []string {
	c := d.config.Load()
	if c == nil {
		return nil
	}
	var names []string
	for _, r := range c.Regions() {
		names = append(names, r.Name)
	}
	return names
}

// replicationState is the part of the replication's state that the status page, the
// metrics and the polling of the instance list use.
type replicationState struct {
	evidenceAge    time.Duration
	storeReachable bool
	watching       bool
}

func (s *replication) state() replicationState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.daemon.clock.Now()
	return replicationState{
		evidenceAge:    s.model.EvidenceAge(now),
		storeReachable: s.model.StoreReachable(),
		watching:       s.model.Watching(),
	}
}

// relayService serves objects to peers that follow this instance, and accepts objects
// that peers and operators offer.
type relayService struct{ daemon *Daemon }

// Follow implements peerv1connect.RelayServiceHandler. It is a long poll: it waits for
// updates for as long as the request allows, but no longer than maxFollowWait.
func (r *relayService) Follow(
	ctx context.Context, req *connect.Request[peerv1.FollowRequest],
) (*connect.Response[peerv1.FollowResponse], error) {
	s := r.daemon.replication
	request := decodeFollow(req.Msg)
	started := r.daemon.clock.Now()
	timeout := r.daemon.clock.After(min(request.Wait, maxFollowWait))
	for {
		s.mu.Lock()
		hasUpdates, changed := s.model.HasUpdates(request), s.changed
		s.mu.Unlock()
		if hasUpdates || request.Wait <= 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout:
			request.Wait = 0
		case <-r.daemon.stopping:
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("instance is stopping"))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.daemon.clock.Now()
	return connect.NewResponse(encodeAnswer(s.model.Answer(now, request, now.Sub(started)))), nil
}

// Offer implements peerv1connect.RelayServiceHandler. It answers with the number of
// objects that were newer than this instance's.
func (r *relayService) Offer(
	_ context.Context, req *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	s := r.daemon.replication
	s.mu.Lock()
	before := s.model.Serial()
	s.mu.Unlock()
	s.update(r.daemon.workCtx, spreader.Offered{Objects: decodeObjects(req.Msg.GetObjects())})
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&peerv1.OfferResponse{Taken: uint32(s.model.Serial() - before)}), nil
}
