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
	// callerPause is the mean time between two requests of a caller, hotPause
	// that of a caller of the hot team.
	callerPause = 80 * time.Millisecond
	hotPause    = 8 * time.Millisecond
	// callerTime is how long a caller waits for an answer.
	callerTime = 3 * time.Second
	// leavePart is the part of requests whose caller leaves early, and leaveWithin
	// the time in which it does.
	leavePart   = 0.3
	leaveWithin = 400 * time.Millisecond
	// lookupFor is how long a caller uses a look-up answer.
	lookupFor = 2 * time.Second
	// objects is the number of objects that callers ask about.
	objects = 40
)

// caller sends requests over a connection that it keeps.
type caller struct {
	soak     *Soak
	name     string
	key      string
	rng      *rand.Rand
	client   *http.Client
	instance *instance
	resolved time.Time
	sent     int
}

func (s *Soak) newCaller(n int) *caller {
	list := []string{"key-a", "key-b", "key-hot", "key-leaving"}
	return &caller{
		soak: s, name: "c" + strconv.Itoa(n), key: list[n%len(list)], rng: rand.New(rand.NewPCG(s.seed, uint64(n)+1)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	mean := callerPause
	if keys[c.key] == hotTeam {
		mean = hotPause
	}
	for waiter.Pause(ctx, below(c.rng, 2*mean)) {
		if c.instance == nil || time.Since(c.resolved) > lookupFor {
			c.resolve()
		}
		if c.instance != nil {
			c.ask()
		}
	}
	c.client.CloseIdleConnections()
}

// resolve asks any instance where to connect, and stays where it is if it may.
func (c *caller) resolve() {
	first := c.rng.IntN(len(c.soak.instances))
	for n := range c.soak.instances {
		at := c.soak.instances[(first+n)%len(c.soak.instances)]
		addresses, err := c.lookUp(at)
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.resolved = time.Now()
		for _, a := range addresses {
			if c.instance != nil && c.instance.at(portCallers) == a {
				return
			}
		}
		c.use(addresses[c.rng.IntN(len(addresses))])
		return
	}
}

func (c *caller) lookUp(at *instance) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s%s?name=%s&region=region-0&zone=%s", at.at(portLookups), platform.PathLookup, host, zoneOf(c.rng.IntN(2)))
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

// use changes to another instance.
func (c *caller) use(address string) {
	c.client.CloseIdleConnections()
	c.instance = nil
	for _, i := range c.soak.instances {
		if i.at(portCallers) == address {
			c.instance = i
		}
	}
}

// ask sends a request and notes how it ended.
func (c *caller) ask() {
	c.sent++
	a := attempt{
		id: fmt.Sprintf("%s-%d", c.name, c.sent), team: keys[c.key], instance: c.instance, life: c.instance.life(), sent: time.Now(),
		repeat: c.rng.IntN(2) == 0,
	}
	path := pathOnce
	if a.repeat {
		path = pathMany
	}
	object := strconv.Itoa(c.rng.IntN(objects))
	path += object
	body := "body-" + strconv.FormatUint(c.rng.Uint64(), 36)
	a.request = http.MethodPost + " " + path + " " + body
	ctx, cancel := context.WithTimeout(context.Background(), c.patience())
	defer cancel()
	retryAfter := c.exchange(ctx, &a, path, object, body)
	a.ended = time.Now()
	a.left = ctx.Err() != nil
	c.soak.ledger.attempted(a)
	if a.status == 0 {
		// The connection failed, so the caller looks for another instance.
		c.instance = nil
		return
	}
	time.Sleep(retryAfter)
}

// patience returns how long the caller waits for an answer.
func (c *caller) patience() time.Duration {
	if c.rng.Float64() < leavePart {
		return below(c.rng, leaveWithin)
	}
	return callerTime
}

// exchange makes the request and returns how long the caller should stay away.
func (c *caller) exchange(ctx context.Context, a *attempt, path, object, body string) time.Duration {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.instance.at(portCallers)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	// Without a way to send the body again the client doesn't repeat by itself.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, a.id)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerTime.Milliseconds(), 10))
	r.Header.Set(platform.HeaderKey, c.key)
	r.Header.Set(platform.HeaderAffinity, object)
	r.Header.Set(platform.HeaderTeam, "forged")
	resp, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	a.status = resp.StatusCode
	a.body = string(data)
	seconds, err := strconv.ParseFloat(resp.Header.Get(platform.HeaderRetryAfter), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), callerTime/3)
}
