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
	// requestTimeout bounds one attempt of a caller.
	requestTimeout = 4 * time.Second
	// lookUpTimeout bounds one look-up.
	lookUpTimeout = time.Second
	// maxTries bounds the instances that a caller asks for one request.
	maxTries = 4
)

// entryAnswer is the answer to a look-up.
type entryAnswer struct {
	steerer.Answer
	// Ticket starts the names of requests that must run at most once.
	Ticket string `json:"ticket"`
}

// lookUp asks an instance which instances a caller in region should use.
func lookUp(ctx context.Context, address, region string) (entryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	var answer entryAnswer
	target := "http://" + address + "/v1/entries?region=" + url.QueryEscape(region)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// caller sends the requests of one team at a steady rate.
type caller struct {
	demo   *Demo
	team   string
	secret string
	region string
	rate   float64
	// label keeps the paths of one team's callers apart.
	label  string
	rng    *rand.Rand
	client *http.Client
	sent   atomic.Int64
	named  atomic.Int64

	mu sync.Mutex
	// lookUps chooses the instances to ask for look-ups.
	lookUps *rand.Rand
	entries entryAnswer
	expires time.Time
}

// run sends requests until ctx ends and waits for their answers.
func (c *caller) run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		request := c.nextRequest()
		open.Go(func() { c.send(request) })
		waiter.Pause(ctx, time.Duration(c.rng.ExpFloat64()/c.rate*float64(time.Second)))
	}
}

// outgoing is one request of a caller and what its answer must repeat.
type outgoing struct {
	path       string
	body       string
	idempotent bool
	// name is the same over all tries of a request that must run at most once.
	name string
}

func (c *caller) nextRequest() outgoing {
	n := c.sent.Add(1)
	svc := c.demo.shape.Services[c.rng.IntN(len(c.demo.shape.Services))]
	return outgoing{
		path:       fmt.Sprintf("/%s/%s/%s%d", svc.Name, c.team, c.label, n),
		body:       fmt.Sprintf("%s#%s%d", c.team, c.label, n),
		idempotent: svc.Idempotent,
	}
}

// send asks the instances of the look-up answer in turn, as long as the
// request is known not to have run.
func (c *caller) send(o outgoing) {
	for try := range maxTries {
		address, ticket, ok := c.entry(try)
		if !ok {
			continue
		}
		if !o.idempotent && o.name == "" && ticket != "" {
			o.name = fmt.Sprintf("%s.%d", ticket, c.named.Add(1))
		}
		result := c.attempt(address, o)
		again := result.askElsewhere() || (result.unknown() && o.name != "")
		result.final = !again || try == maxTries-1
		c.demo.checker.callerSaw(result)
		if result.kind != answered {
			c.forgetEntries(result)
		}
		if result.final {
			return
		}
	}
}

// attempt sends the request to one instance.
func (c *caller) attempt(address string, o outgoing) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	started := time.Now()
	result := exchange(ctx, c.client, address, c.secret, o)
	result.team, result.path, result.instance = c.team, o.path, address
	result.idempotent = o.idempotent
	result.sentAt, result.latency = started, time.Since(started)
	return result
}

// entry returns the instance to use, from a look-up that is still fresh.
func (c *caller) entry(try int) (address, ticket string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.entries.Instances) == 0 {
		from := c.demo.instances[c.lookUps.IntN(len(c.demo.instances))]
		answer, err := lookUp(context.Background(), from.daemon.LookupAddress(), c.region)
		if err != nil || len(answer.Instances) == 0 {
			return "", "", false
		}
		c.entries = answer
		c.expires = time.Now().Add(answer.TTL)
	}
	return c.entries.Instances[try%len(c.entries.Instances)].Address, c.entries.Ticket, true
}

// forgetEntries makes the next request look up anew if an instance is gone.
func (c *caller) forgetEntries(o outcome) {
	if o.kind != failed && o.code != coder.Stopping {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// exchange makes one HTTP request and judges its answer.
func exchange(ctx context.Context, client *http.Client, address, secret string, o outgoing) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+o.path, strings.NewReader(o.body))
	if err != nil {
		return outcome{kind: failed}
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	if o.name != "" {
		req.Header.Set(responder.HeaderName, o.name)
	}
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		return outcome{kind: failed, notSent: errors.As(err, &op) && op.Op == "dial"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{kind: failed}
	}
	if header := resp.Header.Get(forwarder.HeaderCode); header != "" {
		number, _ := strconv.Atoi(header)
		return outcome{kind: refused, code: coder.Code(number), notRun: resp.Header.Get(forwarder.HeaderNotRun) == "true"}
	}
	if resp.StatusCode != http.StatusOK {
		// An upstream's own error is passed on as it is.
		return outcome{kind: answered, upstreamError: true, right: true}
	}
	var answer responder.Answer
	err = json.Unmarshal(body, &answer)
	return outcome{kind: answered, right: err == nil && answer.Path == o.path && answer.Echo == o.body}
}
