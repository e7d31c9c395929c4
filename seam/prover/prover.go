// Package prover lets instances and operators prove that they hold a shared
// secret, without sending it.
//
// A request carries a message authentication code over its method, host, path,
// time, nonce and body; the answer carries one over the request's code and its
// own status and body. So neither side can be forged, also on plain TCP, and a
// request that was recorded is refused when it is sent again. Nothing is
// encrypted: use TLS where the content has to stay private.
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

// Headers that carry the proofs.
const (
	headerTime        = "Seam-Proof-Time"
	headerNonce       = "Seam-Proof-Nonce"
	headerProof       = "Seam-Proof"
	headerAnswerProof = "Seam-Answer-Proof"
)

const (
	// MinSecretBytes is the shortest secret that is accepted.
	MinSecretBytes = 32
	// window is how far the clocks of two instances may be apart.
	window = 5 * time.Minute
	// maxRequestBytes bounds what is read of a request before its proof is
	// checked: an object of the store with room to spare.
	maxRequestBytes = 4 << 20
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// Prover proves and checks the knowledge of a secret. It is safe for
// concurrent use.
type Prover struct {
	secret []byte
	clock  clockwork.Clock

	mu     sync.Mutex
	nonces map[string]time.Time
	swept  time.Time
}

// Option changes a prover at its creation.
type Option func(*Prover)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(p *Prover) { p.clock = c } }

// New returns a prover for a secret.
func New(secret []byte, opts ...Option) *Prover {
	p := &Prover{secret: secret, clock: clockwork.NewRealClock(), nonces: map[string]time.Time{}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// requestProof is the code over a request.
func (p *Prover) requestProof(r *http.Request, host string, body []byte) string {
	digest := sha256.Sum256(body)
	return p.code("request", r.Method, host, r.URL.RequestURI(), r.Header.Get(headerTime), r.Header.Get(headerNonce), hex.EncodeToString(digest[:]))
}

// answerProof is the code over an answer to a request.
func (p *Prover) answerProof(requestProof string, status int, body []byte) string {
	digest := sha256.Sum256(body)
	return p.code("answer", requestProof, strconv.Itoa(status), hex.EncodeToString(digest[:]))
}

func (p *Prover) code(parts ...string) string {
	mac := hmac.New(sha256.New, p.secret)
	for _, part := range parts {
		_, _ = fmt.Fprintf(mac, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// Transport signs requests and refuses answers without a proof.
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
		return nil, coder.Errorf(coder.PeerUnauthenticated, r.URL.Host, "answer without a valid proof, status %d", resp.StatusCode)
	}
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	return resp, nil
}

// readBody reads a whole body; it fails if that is longer than limit bytes.
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

// Handler passes on requests that carry a proof and signs the answers.
func (p *Prover) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(r.Body, maxRequestBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err := p.check(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		held := &heldAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(held, r)
		w.Header().Set(headerAnswerProof, p.answerProof(r.Header.Get(headerProof), held.status, held.body.Bytes()))
		w.WriteHeader(held.status)
		_, _ = w.Write(held.body.Bytes())
	})
}

// check verifies the proof of a request and that it is the first of its kind.
func (p *Prover) check(r *http.Request, body []byte) error {
	expected := p.requestProof(r, r.Host, body)
	if !hmac.Equal([]byte(expected), []byte(r.Header.Get(headerProof))) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "no valid proof")
	}
	millis, err := strconv.ParseInt(r.Header.Get(headerTime), 10, 64)
	if err != nil {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "no time: %w", err)
	}
	now := p.clock.Now()
	sent := time.UnixMilli(millis)
	if sent.Before(now.Add(-window)) || sent.After(now.Add(window)) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "clocks are more than %v apart", window)
	}
	if !p.first(r.Header.Get(headerNonce), now) {
		return coder.Errorf(coder.PeerUnauthenticated, r.URL.Path, "request was sent before")
	}
	return nil
}

// first reports whether a nonce is new within the time that requests count.
func (p *Prover) first(nonce string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) > window {
		p.swept = now
		for seen, at := range p.nonces {
			if now.Sub(at) > 2*window {
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

// heldAnswer keeps an answer until its proof is made.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *heldAnswer) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldAnswer) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldAnswer) Write(data []byte) (int, error) { return h.body.Write(data) }
