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
	// requestTimeout limits each attempt to send a request.
	requestTimeout = 4 * time.Second
	// lookupTimeout limits one lookup.
	lookupTimeout = time.Second
	// maxAttempts is the number of attempts that a caller makes for one request.
	maxAttempts = 4
)

// entriesResponse is an instance's response to a lookup: the instances that callers
// should send their requests to, and for how long callers may cache this list.
type entriesResponse struct {
	steerer.Answer
	// Ticket is a prefix that the instance gives the caller for the names
	// (idempotency keys) of its non-idempotent requests. The caller appends a number.
	Ticket string `json:"ticket"`
}

// fetchEntries sends a lookup to the instance with the given lookup address. It returns
// the instances that a caller in the given region should use.
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

// caller sends requests at random intervals with a given average rate, using the API key
// of one team.
type caller struct {
	demo *Demo
	team string
	// secret is the team's API key.
	secret string
	// region is the region that the caller names in its lookups.
	region string
	// rate is the average number of requests per second.
	rate float64
	// label is part of every request path, so that no two callers of a team send the
	// same path.
	label          string
	rng            *rand.Rand
	client         *http.Client
	requestCounter atomic.Int64
	nameCounter    atomic.Int64

	mu sync.Mutex
	// lookupRNG selects the instance that each lookup is sent to.
	lookupRNG       *rand.Rand
	entries         entriesResponse
	entriesExpireAt time.Time
}

// run sends requests until ctx is done, and then waits until all sent requests have
// ended. The intervals between requests are exponentially distributed.
func (c *caller) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		request := c.nextRequest()
		wg.Go(func() { c.sendWithRetries(request) })
		waiter.Pause(ctx, time.Duration(c.rng.ExpFloat64()/c.rate*float64(time.Second)))
	}
}

// callerRequest is one request of a caller or of the prober. A correct response repeats
// its path and body.
type callerRequest struct {
	path       string
	body       string
	idempotent bool
	// name is the idempotency key of a non-idempotent request, which must run at most
	// once. All attempts of the request carry the same name. A request with an empty
	// name is retried only if it certainly did not run.
	name string
}

// nextRequest returns a request for a random service. The path is used by no other
// request of the run.
func (c *caller) nextRequest() callerRequest {
	n := c.requestCounter.Add(1)
	svc := c.demo.shape.Services[c.rng.IntN(len(c.demo.shape.Services))]
	return callerRequest{
		path:       fmt.Sprintf("/%s/%s/%s%d", svc.Name, c.team, c.label, n),
		body:       fmt.Sprintf("%s#%s%d", c.team, c.label, n),
		idempotent: svc.Idempotent,
	}
}

// sendWithRetries sends a request to the instances that the lookup returned, one after
// the other, in at most maxAttempts attempts. It makes another attempt in two cases: the
// instance couldn't be reached or is stopping, so that the request did not run; or the
// request may have run and has a name, by which the instances prevent a second run. The
// outcome of each attempt is recorded. A failed lookup uses up an attempt, but records
// no outcome.
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
		result.lastAttempt = !retry || attemptIndex == maxAttempts-1
		c.demo.checker.recordOutcome(result)
		if result.kind != attemptAnswered {
			c.expireEntries(result)
		}
		if result.lastAttempt {
			return
		}
	}
}

// attempt sends the request once, to the instance with the given address, and returns
// the outcome.
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

// nextInstance returns the address of the instance that an attempt is sent to, and the
// ticket for request names. If the cached lookup response has expired or lists no
// instances, it first sends a new lookup to a random instance of the run. If the lookup
// fails or its response lists no instances, ok is false.
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

// expireEntries makes the cached lookup response expire if the attempt failed or the
// instance refused it because it is stopping. The next attempt then sends a new lookup.
func (c *caller) expireEntries(o outcome) {
	if o.kind != attemptFailed && o.code != coder.Stopping {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesExpireAt = time.Time{}
}

// postRequest sends the request once to the instance with the given address, with secret
// as the API key. It returns an outcome that is classified by the response; the caller
// of postRequest sets the team, path, instance and times.
func postRequest(ctx context.Context, client *http.Client, address, secret string, request callerRequest) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.path, strings.NewReader(request.body))
	if err != nil {
		return outcome{kind: attemptFailed}
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	if request.name != "" {
		req.Header.Set(responder.HeaderName, request.name)
	}
	resp, err := client.Do(req)
	if err != nil {
		var opErr *net.OpError
		return outcome{kind: attemptFailed, dialFailed: errors.As(err, &opErr) && opErr.Op == "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{kind: attemptFailed}
	}
	if codeHeader := resp.Header.Get(forwarder.HeaderCode); codeHeader != "" {
		number, _ := strconv.Atoi(codeHeader)
		return outcome{kind: attemptRefused, code: coder.Code(number), notRun: resp.Header.Get(forwarder.HeaderNotRun) == "true"}
	}
	if resp.StatusCode != http.StatusOK {
		// A response without a code header comes from the upstream. The instance
		// forwards error responses unchanged, so there is no echo to compare.
		return outcome{kind: attemptAnswered, upstreamError: true, correct: true}
	}
	var answer responder.Answer
	err = json.Unmarshal(body, &answer)
	return outcome{kind: attemptAnswered, correct: err == nil && answer.Path == request.path && answer.Echo == request.body}
}
