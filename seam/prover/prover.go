// Package prover authenticates HTTP requests and their responses with a shared secret
// that is never sent. The fleet daemon seamd uses it for requests between instances, and
// the operators' client seamctl for its requests to instances.
//
// A proof is a hex-encoded HMAC-SHA256. The proof of a request covers its method, host,
// URI, time, nonce and body. The proof of a response covers the request's proof and the
// response's status and body. All other headers aren't covered. Without the secret,
// nobody can forge a request or a response, even over plain TCP. A recorded request that
// is sent again is rejected. Nothing is encrypted: use TLS where the content must stay
// private.
//
// # Usage
//
//	p := prover.New(secret)
//	server.Handler = p.Handler(mux)
//	client.Transport = p.Transport(http.DefaultTransport)
package prover

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/coder"
)

// Headers that carry the proofs of requests and responses, and the time and the nonce
// that the proof of a request covers.
const (
	headerTime        = "Seam-Proof-Time"
	headerNonce       = "Seam-Proof-Nonce"
	headerProof       = "Seam-Proof"
	headerAnswerProof = "Seam-Answer-Proof"
)

const (
	// MinSecretBytes is the minimum length of the secret in bytes. Callers of [New] check
	// it.
	MinSecretBytes = 32
	// maxClockSkew is the maximum difference between the time in a request's header and
	// this process's clock, in either direction.
	maxClockSkew = 5 * time.Minute
	// maxRequestBytes is the maximum size of a request's body. The whole body is held in
	// memory until its proof is checked. The limit is well above the size of the largest
	// object in the store.
	maxRequestBytes = 4 << 20
	// maxAnswerBytes is the maximum size of a response's body.
	maxAnswerBytes = 64 << 20
)

// Prover signs and verifies requests and responses with a secret. It is safe for
// concurrent use.
type Prover struct {
	secret []byte
	clock  clockwork.Clock

	mu sync.Mutex
	// nonces holds the time at which each nonce was received, so that a request that is
	// sent again can be rejected. lastSweep is when old nonces were last removed.
	nonces    map[string]time.Time
	lastSweep time.Time
}

// Option configures a Prover.
type Option func(*Prover)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clockwork.Clock) Option { return func(p *Prover) { p.clock = c } }

// New returns a Prover for a secret. Callers ensure that the secret has at least
// [MinSecretBytes] bytes.
func New(secret []byte, opts ...Option) *Prover {
	p := &Prover{secret: secret, clock: clockwork.NewRealClock(), nonces: map[string]time.Time{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// requestProof returns the proof of a request to a host with the given body. The headers
// with the request's time and nonce must be set.
func (p *Prover) requestProof(r *http.Request, host string, body []byte) string {
	digest := sha256.Sum256(body)
	return p.mac("request", r.Method, host, r.URL.RequestURI(), r.Header.Get(headerTime), r.Header.Get(headerNonce), hex.EncodeToString(digest[:]))
}

// answerProof returns the proof of a response to the request with the given proof.
func (p *Prover) answerProof(requestProof string, status int, body []byte) string {
	digest := sha256.Sum256(body)
	return p.mac("answer", requestProof, strconv.Itoa(status), hex.EncodeToString(digest[:]))
}

// mac returns the hex-encoded HMAC-SHA256 of the parts with the secret. Each part is
// preceded by its length, so that different lists of parts never give the same input.
func (p *Prover) mac(parts ...string) string {
	hash := hmac.New(sha256.New, p.secret)
	for _, part := range parts {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Transport returns a transport that signs requests and returns an error for responses
// without a valid proof. It reads request and response bodies whole.
func (p *Prover) Transport(base http.RoundTripper) http.RoundTripper {
	return &transport{prover: p, base: base}
}

type transport struct {
	prover *Prover
	base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readBody(r.Body, maxRequestBytes)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(headerTime, strconv.FormatInt(t.prover.clock.Now().UnixMilli(), 10))
	signed.Header.Set(headerNonce, rand.Text())
	proof := t.prover.requestProof(signed, signed.URL.Host, body)
	signed.Header.Set(headerProof, proof)
	resp, err := t.base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	answer, err := readBody(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	expected := t.prover.answerProof(proof, resp.StatusCode, answer)
	if !hmac.Equal([]byte(expected), []byte(resp.Header.Get(headerAnswerProof))) {
		return nil, coder.Errorf(coder.PeerUnauthenticated, r.URL.Host, "response with status %d has no valid proof", resp.StatusCode)
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}

// readBody reads and closes a body. It fails if the body is longer than limit bytes.
func readBody(body io.ReadCloser, limit int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("body is longer than %d bytes", limit)
	}
	return data, err
}

// Handler returns a handler that passes requests with a valid proof to next and signs
// the responses. It rejects all other requests with a response that has no proof: with
// status 413 if the body can't be read or is too long, and with status 401 if the proof
// is missing or invalid, the time is too far off or the request was received before.
func (p *Prover) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r.Body, maxRequestBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err := p.verify(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		buffered := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r)
		w.Header().Set(headerAnswerProof, p.answerProof(r.Header.Get(headerProof), buffered.status, buffered.body.Bytes()))
		w.WriteHeader(buffered.status)
		_, _ = w.Write(buffered.body.Bytes())
	})
}

// verify checks that the proof of a request is valid, that the request's time is near
// the current time and that the request has not been received before. It records the
// request's nonce. Errors carry [coder.PeerUnauthenticated].
func (p *Prover) verify(r *http.Request, body []byte) error {
	expected := p.requestProof(r, r.Host, body)
	if !hmac.Equal([]byte(expected), []byte(r.Header.Get(headerProof))) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "request has no valid proof")
	}
	millis, err := strconv.ParseInt(r.Header.Get(headerTime), 10, 64)
	if err != nil {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "request has no valid time: %w", err)
	}
	now := p.clock.Now()
	sent := time.UnixMilli(millis)
	if sent.Before(now.Add(-maxClockSkew)) || sent.After(now.Add(maxClockSkew)) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "request's time is more than %v from this instance's clock", maxClockSkew)
	}
	if !p.recordNonce(r.Header.Get(headerNonce), now) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "request was received before")
	}
	return nil
}

// recordNonce records a nonce and reports whether it is new. Nonces are kept for twice
// maxClockSkew, because a request stays valid for up to that long: its time may be
// maxClockSkew ahead of this process's clock on arrival, and later maxClockSkew behind.
func (p *Prover) recordNonce(nonce string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) > maxClockSkew {
		p.lastSweep = now
		for seen, at := range p.nonces {
			if now.Sub(at) > 2*maxClockSkew {
				delete(p.nonces, seen)
			}
		}
	}
	if _, seen := p.nonces[nonce]; seen {
		return false
	}
	p.nonces[nonce] = now
	return true
}

// bufferedAnswer buffers a response, because its proof is sent in a header and depends on
// the whole body.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(data []byte) (int, error) { return b.body.Write(data) }
