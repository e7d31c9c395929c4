package soaker

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"primroseseam.org/seam/waiter"
)

const (
	// uploadBytes is the size of the body of an upload. It is more than the sockets between
	// the caller and the endpoint hold.
	uploadBytes = 24 << 20
	// maxUploads is how many uploads are sent at the same time at most.
	maxUploads = 3
	// An endpoint reads an upload in uploadPieces pieces, for a random time between
	// minReadTime and maxReadTime in all. Before one of them it doesn't read at all for a
	// random time below maxReadStop, or for longReadStop in one of longReadStopOneIn uploads.
	uploadPieces      = 64
	minReadTime       = 300 * time.Millisecond
	maxReadTime       = 1500 * time.Millisecond
	maxReadStop       = 800 * time.Millisecond
	longReadStop      = 6 * time.Second
	longReadStopOneIn = 3
	// minGrace is the shortest grace period of an instance.
	minGrace = (graceSeconds - 1) * time.Second
	// uploadTimeout is the timeout of the route of uploads, and how long a caller waits for
	// the response.
	uploadTimeout = 15 * time.Second
	pathUpload    = "/upload/"
)

// uploadKeys are the API keys of uploads. Their teams have no rate limit.
var uploadKeys = []string{"key-a", "key-b"}

// upload sends uploads to one instance, which endpoints read slowly, and returns when all have
// ended. It isn't recorded as a fault: the rules hold beside it.
func upload(ctx context.Context, s *Soak, rng *rand.Rand) {
	c := s.newCaller(0)
	c.key = pick(rng, uploadKeys)
	c.chooseInstance()
	if c.instance == nil {
		return
	}
	count := 1 + rng.IntN(maxUploads)
	s.logf("%d uploads to %s", count, c.instance.id)
	var wg sync.WaitGroup
	for range count {
		s.uploadCount++
		id := "upload-" + strconv.Itoa(s.uploadCount)
		body := strings.Repeat(strconv.FormatUint(rng.Uint64()|1<<63, 16), uploadBytes/16)
		wg.Go(func() { c.sendUpload(id, body) })
		waiter.Pause(ctx, randomBelow(rng, maxReadStop))
	}
	wg.Wait()
	c.client.CloseIdleConnections()
}

// sendUpload sends an upload and records its result.
func (c *caller) sendUpload(id, body string) {
	out := outgoingRequest{path: pathUpload + id, object: id, body: body, timeout: uploadTimeout}
	r := callerRequest{
		id: id, team: keyTeams[c.key], instance: c.instance, lifetime: c.instance.lifetime(), sentAt: time.Now(),
		content: out.content(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	c.roundTrip(ctx, &r, out)
	r.endedAt = time.Now()
	r.cancelled = ctx.Err() != nil
	c.soak.history.recordRequest(r)
}

// describeBody returns what stands for a body in the content of a request and in the response to
// it: the body itself, or a digest of an upload.
func describeBody(body string) string {
	if len(body) < uploadBytes {
		return body
	}
	digest := sha256.Sum256([]byte(body))
	return hex.EncodeToString(digest[:])
}

// readBody reads the body of a request that reached an endpoint. It reads an upload slowly.
func (e *endpoint) readBody(r *http.Request, id string) (string, error) {
	var body strings.Builder
	if r.ContentLength < uploadBytes {
		_, err := io.Copy(&body, r.Body)
		return body.String(), err
	}
	pause := (minReadTime + rand.N(maxReadTime-minReadTime)) / uploadPieces
	stopBefore, stop := rand.IntN(uploadPieces), rand.N(maxReadStop)
	if rand.IntN(longReadStopOneIn) == 0 {
		stop = longReadStop
	}
	e.soak.history.recordUpload(id, uploadPieces*pause+stop)
	for piece := range uploadPieces {
		if piece == stopBefore {
			time.Sleep(stop)
		}
		time.Sleep(pause)
		if _, err := io.CopyN(&body, r.Body, r.ContentLength/uploadPieces); err != nil {
			return "", err
		}
	}
	_, err := io.Copy(&body, r.Body)
	return body.String(), err
}

// recordUpload records that an upload has reached an endpoint, which takes the given time to
// read it.
func (h *history) recordUpload(id string, readTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.uploads[id] = readTime
}

// checkUpload checks that an upload that has reached an endpoint gets the endpoint's answer,
// also if its instance is stopped as planned meanwhile and the endpoint reads it within the
// grace period. It leaves out uploads during a fault or shortly after one.
func (h *history) checkUpload(r callerRequest) {
	readTime, reached := h.uploads[r.id]
	if !reached || !h.noFaults(r.sentAt.Add(-undisturbedFor), r.endedAt) {
		return
	}
	if readTime >= minGrace && h.stoppedAround(r.instance, r.sentAt, r.endedAt) {
		return
	}
	isRefusal := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	if r.status != http.StatusOK && !isRefusal {
		h.addViolation(ruleUpload, "%s got status %d from %s after %v: %v", r.id, r.status, r.instance.id, r.endedAt.Sub(r.sentAt), r.failure)
	}
}
