package demonstrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/steerer"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/standin/responder"
)

const (
	// requestTimeout limits one attempt of a request.
	requestTimeout = 4 * time.Second
	// lookupTimeout limits one lookup.
	lookupTimeout = time.Second
	// maxAttempts is the number of attempts that a caller makes for one request.
	maxAttempts = 4
)

// entriesResponse is the response to a lookup.
type entriesResponse struct {
	steerer.Answer
	// Ticket is the first part of the names (idempotency keys) of requests that
	// must run at most once.
	Ticket string `json:"ticket"`
}

// fetchEntries looks up, at the instance with the lookup address, the instances that
// a caller in the region should use.
func fetchEntries(ctx context.Context, address, region string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var entries entriesResponse
	target := "http://" + address + "/v1/entries?region=" + url.QueryEscape(region)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return entries, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return entries, err
	}
	defer func() { _ = resp.Body.Close() }()
	return entries, json.NewDecoder(resp.Body).Decode(&entries)
}

// caller sends requests of one team at random intervals with a given average rate.
type caller struct {
	demo   *Demo
	team   string
	secret string
	region string
	// rate is the average number of requests per second.
	rate float64
	// label makes the request paths of one team's callers distinct.
	label          string
	rng            *rand.Rand
	client         *http.Client
	requestCounter atomic.Int64
	nameCounter    atomic.Int64

	mu sync.Mutex
	// lookupRNG selects the instances that are asked for lookups.
	lookupRNG       *rand.Rand
	entries         entriesResponse
	entriesExpireAt time.Time
}

// run sends requests until ctx is done and waits until all of them have ended. The
// intervals between requests are exponentially distributed.
func (c *caller) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		request := c.nextRequest()
		wg.Go(func() { c.sendWithRetries(request) })
		waiter.Pause(ctx, time.Duration(c.rng.ExpFloat64()/c.rate*float64(time.Second)))
	}
}

// callerRequest is one request of a caller. A correct response repeats the path and
// the body.
type callerRequest struct {
	path       string
	body       string
	idempotent bool
	// name is the idempotency key, the same in all attempts of a request that must
	// run at most once. Requests without one are retried only if they did not run.
	name string
}

// nextRequest returns a request for a random service. Its path is unique.
func (c *caller) nextRequest() callerRequest {
	n := c.requestCounter.Add(1)
	svc := c.demo.shape.Services[c.rng.IntN(len(c.demo.shape.Services))]
	return callerRequest{
		path:       fmt.Sprintf("/%s/%s/%s%d", svc.Name, c.team, c.label, n),
		body:       fmt.Sprintf("%s#%s%d", c.team, c.label, n),
		idempotent: svc.Idempotent,
	}
}

// sendWithRetries tries the instances of the lookup in turn. It retries a request that
// did not run because the instance couldn't be reached or is stopping, and one that may
// have run if it has a name, with which the system can prevent a second run. An attempt
// whose lookup fails records no outcome.
func (c *caller) sendWithRetries(request callerRequest) {
	for attemptIndex := range maxAttempts {
		address, ticket, ok := c.nextInstance(attemptIndex)
		if !ok {
			continue
		}
		if !request.idempotent && request.name == "" && ticket != "" {
			request.name = fmt.Sprintf("%s.%d", ticket, c.nameCounter.Add(1))
		}
		result := c.attempt(address, request)
		retry := result.canRetryElsewhere() || (result.mayHaveRun() && request.name != "")
		result.final = !retry || attemptIndex == maxAttempts-1
		c.demo.checker.recordOutcome(result)
		if result.kind != answered {
			c.expireEntries(result)
		}
		if result.final {
			return
		}
	}
}

// attempt sends the request to one instance, once.
func (c *caller) attempt(address string, request callerRequest) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	result := postRequest(ctx, c.client, address, c.secret, request)
	result.team, result.path, result.instance = c.team, request.path, address
	result.idempotent = request.idempotent
	result.sentAt, result.latency = startedAt, time.Since(startedAt)
	return result
}

// nextInstance returns the address of the instance for an attempt and the ticket for
// request names. It makes a new lookup at a random instance if the cached one has
// expired or is empty, and reports false if that fails.
func (c *caller) nextInstance(attemptIndex int) (address, ticket string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.entriesExpireAt) || len(c.entries.Instances) == 0 {
		from := c.demo.instances[c.lookupRNG.IntN(len(c.demo.instances))]
		response, err := fetchEntries(context.Background(), from.daemon.LookupAddress(), c.region)
		if err != nil || len(response.Instances) == 0 {
			return "", "", false
		}
		c.entries = response
		c.entriesExpireAt = time.Now().Add(response.TTL)
	}
	return c.entries.Instances[attemptIndex%len(c.entries.Instances)].Address, c.entries.Ticket, true
}

// expireEntries discards the cached lookup if the outcome shows that the instance is
// gone or stopping.
func (c *caller) expireEntries(o outcome) {
	if o.kind != failed && o.code != coder.Stopping {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesExpireAt = time.Time{}
}

// postRequest sends one HTTP request and classifies the response.
func postRequest(ctx context.Context, client *http.Client, address, secret string, request callerRequest) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.path, strings.NewReader(request.body))
	if err != nil {
		return outcome{kind: failed}
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	if request.name != "" {
		req.Header.Set(responder.HeaderName, request.name)
	}
	resp, err := client.Do(req)
	if err != nil {
		var opErr *net.OpError
		return outcome{kind: failed, dialFailed: errors.As(err, &opErr) && opErr.Op == "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{kind: failed}
	}
	if codeHeader := resp.Header.Get(forwarder.HeaderCode); codeHeader != "" {
		number, _ := strconv.Atoi(codeHeader)
		return outcome{kind: refused, code: coder.Code(number), notRun: resp.Header.Get(forwarder.HeaderNotRun) == "true"}
	}
	if resp.StatusCode != http.StatusOK {
		// The system forwards an upstream's error response unchanged.
		return outcome{kind: answered, upstreamError: true, correct: true}
	}
	var answer responder.Answer
	err = json.Unmarshal(body, &answer)
	return outcome{kind: answered, correct: err == nil && answer.Path == request.path && answer.Echo == request.body}
}
