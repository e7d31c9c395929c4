package daemon

import (
	"encoding/json"
	"time"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

func encodeFollow(r spreader.Request) *peerv1.FollowRequest {
	return &peerv1.FollowRequest{
		Positions: encodePositions(r.Positions), Incarnation: r.Incarnation, Serial: r.Serial,
		WaitMs: uint32(r.Wait.Milliseconds()),
	}
}

func decodeFollow(m *peerv1.FollowRequest) spreader.Request {
	return spreader.Request{
		Positions: decodePositions(m.GetPositions()), Incarnation: m.GetIncarnation(), Serial: m.GetSerial(),
		Wait: milliseconds(int64(m.GetWaitMs())),
	}
}

// encodeAnswer encodes the answer to a Follow call. It rounds the age of the evidence
// that the keys are up to date up to a whole millisecond, so that the receiver never
// takes its keys for more recent than they are.
func encodeAnswer(a spreader.Answer) *peerv1.FollowResponse {
	return &peerv1.FollowResponse{
		Positions: encodePositions(a.Positions), Incarnation: a.Incarnation, Serial: a.Serial,
		Objects: encodeObjects(a.Objects), WaitedMs: uint32(a.Waited.Milliseconds()),
		KeyEvidenceAgeMs: a.EvidenceAge.Milliseconds() + 1, StoreUnreachable: a.StoreUnreachable,
		More: a.More,
	}
}

func decodeAnswer(m *peerv1.FollowResponse) spreader.Answer {
	return spreader.Answer{
		Positions: decodePositions(m.GetPositions()), Incarnation: m.GetIncarnation(), Serial: m.GetSerial(),
		Objects: decodeObjects(m.GetObjects()), Waited: milliseconds(int64(m.GetWaitedMs())),
		EvidenceAge: max(0, milliseconds(m.GetKeyEvidenceAgeMs())), StoreUnreachable: m.GetStoreUnreachable(),
		More: m.GetMore(),
	}
}

func encodePositions(positions map[storer.Kind]int64) []*peerv1.KindPosition {
	list := make([]*peerv1.KindPosition, 0, len(positions))
	for kind, position := range positions {
		list = append(list, &peerv1.KindPosition{Kind: string(kind), Position: position})
	}
	return list
}

func decodePositions(list []*peerv1.KindPosition) map[storer.Kind]int64 {
	positions := make(map[storer.Kind]int64, len(list))
	for _, p := range list {
		positions[storer.Kind(p.GetKind())] = p.GetPosition()
	}
	return positions
}

func encodeObjects(objects []storer.Object) []*peerv1.StoredObject {
	list := make([]*peerv1.StoredObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, &peerv1.StoredObject{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return list
}

func decodeObjects(list []*peerv1.StoredObject) []storer.Object {
	objects := make([]storer.Object, 0, len(list))
	for _, o := range list {
		objects = append(objects, storer.Object{
			Kind: storer.Kind(o.GetKind()), Name: o.GetName(), Version: o.GetVersion(), Value: json.RawMessage(o.GetValue()),
		})
	}
	return objects
}

// milliseconds converts a number of milliseconds that a peer sent to a duration.
// Durations above one day become one day, so that the conversion can't overflow.
func milliseconds(n int64) time.Duration {
	const longest = 24 * time.Hour
	if n > longest.Milliseconds() {
		return longest
	}
	return time.Duration(n) * time.Millisecond
}
