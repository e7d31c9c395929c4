package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/deduplicator"
	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/ticketer"
)

const (
	// maxRecordsPerCall is the maximum number of records that one call sends to a
	// successor.
	maxRecordsPerCall = 200
	// handoverPollInterval is how often [Daemon.handOver] checks whether named
	// requests are still running.
	handoverPollInterval = 10 * time.Millisecond
)

// successor is the value of an object in the store, which names the instance that has
// taken over the records of a stopped home. Each home has at most one such object. The
// home's next graceful shutdown replaces it.
type successor struct {
	// Incarnation is the incarnation of the home that stopped.
	Incarnation uint64 `json:"incarnation"`
	ID          string `json:"id"`
}

// handOver waits until no named request is running, or ctx ends. Then it sends this
// home's records to the first instance of its region that accepts them, and writes the id
// of that instance to the store. A request that still runs is handed over with an unknown
// outcome. If a step fails, no request runs twice either: without the records, repeats of
// named requests are answered with an unknown outcome.
func (d *Daemon) handOver(ctx context.Context) {
	for d.home.Running() > 0 && ctx.Err() == nil {
		d.sleep(ctx, handoverPollInterval)
	}
	d.home.Close()
	handover, ok := d.home.Handover(d.clock.Now())
	if !ok {
		return
	}
	for _, id := range d.PeerIDs() {
		peer, ok := d.Peer(id)
		if !ok || id == d.settings.Instance.ID || peer.Region() != d.settings.Instance.Region {
			continue
		}
		if err := d.sendRecords(ctx, peer, handover); err != nil {
			d.log.Warn("home: could not hand the records over to an instance", zap.String("successor", id), zap.Error(err))
			continue
		}
		d.recordSuccessor(ctx, handover, id)
		return
	}
	d.log.Warn("home: no instance took the records over", zap.Int("records", len(handover.Records)))
}

// sendRecords sends all records to a peer, in calls of at most maxRecordsPerCall records.
// The last call is marked as such.
func (d *Daemon) sendRecords(ctx context.Context, peer Peer, handover deduplicator.Handover) error {
	client := peerv1connect.NewHomesServiceClient(d.peerClient, d.peerURL(peer.Address()))
	remaining := handover.Records
	for {
		batch := remaining[:min(maxRecordsPerCall, len(remaining))]
		remaining = remaining[len(batch):]
		req := &peerv1.AdoptRequest{Home: handover.Home, Incarnation: handover.Incarnation, Last: len(remaining) == 0}
		for _, r := range batch {
			answer, err := json.Marshal(r.Answer)
			if err != nil {
				return fmt.Errorf("encode answer: %w", err)
			}
			req.Records = append(req.Records, &peerv1.NamedRecord{Key: r.Key, Request: r.Request, Answer: answer, KeepMs: r.KeepMS})
		}
		if _, err := client.Adopt(ctx, connect.NewRequest(req)); err != nil {
			return fmt.Errorf("send records: %w", err)
		}
		if len(remaining) == 0 {
			return nil
		}
	}
}

// recordSuccessor writes the id of the instance that has this home's records to the
// store. A failure is only logged.
func (d *Daemon) recordSuccessor(ctx context.Context, handover deduplicator.Handover, id string) {
	object, err := d.store.Get(ctx, storer.KindHandover, handover.Home)
	if err != nil {
		object = storer.Object{Kind: storer.KindHandover, Name: handover.Home}
	}
	value, err := json.Marshal(successor{Incarnation: handover.Incarnation, ID: id})
	if err == nil {
		_, err = d.store.Put(ctx, object.WithValue(value))
	}
	if err != nil {
		d.log.Warn("home: could not write the successor to the store", zap.String("successor", id), zap.Error(err))
		return
	}
	d.log.Info("home: handed the records over", zap.String("successor", id), zap.Int("records", len(handover.Records)))
}

// successorOf reads from the store the id of the instance that took over the records of a
// ticket's home. It reports false if the store has no successor for the incarnation in
// the ticket, or can't be read.
func (d *Daemon) successorOf(ctx context.Context, t ticketer.Ticket) (string, bool) {
	object, err := d.store.Get(ctx, storer.KindHandover, t.Home)
	if err != nil {
		return "", false
	}
	var s successor
	if err := json.Unmarshal(object.Value, &s); err != nil || s.ID == "" || s.Incarnation != t.Incarnation {
		return "", false
	}
	return s.ID, true
}

// homesService serves the calls of peers that shut down and hand over the records of
// their named requests.
type homesService struct{ daemon *Daemon }

// Adopt implements peerv1connect.HomesServiceHandler. It stores the records of a home
// that shuts down.
func (s *homesService) Adopt(
	_ context.Context, req *connect.Request[peerv1.AdoptRequest],
) (*connect.Response[peerv1.AdoptResponse], error) {
	from := deduplicator.Handover{Home: req.Msg.GetHome(), Incarnation: req.Msg.GetIncarnation(), Partial: !req.Msg.GetLast()}
	for _, r := range req.Msg.GetRecords() {
		record := deduplicator.Record{Key: r.GetKey(), Request: r.GetRequest(), KeepMS: r.GetKeepMs()}
		if err := json.Unmarshal(r.GetAnswer(), &record.Answer); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		from.Records = append(from.Records, record)
	}
	if err := s.daemon.home.Adopt(s.daemon.clock.Now(), from); err != nil {
		if coder.CodeOf(err) == coder.Stopping {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&peerv1.AdoptResponse{}), nil
}
