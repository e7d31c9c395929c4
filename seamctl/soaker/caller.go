package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/waiter"
)

const (
	// callerPause is a caller's mean pause between a request's end and the next
	// request, hotPause that of callers of hotTeam.
	callerPause = 80 * time.Millisecond
	hotPause    = 8 * time.Millisecond
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 3 * time.Second
	// earlyCancelRatio is the share of requests that the caller cancels early, at a
	// random time below earlyCancelMax.
	earlyCancelRatio = 0.3
	earlyCancelMax   = 400 * time.Millisecond
	// lookupTTL is how long a caller uses a lookup's result.
	lookupTTL = 2 * time.Second
	// objectCount is the number of affinity keys that callers choose from.
	objectCount = 40
)

// caller sends requests with one API key to one instance at a time, over a connection
// that it reuses.
type caller struct {
	soak       *Soak
	name       string
	key        string
	rng        *rand.Rand
	client     *http.Client
	instance   *instance
	resolvedAt time.Time
	sent       int
}

func (s *Soak) newCaller(n int) *caller {
	keys := []string{"key-a", "key-b", "key-hot", "key-leaving"}
	return &caller{
		soak: s, name: "c" + strconv.Itoa(n), key: keys[n%len(keys)], rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends one request after the other, with random pauses, until ctx is done.
func (c *caller) run(ctx context.Context) {
	mean := callerPause
	if keyTeams[c.key] == hotTeam {
		mean = hotPause
	}
	for waiter.Pause(ctx, randomBelow(c.rng, 2*mean)) {
		if c.instance == nil || time.Since(c.resolvedAt) > lookupTTL {
			c.chooseInstance()
		}
		if c.instance != nil {
			c.sendRequest()
		}
	}
	c.client.CloseIdleConnections()
}

// chooseInstance looks up the instances to connect to, starting at a random instance and
// asking the next one if that fails. It keeps the current instance if it is in the result.
func (c *caller) chooseInstance() {
	first := c.rng.IntN(len(c.soak.instances))
	for n := range c.soak.instances {
		candidate := c.soak.instances[(first+n)%len(c.soak.instances)]
		addresses, err := c.lookUp(candidate)
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.resolvedAt = time.Now()
		for _, a := range addresses {
			if c.instance != nil && c.instance.address(portCallers) == a {
				return
			}
		}
		c.switchTo(addresses[c.rng.IntN(len(addresses))])
		return
	}
}

// lookUp asks an instance for the addresses that callers may connect to.
func (c *caller) lookUp(target *instance) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s%s?name=%s&region=region-0&zone=%s", target.address(portLookups), platform.PathLookup, host, zoneOf(c.rng.IntN(2)))
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	return answer.Addresses, json.NewDecoder(resp.Body).Decode(&answer)
}

// switchTo closes the connection and selects the instance with the given address, or
// none if the address is unknown.
func (c *caller) switchTo(callerAddress string) {
	c.client.CloseIdleConnections()
	c.instance = nil
	for _, i := range c.soak.instances {
		if i.address(portCallers) == callerAddress {
			c.instance = i
		}
	}
}

// sendRequest sends a request, records its result, and waits as long as Retry-After says.
func (c *caller) sendRequest() {
	c.sent++
	r := callerRequest{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), team: keyTeams[c.key], instance: c.instance, lifetime: c.instance.lifetime(), sent: time.Now(),
		idempotent: c.rng.IntN(2) == 0,
	}
	path := pathNonIdempotent
	if r.idempotent {
		path = pathIdempotent
	}
	object := strconv.Itoa(c.rng.IntN(objectCount))
	path += object
	body := "body-" + strconv.FormatUint(c.rng.Uint64(), 36)
	r.content = http.MethodPost + " " + path + " " + body
	ctx, cancel := context.WithTimeout(context.Background(), c.chooseTimeout())
	defer cancel()
	retryAfter := c.roundTrip(ctx, &r, path, object, body)
	r.ended = time.Now()
	r.cancelled = ctx.Err() != nil
	c.soak.history.recordRequest(r)
	if r.status == 0 {
		// Without a complete response, look up an instance before the next request.
		c.instance = nil
		return
	}
	time.Sleep(retryAfter)
}

// chooseTimeout returns how long the caller waits for a response: requestTimeout, or less
// for requests that it cancels early.
func (c *caller) chooseTimeout() time.Duration {
	if c.rng.Float64() < earlyCancelRatio {
		return randomBelow(c.rng, earlyCancelMax)
	}
	return requestTimeout
}

// roundTrip sends the request and sets the result's status and body if a complete
// response arrives. It returns the response's Retry-After, at most a third of
// requestTimeout.
func (c *caller) roundTrip(ctx context.Context, result *callerRequest, path, object, body string) time.Duration {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instance.address(portCallers)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	// Without GetBody the client can't resend the body, so it doesn't retry by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, result.id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	req.Header.Set(platform.HeaderKey, c.key)
	req.Header.Set(platform.HeaderAffinity, object)
	req.Header.Set(platform.HeaderTeam, "forged")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	result.status = resp.StatusCode
	result.body = string(data)
	seconds, err := strconv.ParseFloat(resp.Header.Get(platform.HeaderRetryAfter), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), requestTimeout/3)
}
