// Package caller is a client library that sends a team's requests through the load
// balancer. In this repository, only tests use it.
//
// A [Client] looks up which load balancer instances to use and caches the result until it
// expires. A refusal is an error response of the load balancer itself. The client retries
// a non-idempotent request only if the retry can't execute the request twice. That is so
// after a refusal which states that the request wasn't executed, and after a failed
// connection attempt. It is also so after a missing response if the request has a name:
// all attempts have the same name, and the instances detect duplicates by it. After a
// refusal, the client waits for the delay that the refusal gives. It waits only briefly if
// another instance may be able to serve the request.
//
// A ticket is the part of a lookup's result from which the client makes the names of its
// requests.
//
// # Usage
//
//	c := caller.New([]string{"http://10.0.0.1:8081"}, caller.WithKey(secret))
//	response, err := c.Do(ctx, caller.Request{Method: "POST", Path: "/stamping/7", Body: body})
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
	defaultMaxAttempts = 4
	// avoidDuration is how long after a failure an instance is used only if all other
	// instances have failed too.
	avoidDuration = 5 * time.Second
	// lookupTimeout limits one lookup.
	lookupTimeout = 2 * time.Second
	// meanRetryDelay is the mean of the random delay before a retry. The delay is
	// between 0.5 and 1.5 times meanRetryDelay, unless a refusal gives a longer delay.
	meanRetryDelay = 20 * time.Millisecond
	// maxResponseBytes is the maximum size of a response body. A longer body is an
	// error, since a part of it must not be taken for the whole.
	maxResponseBytes = 64 << 20
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent means that the request may be executed more than once.
	Idempotent bool
	// Name is the idempotency key of a request that must be executed at most once. If
	// Name is empty and the request isn't idempotent, the client generates a name. To
	// repeat an earlier request, set Name to [Response.Name] of that request.
	Name string
}

// Response is a complete response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Name is the name of the request, or "" if it was sent without one.
	Name string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	lookupURLs  []string
	apiKey      string
	region      string
	maxAttempts int
	scheme      string
	http        *http.Client
	clock       clockwork.Clock
	// clientID is sent with every lookup, so that the instances direct this client to
	// the same region each time.
	clientID string

	mu         sync.Mutex
	lastLookup lookupResult
	// avoidUntil holds, by the address of an instance that failed, the time until which
	// the client prefers other instances.
	avoidUntil  map[string]time.Time
	nameCounter uint64
}

// Option configures a client.
type Option func(*Client)

// WithKey sets the team's API key, which authenticates requests.
func WithKey(secret string) Option { return func(c *Client) { c.apiKey = secret } }

// WithRegion sets the client's region. By default, instances derive the region from the
// client's address.
func WithRegion(region string) Option { return func(c *Client) { c.region = region } }

// WithAttempts sets the maximum number of attempts for a request. A number below 1 counts
// as 1.
func WithAttempts(n int) Option { return func(c *Client) { c.maxAttempts = max(1, n) } }

// WithHTTPClient sets the HTTP client for lookups and requests.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTLS sends requests to instances over TLS. Lookups use the scheme of their URLs.
func WithTLS() Option { return func(c *Client) { c.scheme = "https" } }

// WithClock sets the clock for expiry times and retry delays.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// New returns a client that looks up instances at the given base URLs, such as
// "http://10.0.0.1:8081".
func New(lookupURLs []string, opts ...Option) *Client {
	c := &Client{
		lookupURLs:  lookupURLs,
		maxAttempts: defaultMaxAttempts,
		scheme:      "http",
		http:        &http.Client{},
		clock:       clockwork.NewRealClock(),
		clientID:    rand.Text(),
		avoidUntil:  map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Do sends a request and returns the complete response of an upstream. After a failed
// attempt, Do retries the request. It stops if a retry is unsafe or useless, if the maximum
// number of attempts is reached, or if ctx would end before the next attempt. The error is
// that of the last attempt. It is a [*Refusal] if an instance refused the request. It has
// the code OutcomeUnknown if the request may have been executed but no complete response
// arrived. If no instance can be looked up, the error has the code NoUpstream.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	var lastErr error
	for attempt := range c.maxAttempts {
		instance, err := c.pickInstance(ctx)
		if err != nil {
			return Response{}, errors.Join(lastErr, err)
		}
		if !r.Idempotent && r.Name == "" {
			r.Name = c.nextName()
		}
		response, err := c.send(ctx, instance, r)
		if err == nil {
			return response, nil
		}
		lastErr = err
		delay, retry := c.planRetry(instance, r, err)
		if !retry || attempt == c.maxAttempts-1 || !c.sleep(ctx, delay) {
			break
		}
	}
	return Response{}, lastErr
}

// nextName returns a unique name for a request, which consists of the ticket from the last
// lookup and a counter. The ticket identifies the instance that records the request, so
// the request may be sent to any instance. If the last lookup had no ticket, nextName
// returns "".
func (c *Client) nextName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastLookup.Ticket == "" {
		return ""
	}
	c.nameCounter++
	return c.lastLookup.Ticket + "." + strconv.FormatUint(c.nameCounter, 10)
}

// planRetry returns the delay before a retry after an error, and whether the request may be
// retried. If another instance may be able to serve the request, planRetry marks instance
// as failed and ignores the delay that a refusal gives.
func (c *Client) planRetry(instance string, r Request, err error) (time.Duration, bool) {
	backoff := meanRetryDelay/2 + mathrand.N(meanRetryDelay)
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		c.markFailed(instance)
		return backoff, r.Idempotent || r.Name != "" || isDialError(err)
	}
	if refusal.ran != coder.NotRun {
		return max(backoff, refusal.retryAfter), r.Idempotent
	}
	switch refusal.code {
	case coder.Stopping, coder.KeyEvidenceStale, coder.NoUpstream:
		c.markFailed(instance)
		return backoff, true
	case coder.KeyMissing, coder.KeyUnknown, coder.RouteUnknown, coder.RequestMalformed:
		return 0, false
	}
	return max(backoff, refusal.retryAfter), true
}

// isDialError reports whether err means that no connection was established, so that no
// part of the request was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// markFailed makes the client prefer all other instances for avoidDuration.
func (c *Client) markFailed(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[instance] = c.clock.Now().Add(avoidDuration)
}

// sleep waits for delay and returns true. It returns false if ctx ends during the wait. If
// the deadline of ctx is before the end of delay, sleep returns false without waiting.
func (c *Client) sleep(ctx context.Context, delay time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(delay):
		return true
	}
}

// Refusal is the error of a request to which the load balancer responded with an error
// of its own, instead of the response of an upstream.
type Refusal struct {
	code       coder.Code
	ran        coder.Ran
	retryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d): %s, retry after %v", r.code, int(r.code), r.ran, r.retryAfter)
}

// Code returns the reason for the refusal.
func (r *Refusal) Code() coder.Code { return r.code }

// Ran returns whether an upstream executed the request, as far as is known.
func (r *Refusal) Ran() coder.Ran { return r.ran }

// RetryAfter returns the delay after which a retry may succeed.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }
