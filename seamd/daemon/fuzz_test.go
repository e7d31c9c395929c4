package daemon

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

// FuzzRelayMessages decodes arbitrary messages of a peer and passes them to the
// replication model. They must not replace an object by an older version, nor set the
// time at which the keys were known to be up to date to the future.
func FuzzRelayMessages(f *testing.F) {
	answer := spreader.Answer{
		Positions:   map[storer.Kind]int64{storer.KindKey: 7, storer.KindConfig: 9},
		Incarnation: 1, Serial: 2, EvidenceAge: time.Second, Waited: time.Second,
		Objects: []storer.Object{{Kind: storer.KindConfig, Name: storer.ConfigName, Version: 9, Value: []byte("{}")}},
	}
	for _, m := range []proto.Message{encodeAnswer(answer), encodeFollow(spreader.Request{Wait: time.Second})} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		model := spreader.New(spreader.WithSelf("a", "west"))
		peer := spreader.Watcher{ID: "b", Region: "west"}
		model.Update(now, spreader.WatchersChanged{Watchers: []spreader.Watcher{peer}})
		current := storer.Object{Kind: storer.KindConfig, Name: storer.ConfigName, Version: 5}
		model.Update(now, spreader.Offered{Objects: []storer.Object{current}})
		var response peerv1.FollowResponse
		if proto.Unmarshal(data, &response) == nil {
			msg := spreader.PeerAnswered{Call: spreader.Follow{Peer: peer}, Sent: now, Answer: decodeAnswer(&response)}
			model.Update(now.Add(time.Second), msg)
			if v := model.Version(storer.KindConfig, storer.ConfigName); v < current.Version {
				t.Fatalf("the configuration was replaced by the older version %d", v)
			}
			if model.KeyEvidenceTime().After(now.Add(time.Second)) {
				t.Fatalf("key evidence is in the future: %v", model.KeyEvidenceTime())
			}
		}
		var request peerv1.FollowRequest
		if proto.Unmarshal(data, &request) == nil {
			decoded := decodeFollow(&request)
			if hasUpdates := model.HasUpdates(decoded); hasUpdates != (len(model.Answer(now, decoded, 0).Objects) > 0) {
				t.Fatalf("HasUpdates reports %t, which doesn't match the answer", hasUpdates)
			}
		}
	})
}
