package forwarder_test

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/standin/streamer"
)

// leavingCaller is the response writer of a caller that leaves after the first megabyte.
type leavingCaller struct {
	header http.Header
	n      int
}

func (w *leavingCaller) Header() http.Header { return w.header }
func (w *leavingCaller) WriteHeader(int)     {}
func (w *leavingCaller) Write(p []byte) (int, error) {
	if w.n += len(p); w.n > 1<<20 {
		return 0, errors.New("the caller has left")
	}
	return len(p), nil
}

// Guards against unlimited memory use: an endpoint sends some part of an answer without end.
// No more may be read than is passed on, but for what fits into buffers.
func TestEndlessAnswersOfEndpointsAreCutOff(t *testing.T) {
	const maxBytes, deadline = 16 << 20, time.Second
	id := forwarder.HeaderRequestID + ": 1\r\n"
	forms, bodies := streamer.Forms(id), streamer.Bodies(id)
	bodies["refusal not run"] = [2]string{"HTTP/1.1 503 Busy\r\nUpstream-Not-Run: true\r\n" + id + "\r\n", "a"}
	bodies["another request's"] = [2]string{"HTTP/1.1 200 OK\r\n" + forwarder.HeaderRequestID + ": 2\r\n\r\n", "a"}
	all := maps.Clone(forms)
	maps.Copy(all, bodies)
	for name, form := range all {
		t.Run(name, func(t *testing.T) {
			s, err := streamer.Listen(form[0], form[1])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			body, err := forwarder.ReadRequestBody(strings.NewReader(""), 0)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			f := forwarder.New()
			defer f.Close()
			w := &leavingCaller{header: http.Header{}}
			out := forwarder.OutgoingRequest{ID: "1", Method: http.MethodGet, URI: "/x", RequestBody: body}
			start := time.Now()
			result := f.Attempt(ctx, &forwarder.ResponseClaim{}, w, out, s.Address())
			if took := time.Since(start); result.Code == coder.OK || took > 2*deadline {
				t.Errorf("the attempt ended after %v with %v, want an error within %v", took, result.Code, 2*deadline)
			}
			select {
			case n := <-s.Sent():
				if n > maxBytes {
					t.Errorf("the endpoint could send %d bytes, %d allowed", n, maxBytes)
				}
			case <-time.After(time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}
