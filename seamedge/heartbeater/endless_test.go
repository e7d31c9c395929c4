package heartbeater_test

import (
	"context"
	"maps"
	"testing"
	"time"

	"primroseseam.org/seamedge/heartbeater"
	"primroseseam.org/standin/streamer"
)

// Guards against unlimited memory use: another instance, or what answers in its place, sends
// some part of a response without end.
func TestEndlessAnswersOfInstancesAreCutOff(t *testing.T) {
	const maxBytes = 32 << 20
	forms := streamer.Forms("Content-Type: application/json\r\n")
	maps.Copy(forms, streamer.Bodies("Content-Type: application/json\r\n"))
	client := heartbeater.NewClient()
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			s, err := streamer.Listen(form[0], form[1])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err = heartbeater.FetchCopies(ctx, client, s.Address(), heartbeater.CopyRequest{})
			if err == nil || ctx.Err() != nil {
				t.Errorf("the call ended with %v, want an error within 3 s", err)
			}
			if n := <-s.Sent(); n > maxBytes {
				t.Errorf("the instance could send %d bytes, %d allowed", n, maxBytes)
			}
		})
	}
}
