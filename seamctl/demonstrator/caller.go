package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"primroseseam.org/seam/steerer"
	"primroseseam.org/seamd/forwarder"
	"primroseseam.org/standin/responder"
)

// requestTimeout bounds one request of a caller.
const requestTimeout = 3 * time.Second

// lookUp asks an instance which instances a caller in region should use.
func lookUp(ctx context.Context, address, region string) (steerer.Answer, error) {
	var answer steerer.Answer
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
	demo    *Demo
	team    string
	secret  string
	region  string
	rate    float64
	rng     *rand.Rand
	client  *http.Client
	entries steerer.Answer
	expires time.Time
	sent    int
}

func (c *caller) run(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for ctx.Err() == nil {
		entry, ok := c.entry(ctx)
		if ok {
			c.sent++
			request := c.nextRequest(entry)
			open.Go(func() { c.send(request) })
		}
		gap := time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
}

// entry returns the instance to use, from a look-up that is still fresh.
func (c *caller) entry(ctx context.Context) (string, bool) {
	if time.Now().After(c.expires) || len(c.entries.Instances) == 0 {
		from := c.demo.daemons[c.rng.IntN(len(c.demo.daemons))]
		answer, err := lookUp(ctx, from.LookupAddress(), c.region)
		if err != nil || len(answer.Instances) == 0 {
			return "", false
		}
		c.entries = answer
		c.expires = time.Now().Add(answer.TTL)
	}
	return c.entries.Instances[0].Address, true
}

// outgoing is one request of a caller and what its answer must repeat.
type outgoing struct {
	url  string
	path string
	body string
}

func (c *caller) nextRequest(entry string) outgoing {
	svc := c.demo.shape.Services[c.rng.IntN(len(c.demo.shape.Services))]
	path := fmt.Sprintf("/%s/%s/%d", svc.Name, c.team, c.sent)
	return outgoing{url: "http://" + entry + path, path: path, body: fmt.Sprintf("%s#%d", c.team, c.sent)}
}

func (c *caller) send(o outgoing) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	started := time.Now()
	outcome := c.exchange(ctx, o)
	outcome.team = c.team
	outcome.path = o.path
	outcome.latency = time.Since(started)
	c.demo.checker.callerSaw(outcome)
}

func (c *caller) exchange(ctx context.Context, o outgoing) outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.url, strings.NewReader(o.body))
	if err != nil {
		return outcome{failed: true}
	}
	req.Header.Set("Authorization", "Bearer "+c.secret)
	resp, err := c.client.Do(req)
	if err != nil {
		return outcome{failed: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{failed: true}
	}
	if resp.StatusCode != http.StatusOK {
		return outcome{refused: true, notRun: resp.Header.Get(forwarder.HeaderNotRun) == "true"}
	}
	var answer responder.Answer
	err = json.Unmarshal(body, &answer)
	return outcome{right: err == nil && answer.Path == o.path && answer.Echo == o.body}
}
