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
	// recordsPerCall bounds the records of one call to a successor.
	recordsPerCall = 200
	// handoverPoll is the time between two looks at named requests that run.
	handoverPoll = 10 * time.Millisecond
)

// successor is the store's object that names who has a home's records. There
// is one for each instance; a later stop replaces it.
type successor struct {
	// Incarnation is that of the home that stopped.
	Incarnation uint64 `json:"incarnation"`
	ID          string `json:"id"`
}

// handOver gives the records of this home to another instance and names it in
// the store. Whatever fails, no name runs twice: its callers hear "unknown".
func (d *Daemon) handOver(ctx context.Context) {
	for d.home.Running() > 0 && ctx.Err() == nil {
		d.sleep(ctx, handoverPoll)
	}
	d.home.Close()
	out, ok := d.home.Handover(d.clock.Now())
	if !ok {
		return
	}
	for _, id := range d.PeerIDs() {
		peer, ok := d.Peer(id)
		if !ok || id == d.settings.Instance.ID || peer.Region() != d.settings.Instance.Region {
			continue
		}
		if err := d.sendRecords(ctx, peer, out); err != nil {
			d.log.Warn("home: successor took no records", zap.String("successor", id), zap.Error(err))
			continue
		}
		d.nameSuccessor(ctx, out, id)
		return
	}
	d.log.Warn("home: found no successor", zap.Int("records", len(out.Records)))
}

func (d *Daemon) sendRecords(ctx context.Context, peer Peer, out deduplicator.Handover) error {
	client := peerv1connect.NewHomesServiceClient(d.peerClient, d.peerURL(peer.Address()))
	rest := out.Records
	for {
		part := rest[:min(recordsPerCall, len(rest))]
		rest = rest[len(part):]
		req := &peerv1.AdoptRequest{Home: out.Home, Incarnation: out.Incarnation, Last: len(rest) == 0}
		for _, r := range part {
			answer, err := json.Marshal(r.Answer)
			if err != nil {
				return fmt.Errorf("encode answer: %w", err)
			}
			req.Records = append(req.Records, &peerv1.NamedRecord{Key: r.Key, Request: r.Request, Answer: answer, KeepMs: r.KeepMS})
		}
		if _, err := client.Adopt(ctx, connect.NewRequest(req)); err != nil {
			return fmt.Errorf("send records: %w", err)
		}
		if len(rest) == 0 {
			return nil
		}
	}
}

func (d *Daemon) nameSuccessor(ctx context.Context, out deduplicator.Handover, id string) {
	object, err := d.store.Get(ctx, storer.KindHandover, out.Home)
	if err != nil {
		object = storer.Object{Kind: storer.KindHandover, Name: out.Home}
	}
	value, err := json.Marshal(successor{Incarnation: out.Incarnation, ID: id})
	if err == nil {
		_, err = d.store.Put(ctx, object.WithValue(value))
	}
	if err != nil {
		d.log.Warn("home: successor is not in the store", zap.String("successor", id), zap.Error(err))
		return
	}
	d.log.Info("home: handed over", zap.String("successor", id), zap.Int("records", len(out.Records)))
}

// successorOf reads who has the records of a ticket's home.
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

// homesService takes records from homes that stop.
type homesService struct{ daemon *Daemon }

// Adopt implements peerv1connect.HomesServiceHandler.
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
