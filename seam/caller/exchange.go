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
	"primroseseam.org/seam/validator"
)

// HTTP headers of requests to the load balancer and of its own responses.
const (
	headerName     = "Seam-Name"
	headerCode     = "Seam-Code"
	headerNotRun   = "Seam-Not-Run"
	headerDeadline = "Seam-Deadline"
)

// lookupResult is the response to a lookup.
type lookupResult struct {
	Instances []lookupInstance `json:"instances"`
	TTL       time.Duration    `json:"ttlNanoseconds"`
	// Ticket is the prefix for the names of non-idempotent requests.
	Ticket  string `json:"ticket"`
	expires time.Time
}

// lookupInstance is an instance to which requests may be sent.
type lookupInstance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// pickInstance returns the address of the first instance of the last lookup that hasn't
// failed within avoidDuration. If all instances have failed within avoidDuration, it
// returns the address of the first instance. It repeats the lookup if necessary.
func (c *Client) pickInstance(ctx context.Context) (string, error) {
	if err := c.refreshLookup(ctx); err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, instance := range c.lastLookup.Instances {
		if now.After(c.avoidUntil[instance.Address]) {
			return instance.Address, nil
		}
	}
	return c.lastLookup.Instances[0].Address, nil
}

// refreshLookup repeats the lookup if the last result has expired, or if all its instances
// have failed within avoidDuration. It tries the lookup URLs in random order. If no lookup
// succeeds, the last result stays in use even if it has expired. Without a last result,
// refreshLookup then returns an error.
func (c *Client) refreshLookup(ctx context.Context) error {
	c.mu.Lock()
	now := c.clock.Now()
	lookupValid, haveInstances := now.Before(c.lastLookup.expires), len(c.lastLookup.Instances) > 0
	anyUsable := false
	for _, instance := range c.lastLookup.Instances {
		anyUsable = anyUsable || now.After(c.avoidUntil[instance.Address])
	}
	c.mu.Unlock()
	if lookupValid && anyUsable {
		return nil
	}
	var lastErr error
	for _, i := range mathrand.Perm(len(c.lookupURLs)) {
		result, err := c.lookUp(ctx, c.lookupURLs[i])
		if err == nil && len(result.Instances) > 0 {
			c.mu.Lock()
			c.lastLookup = result
			c.mu.Unlock()
			return nil
		}
		lastErr = err
	}
	if haveInstances {
		return nil
	}
	return coder.Errorf(coder.NoUpstream, "", "all lookups failed: %w", lastErr)
}

// lookUp requests the list of instances at one base URL.
func (c *Client) lookUp(ctx context.Context, baseURL string) (lookupResult, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var result lookupResult
	query := url.Values{"caller": {c.clientID}}
	if c.region != "" {
		query.Set("region", c.region)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return result, fmt.Errorf("create lookup request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return result, fmt.Errorf("lookup response with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&result); err != nil {
		return result, fmt.Errorf("decode lookup response: %w", err)
	}
	result.expires = c.clock.Now().Add(result.TTL)
	return result, nil
}

// send makes one attempt: it sends the request to an instance and reads the response. If
// the response is a refusal, send returns it as the error.
func (c *Client) send(ctx context.Context, instance string, r Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.scheme+"://"+instance+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, fmt.Errorf("create request: %w", err)
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	if r.Name != "" {
		req.Header.Set(headerName, r.Name)
		// http.Transport must not retry the request on its own. It can't retry a
		// request with a body if GetBody is nil.
		req.GetBody = nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(headerDeadline, time.Until(deadline).Round(time.Millisecond).String())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, noResponseError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := validator.FinalStatus(resp.StatusCode); err != nil {
		return Response{}, noResponseError(err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("response body is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return Response{}, noResponseError(err)
	}
	if resp.Header.Get(headerCode) != "" {
		return Response{}, decodeRefusal(resp, body)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Name: r.Name}, nil
}

// noResponseError returns the error of an attempt that got no complete response. If no
// connection was established, that is err itself. Otherwise the request may have been
// executed, and the error has the code OutcomeUnknown.
func noResponseError(err error) error {
	if isDialError(err) {
		return err
	}
	return coder.Errorf(coder.OutcomeUnknown, "", "no complete response: %w", err)
}

// decodeRefusal returns the refusal in the headers and the JSON body of a response. If the
// body can't be decoded, decodeRefusal reads the delay from the Retry-After header.
func decodeRefusal(resp *http.Response, body []byte) *Refusal {
	var refusalBody struct {
		RetryMS int64 `json:"retryAfterMs"`
	}
	if json.Unmarshal(body, &refusalBody) != nil {
		seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32)
		refusalBody.RetryMS = seconds * time.Second.Milliseconds()
	}
	code, _ := strconv.Atoi(resp.Header.Get(headerCode))
	refusal := &Refusal{
		code: coder.Code(code), ran: coder.MayHaveRun,
		retryAfter: time.Duration(max(0, refusalBody.RetryMS)) * time.Millisecond,
	}
	switch resp.Header.Get(headerNotRun) {
	case "true":
		refusal.ran = coder.NotRun
	case "false":
		refusal.ran = coder.HasRun
	}
	return refusal
}
