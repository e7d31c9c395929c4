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
	// spreadTick is the time between two looks for calls that are due.
	spreadTick = 100 * time.Millisecond
	// followTimeout bounds a call to a peer beyond its wait.
	followTimeout = time.Second
	// maxFollowWait bounds how long a follower's call is held.
	maxFollowWait = 10 * time.Second
)

// spread owns the model of what this instance holds, and carries its commands
// out.
type spread struct {
	daemon *Daemon

	mu       sync.Mutex
	model    *spreader.Model
	changed  chan struct{}
	watchers []spreader.Watcher
	rank     int
	regions  []string
	evidence time.Time

	calls sync.WaitGroup
}

func newSpread(d *Daemon, seed uint64) *spread {
	return &spread{
		daemon: d,
		model: spreader.New(
			spreader.WithSelf(d.settings.Instance.ID, d.settings.Instance.Region),
			spreader.WithIncarnation(d.incarnation),
			spreader.WithSeed(seed)),
		changed: make(chan struct{}),
	}
}

// run looks for due calls until ctx ends, then waits for those in progress.
func (s *spread) run(ctx context.Context) {
	s.daemon.loop.send(decider.KeyEvidence{At: s.daemon.clock.Now()})
	ticker := s.daemon.clock.NewTicker(spreadTick)
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

// update gives the model a message and carries its commands out.
func (s *spread) update(ctx context.Context, msg spreader.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serial := s.model.Serial()
	for _, cmd := range s.model.Update(s.daemon.clock.Now(), msg) {
		s.carryOut(ctx, cmd)
	}
	if s.model.Serial() != serial {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if at := s.model.KeyEvidenceTime(); at.After(s.evidence) {
		s.evidence = at
		s.daemon.loop.send(decider.KeyEvidence{At: at})
	}
}

// carryOut starts no call once ctx has ended, so that a stop can wait for the
// calls that are open.
func (s *spread) carryOut(ctx context.Context, cmd spreader.Cmd) {
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

func (s *spread) readStore(ctx context.Context, call spreader.ReadStore) {
	sent := s.daemon.clock.Now()
	events, err := s.daemon.readKind(ctx, call)
	if err != nil {
		s.daemon.log.Debug("store: no answer", zap.String("kind", string(call.Kind)), zap.Error(err))
		s.update(ctx, spreader.StoreFailed{Call: call, Compacted: coder.CodeOf(err) == coder.StoreCompacted})
		return
	}
	s.update(ctx, spreader.StoreAnswered{Call: call, Sent: sent, Events: events})
}

func (s *spread) follow(ctx context.Context, call spreader.Follow) {
	limited, cancel := context.WithTimeout(ctx, call.Request.Wait+followTimeout)
	defer cancel()
	sent := s.daemon.clock.Now()
	client := peerv1connect.NewRelayServiceClient(s.daemon.peerClient, s.daemon.peerURL(call.Peer.Address))
	resp, err := client.Follow(limited, connect.NewRequest(encodeFollow(call.Request)))
	if err != nil {
		s.daemon.log.Debug("relay: no answer", zap.String("peer", call.Peer.ID), zap.Error(err))
		s.update(ctx, spreader.PeerFailed{Call: call})
		return
	}
	s.update(ctx, spreader.PeerAnswered{Call: call, Sent: sent, Answer: decodeAnswer(resp.Msg)})
}

// setInstances takes the live instances and the regions that are configured.
func (s *spread) setInstances(ctx context.Context, list []storer.Instance) {
	regions := s.daemon.regionNames()
	watchers := spreader.ChooseWatchers(list)
	rank := spreader.FollowerRank(s.daemon.settings.Instance.ID, list, watchers)
	s.mu.Lock()
	same := slices.Equal(watchers, s.watchers) && rank == s.rank && slices.Equal(regions, s.regions)
	s.watchers, s.rank, s.regions = watchers, rank, regions
	s.mu.Unlock()
	if !same {
		s.update(ctx, spreader.WatchersChanged{Watchers: watchers, Regions: regions, Rank: rank})
	}
}

// regionNames lists the configured regions.
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

// state is what the status page says of the spread.
type spreadState struct {
	evidenceAge    time.Duration
	storeReachable bool
	watching       bool
}

func (s *spread) state() spreadState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.daemon.clock.Now()
	return spreadState{
		evidenceAge:    s.model.EvidenceAge(now),
		storeReachable: s.model.StoreReachable(),
		watching:       s.model.Watching(),
	}
}

// relayService serves peers that follow this instance, and offers.
type relayService struct{ daemon *Daemon }

// Follow implements peerv1connect.RelayServiceHandler.
func (r *relayService) Follow(
	ctx context.Context, req *connect.Request[peerv1.FollowRequest],
) (*connect.Response[peerv1.FollowResponse], error) {
	s := r.daemon.spread
	request := decodeFollow(req.Msg)
	started := r.daemon.clock.Now()
	timeout := r.daemon.clock.After(min(request.Wait, maxFollowWait))
	for {
		s.mu.Lock()
		news, changed := s.model.HasUpdates(request), s.changed
		s.mu.Unlock()
		if news || request.Wait <= 0 {
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

// Offer implements peerv1connect.RelayServiceHandler.
func (r *relayService) Offer(
	_ context.Context, req *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	s := r.daemon.spread
	s.mu.Lock()
	before := s.model.Serial()
	s.mu.Unlock()
	s.update(r.daemon.work, spreader.Offered{Objects: decodeObjects(req.Msg.GetObjects())})
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&peerv1.OfferResponse{Taken: uint32(s.model.Serial() - before)}), nil
}
