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
	// callerPause is the mean time between the end of a caller's request and the start
	// of its next request.
	callerPause = 80 * time.Millisecond
	// hotPause replaces callerPause for callers of hotTeam.
	hotPause = 8 * time.Millisecond
	// requestTimeout is how long a caller waits for a response, unless it cancels the
	// request early.
	requestTimeout = 3 * time.Second
	// earlyCancelRatio is the share of requests that callers cancel early. A caller
	// cancels such a request after a random time of less than earlyCancelMax.
	earlyCancelRatio = 0.3
	earlyCancelMax   = 400 * time.Millisecond
	// lookupTTL is how long a caller uses the result of a look-up of instances.
	lookupTTL = 2 * time.Second
	// objectCount is the number of objects that requests are about. A request sends the
	// number of its object, chosen at random, in its path and as its affinity key.
	objectCount = 40
)

// caller sends requests with an API key, one after the other. It keeps the instance that it
// sends them to, and the connection, until a look-up gives other instances or a request
// gets no complete response.
type caller struct {
	soak   *Soak
	name   string
	key    string
	rng    *rand.Rand
	client *http.Client
	// instance is the instance that requests are sent to. If it is nil, the caller looks
	// up an instance before the next request.
	instance *instance
	// resolvedAt is the time of the last successful look-up.
	resolvedAt time.Time
	// sentCount is the number of requests that the caller has sent.
	sentCount int
}

func (s *Soak) newCaller(n int) *caller {
	keys := []string{"key-a", "key-b", "key-hot", "key-leaving"}
	return &caller{
		soak: s, name: "c" + strconv.Itoa(n), key: keys[n%len(keys)], rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends one request after the other until ctx is done. Before each request it pauses
// for a random time.
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

// chooseInstance looks up the instances that the caller may connect to, and chooses a
// random one of them. It keeps the current instance if the look-up returned it. The look-up
// request goes to a random instance first; if it fails or returns no address, it goes to
// the next instance, until each has been asked.
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

// lookUp sends a look-up request to an instance. It returns the addresses of the instances
// that callers may connect to.
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

// switchTo closes the idle connection and sets c.instance to the instance with the given
// address, or to nil if no instance has it.
func (c *caller) switchTo(callerAddress string) {
	c.client.CloseIdleConnections()
	c.instance = nil
	for _, i := range c.soak.instances {
		if i.address(portCallers) == callerAddress {
			c.instance = i
		}
	}
}

// sendRequest sends a request and records its result. Then it waits for the time in the
// Retry-After header of the response, if any.
func (c *caller) sendRequest() {
	c.sentCount++
	r := callerRequest{
		id: fmt.Sprintf("%s-%d", c.name, c.sentCount), team: keyTeams[c.key], instance: c.instance, lifetime: c.instance.lifetime(), sentAt: time.Now(),
		idempotent: c.rng.IntN(2) == 0,
	}
	path := pathNonIdempotent
	if r.idempotent {
		path = pathIdempotent
	}
	object := strconv.Itoa(c.rng.IntN(objectCount))
	out := outgoingRequest{
		path: path + object, object: object, body: "body-" + strconv.FormatUint(c.rng.Uint64(), 36), timeout: requestTimeout,
	}
	r.content = out.content()
	ctx, cancel := context.WithTimeout(context.Background(), c.chooseTimeout())
	defer cancel()
	retryAfter := c.roundTrip(ctx, &r, out)
	r.endedAt = time.Now()
	r.cancelled = ctx.Err() != nil
	c.soak.history.recordRequest(r)
	if r.status == 0 {
		// There was no complete response, so the next request may need another instance.
		c.instance = nil
		return
	}
	time.Sleep(retryAfter)
}

// chooseTimeout returns how long the caller waits for the response to its next request.
// This is requestTimeout, or less than earlyCancelMax if it cancels the request early.
func (c *caller) chooseTimeout() time.Duration {
	if c.rng.Float64() < earlyCancelRatio {
		return randomBelow(c.rng, earlyCancelMax)
	}
	return requestTimeout
}

// outgoingRequest is what a caller sends to an instance. timeout is the time that the request may
// take.
type outgoingRequest struct {
	path    string
	object  string
	body    string
	timeout time.Duration
}

// content returns the content of the request as in [callerRequest].
func (o outgoingRequest) content() string {
	return http.MethodPost + " " + o.path + " " + describeBody(o.body)
}

// roundTrip sends the request. If a complete response arrives, it sets the status and the
// body of result, and returns the time in the response's Retry-After header, but at most a
// third of requestTimeout. Otherwise, or without the header, it returns 0.
func (c *caller) roundTrip(ctx context.Context, result *callerRequest, out outgoingRequest) time.Duration {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instance.address(portCallers)+out.path, strings.NewReader(out.body))
	if err != nil {
		return 0
	}
	// Without GetBody the client can't resend the body, so it doesn't retry by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, result.id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(out.timeout.Milliseconds(), 10))
	req.Header.Set(platform.HeaderKey, c.key)
	req.Header.Set(platform.HeaderAffinity, out.object)
	req.Header.Set(platform.HeaderTeam, "forged")
	resp, err := c.client.Do(req)
	if err != nil {
		result.failure = err
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		result.failure = err
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
