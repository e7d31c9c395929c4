package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
)

// Headers between callers and the system.
const (
	headerName     = "Seam-Name"
	headerCode     = "Seam-Code"
	headerNotRun   = "Seam-Not-Run"
	headerDeadline = "Seam-Deadline"
)

// entries is the answer to a look-up.
type entries struct {
	Instances []entry       `json:"instances"`
	TTL       time.Duration `json:"ttlNanoseconds"`
	Ticket    string        `json:"ticket"`
	expires   time.Time
}

// entry is an instance that may be used.
type entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// instance returns the address to use: the first of the answer that hasn't
// failed lately.
func (c *Client) instance(ctx context.Context) (string, error) {
	if err := c.refresh(ctx); err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, e := range c.entries.Instances {
		if now.After(c.avoid[e.Address]) {
			return e.Address, nil
		}
	}
	return c.entries.Instances[0].Address, nil
}

// refresh looks up again if the answer has expired or all of it has failed. An
// expired answer is used on while no look-up succeeds.
func (c *Client) refresh(ctx context.Context) error {
	c.mu.Lock()
	now := c.clock.Now()
	fresh, known := now.Before(c.entries.expires), len(c.entries.Instances) > 0
	usable := false
	for _, e := range c.entries.Instances {
		usable = usable || now.After(c.avoid[e.Address])
	}
	c.mu.Unlock()
	if fresh && usable {
		return nil
	}
	var last error
	for _, i := range mathrand.Perm(len(c.lookups)) {
		answer, err := c.lookUp(ctx, c.lookups[i])
		if err == nil && len(answer.Instances) > 0 {
			c.mu.Lock()
			c.entries = answer
			c.mu.Unlock()
			return nil
		}
		last = err
	}
	if known {
		return nil
	}
	return coder.Errorf(coder.NoUpstream, "", "no look-up succeeded: %w", last)
}

func (c *Client) lookUp(ctx context.Context, base string) (entries, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer entries
	query := url.Values{"caller": {c.id}}
	if c.region != "" {
		query.Set("region", c.region)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return answer, fmt.Errorf("make look-up: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode look-up: %w", err)
	}
	answer.expires = c.clock.Now().Add(answer.TTL)
	return answer, nil
}

// send makes one try at an instance and reads the whole answer.
func (c *Client) send(ctx context.Context, instance string, r Request) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.scheme+"://"+instance+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("make request: %w", err)
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if r.Name != "" {
		req.Header.Set(headerName, r.Name)
		// The transport must not send it again by itself.
		req.GetBody = nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerDeadline, time.Until(deadline).Round(time.Millisecond).String())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, lost(err)
	}
	if resp.Header.Get(headerCode) != "" {
		return Answer{}, decodeRefusal(resp, body)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Name: r.Name}, nil
}

// lost says that there is no answer; only a failed dial proves that the
// request didn't run.
func lost(err error) error {
	if isDial(err) {
		return err
	}
	return coder.Errorf(coder.OutcomeUnknown, "", "no whole answer: %w", err)
}

func decodeRefusal(resp *http.Response, body []byte) *Refusal {
	var hint struct {
		RetryMS int64 `json:"retryAfterMs"`
	}
	if json.Unmarshal(body, &hint) != nil {
		seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32)
		hint.RetryMS = seconds * time.Second.Milliseconds()
	}
	code, _ := strconv.Atoi(resp.Header.Get(headerCode))
	refusal := &Refusal{
		code: coder.Code(code), ran: coder.MayHaveRun,
		retryAfter: time.Duration(max(0, hint.RetryMS)) * time.Millisecond,
	}
	switch resp.Header.Get(headerNotRun) {
	case "true":
		refusal.ran = coder.NotRun
	case "false":
		refusal.ran = coder.HasRun
	}
	return refusal
}
