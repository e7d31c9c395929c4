// Package caller sends a team's requests through the system.
//
// A [Client] looks up which entry instances to use and keeps the answer for as
// long as it is valid. It tries again where that is safe: after a refusal that
// says "not run" it follows the hint when and where, and a request that must
// run at most once keeps its name over all tries.
//
// # Usage
//
//	c := caller.New([]string{"http://10.0.0.1:8081"}, caller.WithKey(secret))
//	answer, err := c.Do(ctx, caller.Request{Method: "POST", Path: "/stamping/7", Body: body})
//	var refusal *caller.Refusal
//	if errors.As(err, &refusal) && refusal.Ran() == coder.NotRun { ... }
package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primroseseam.org/seam/coder"
)

const (
	defaultAttempts = 4
	// avoidTime is how long an instance that failed is asked last.
	avoidTime = 5 * time.Second
	// lookupTimeout bounds one look-up.
	lookupTimeout = 2 * time.Second
	// shortestWait is the mean wait before a try at another instance.
	shortestWait = 20 * time.Millisecond
	// maxAnswerBytes bounds an answer, which is read whole.
	maxAnswerBytes = 64 << 20
)

// Request is what a caller asks for.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// Name identifies a request that must run at most once. It is chosen if it
	// is empty; give the one of an earlier answer to try again later.
	Name string
}

// Answer is a whole answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Name is the one that the request had, or "" for an idempotent one.
	Name string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	lookups  []string
	key      string
	region   string
	attempts int
	scheme   string
	http     *http.Client
	clock    clockwork.Clock
	// id tells this client's look-ups apart from those of others.
	id string

	mu      sync.Mutex
	entries entries
	avoid   map[string]time.Time
	counter uint64
}

// Option changes a client at its creation.
type Option func(*Client)

// WithKey sets the key that says for which team requests run.
func WithKey(secret string) Option { return func(c *Client) { c.key = secret } }

// WithRegion names the caller's region; else its address decides.
func WithRegion(region string) Option { return func(c *Client) { c.region = region } }

// WithAttempts bounds how often one request is tried.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = max(1, n) } }

// WithHTTPClient sets the client for look-ups and requests.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTLS sends requests to instances over TLS.
func WithTLS() Option { return func(c *Client) { c.scheme = "https" } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// New returns a client that looks up instances at some base addresses, such as
// "http://10.0.0.1:8081".
func New(lookups []string, opts ...Option) *Client {
	c := &Client{
		lookups:  lookups,
		attempts: defaultAttempts,
		scheme:   "http",
		http:     &http.Client{},
		clock:    clockwork.NewRealClock(),
		id:       rand.Text(),
		avoid:    map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do sends a request until it has a whole answer, or until another try isn't
// safe or doesn't help. The error is a [*Refusal] if the system refused, or
// carries OutcomeUnknown if the request may have run without an answer.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	var last error
	for try := range c.attempts {
		instance, err := c.instance(ctx)
		if err != nil {
			return Answer{}, errors.Join(last, err)
		}
		if !r.Idempotent && r.Name == "" {
			r.Name = c.nextName()
		}
		answer, err := c.send(ctx, instance, r)
		if err == nil {
			return answer, nil
		}
		last = err
		wait, again := c.next(instance, r, err)
		if !again || try == c.attempts-1 || !c.sleep(ctx, wait) {
			break
		}
	}
	return Answer{}, last
}

// nextName returns a name that no other request has: the ticket of the look-up
// and a counter. It says where the request's record is, so that it may be sent
// to any instance. Without a ticket there is no name.
func (c *Client) nextName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries.Ticket == "" {
		return ""
	}
	c.counter++
	return c.entries.Ticket + "." + strconv.FormatUint(c.counter, 10)
}

// next says whether and when to try again after an error.
func (c *Client) next(instance string, r Request, err error) (time.Duration, bool) {
	soon := shortestWait/2 + mathrand.N(shortestWait)
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		c.avoidFor(instance)
		return soon, r.Idempotent || r.Name != "" || isDial(err)
	}
	if refusal.ran != coder.NotRun {
		return max(soon, refusal.retryAfter), r.Idempotent
	}
	switch refusal.code {
	case coder.Stopping, coder.KeyEvidenceStale, coder.NoUpstream:
		c.avoidFor(instance)
		return soon, true
	case coder.KeyMissing, coder.KeyUnknown, coder.RouteUnknown, coder.RequestMalformed:
		return 0, false
	}
	return max(soon, refusal.retryAfter), true
}

// isDial reports whether no connection was made, so that nothing was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) avoidFor(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[instance] = c.clock.Now().Add(avoidTime)
}

// sleep waits; it reports false if ctx would end first.
func (c *Client) sleep(ctx context.Context, wait time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(wait):
		return true
	}
}

// Refusal says that the system didn't answer a request.
type Refusal struct {
	code       coder.Code
	ran        coder.Ran
	retryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d): %s, try again after %v", r.code, int(r.code), r.ran, r.retryAfter)
}

// Code returns the numbered code.
func (r *Refusal) Code() coder.Code { return r.code }

// Ran tells whether the request reached an upstream.
func (r *Refusal) Ran() coder.Ran { return r.ran }

// RetryAfter returns when another try makes sense.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }
