package heartbeater_test

import (
	"context"
	"testing"
	"time"

	"primroseseam.org/seamedge/heartbeater"
	"primroseseam.org/standin/streamer"
)

// Guards against an empty copy: a response whose status is invalid, or announces another response,
// fails the call to another instance. With a valid status the same body is accepted.
func TestInvalidStatusesFailCallsOfInstances(t *testing.T) {
	for _, status := range append([]string{"200"}, streamer.InvalidStatuses...) {
		l, err := streamer.ListenWithStatus(status, `{"deltas":[]}`)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err = heartbeater.FetchCopies(ctx, heartbeater.NewClient(), l.Addr().String(), heartbeater.CopyRequest{})
		if accepted := err == nil; accepted != (status == "200") {
			t.Errorf("%s: accepted %v: %v", status, accepted, err)
		}
		cancel()
		_ = l.Close()
	}
}
