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
	// replicationTickInterval is how often the replication model checks whether a
	// call is due.
	replicationTickInterval = 100 * time.Millisecond
	// followTimeout is how much longer a Follow call to a peer may take than the wait
	// that the call requests.
	followTimeout = time.Second
	// maxFollowWait is the maximum time that a peer's Follow call waits for updates.
	maxFollowWait = 10 * time.Second
)

// replication keeps this instance's copy of the configuration, the keys and the client
// map up to date. It reads them from the store if this instance is a watcher. Otherwise
// it follows a watcher with long polls, and reads the store itself only if the watchers
// of its region fail. It owns the model that decides where to read from, and executes the
// commands of this model.
type replication struct {
	daemon *Daemon

	mu    sync.Mutex
	model *spreader.Model
	// objectsChanged is closed and replaced whenever objects have changed.
	objectsChanged chan struct{}
	watchers       []spreader.Watcher
	// followerRank is this instance's position among the instances of its region that
	// aren't watchers.
	followerRank int
	regions      []string
	// keyEvidence is the latest time at which the keys were known to be up to date.
	// It is the time that was last sent to the loop.
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
		objectsChanged: make(chan struct{}),
	}
}

// run ticks the model, which starts calls to the store and to peers, until ctx ends. Then
// it waits for the calls in progress. At the start, it sends the loop the current time as
// evidence that the keys are up to date, because the loop checks the age of this evidence
// only after it has received evidence for the first time.
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
// have changed, it wakes the Follow calls of peers that wait for updates. If there is
// newer evidence that the keys are up to date, it sends the evidence to the loop.
func (s *replication) update(ctx context.Context, msg spreader.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serial := s.model.Serial()
	for _, cmd := range s.model.Update(s.daemon.clock.Now(), msg) {
		s.execute(ctx, cmd)
	}
	if s.model.Serial() != serial {
		close(s.objectsChanged)
		s.objectsChanged = make(chan struct{})
	}
	if at := s.model.KeyEvidenceTime(); at.After(s.keyEvidence) {
		s.keyEvidence = at
		s.daemon.loop.send(decider.KeyEvidence{At: at})
	}
}

// execute installs objects, or starts a call to the store or a peer in a goroutine. After
// ctx has ended, it starts no more calls, so that run can wait for those in progress.
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

// readStore reads objects from the store and passes them, or the failure, to the model.
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

// follow requests updates from a peer and passes the peer's answer, or the failure, to
// the model.
func (s *replication) follow(ctx context.Context, call spreader.Follow) {
	callCtx, cancel := context.WithTimeout(ctx, call.Request.Wait+followTimeout)
	defer cancel()
	sent := s.daemon.clock.Now()
	client := peerv1connect.NewRelayServiceClient(s.daemon.peerClient, s.daemon.peerURL(call.Peer.Address))
	resp, err := client.Follow(callCtx, connect.NewRequest(encodeFollow(call.Request)))
	if err != nil {
		s.daemon.log.Debug("relay: call to a peer failed", zap.String("peer", call.Peer.ID), zap.Error(err))
		s.update(ctx, spreader.PeerFailed{Call: call})
		return
	}
	s.update(ctx, spreader.PeerAnswered{Call: call, Sent: sent, Answer: decodeAnswer(resp.Msg)})
}

// setInstances selects the watchers of the store from the live instances. If the
// watchers, this instance's rank among the other instances of its region, or the
// configured regions have changed, it passes all three to the model.
func (s *replication) setInstances(ctx context.Context, list []storer.Instance) {
	regions := s.daemon.regionNames()
	watchers := spreader.ChooseWatchers(list)
	followerRank := spreader.FollowerRank(s.daemon.settings.Instance.ID, list, watchers)
	s.mu.Lock()
	unchanged := slices.Equal(watchers, s.watchers) && followerRank == s.followerRank && slices.Equal(regions, s.regions)
	s.watchers, s.followerRank, s.regions = watchers, followerRank, regions
	s.mu.Unlock()
	if !unchanged {
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
// metrics and the polling of the instance list use. evidenceAge is the time since the
// keys were last known to be up to date. watchesStore means that this instance is a
// watcher.
type replicationState struct {
	evidenceAge    time.Duration
	storeReachable bool
	watchesStore   bool
}

func (s *replication) state() replicationState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.daemon.clock.Now()
	return replicationState{
		evidenceAge:    s.model.EvidenceAge(now),
		storeReachable: s.model.StoreReachable(),
		watchesStore:   s.model.Watching(),
	}
}

// relayService serves the calls of peers that copy objects from this instance (Follow),
// and of peers and operators that send it objects (Offer).
type relayService struct{ daemon *Daemon }

// Follow implements peerv1connect.RelayServiceHandler. It is a long poll: it returns as
// soon as there are updates, or with an empty answer after the wait that the request asks
// for, but no later than after maxFollowWait.
func (r *relayService) Follow(
	ctx context.Context, req *connect.Request[peerv1.FollowRequest],
) (*connect.Response[peerv1.FollowResponse], error) {
	s := r.daemon.replication
	request := decodeFollow(req.Msg)
	started := r.daemon.clock.Now()
	timeout := r.daemon.clock.After(min(request.Wait, maxFollowWait))
	for {
		s.mu.Lock()
		hasUpdates, objectsChanged := s.model.HasUpdates(request), s.objectsChanged
		s.mu.Unlock()
		if hasUpdates || request.Wait <= 0 {
			break
		}
		select {
		case <-objectsChanged:
			continue
		case <-timeout:
			request.Wait = 0
		case <-r.daemon.shutdownStarted:
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

// Offer implements peerv1connect.RelayServiceHandler. It installs the offered objects
// that are newer than this instance's copies, and answers with their number.
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
