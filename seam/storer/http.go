package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
)

const (
	// callTimeout limits one call to the store. A watch may take as long as its wait
	// in addition.
	callTimeout = 2 * time.Second
	// listTimeout limits a list call, which takes longer because the answer may be
	// large.
	listTimeout = 10 * time.Second
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
)

// httpStore implements Store over the platform's HTTP API.
type httpStore struct {
	baseURL string
	client  *http.Client
}

// HTTPOption configures a store returned by [NewHTTP].
type HTTPOption func(*httpStore)

// WithClient sets the HTTP client, for example one with TLS settings.
func WithClient(c *http.Client) HTTPOption {
	return func(s *httpStore) { s.client = c }
}

// NewHTTP returns the store at a base URL such as "http://10.0.0.1:7000".
func NewHTTP(baseURL string, opts ...HTTPOption) Store {
	s := &httpStore{baseURL: baseURL, client: &http.Client{}}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func (s *httpStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := s.call(ctx, http.MethodGet, objectPath(kind, name), nil, callTimeout, &o)
	return o, err
}

func (s *httpStore) List(ctx context.Context, kind Kind) (Events, error) {
	var e Events
	err := s.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(kind)), nil, listTimeout, &e)
	return e, err
}

func (s *httpStore) Put(ctx context.Context, o Object) (Object, error) {
	var written Object
	path := objectPath(o.Kind, o.Name) + "?ifVersion=" + strconv.FormatInt(o.Version, 10)
	err := s.call(ctx, http.MethodPut, path, o.Value, callTimeout, &written)
	if coder.CodeOf(err) == coder.StoreUnavailable {
		err = coder.Errorf(coder.StoreOutcomeUnknown, o.Name, "no usable response to the write: %w", err)
	}
	return written, err
}

func (s *httpStore) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) (Events, error) {
	var e Events
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%s", url.PathEscape(string(kind)), after, wait)
	err := s.call(ctx, http.MethodGet, path, nil, wait+callTimeout, &e)
	return e, err
}

func (s *httpStore) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := s.call(ctx, http.MethodGet, "/v1/instances", nil, callTimeout, &list)
	return list, err
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

// call sends one request and decodes the JSON response into out.
func (s *httpStore) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return coder.Errorf(coder.StoreUnavailable, path, "create request: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return coder.Errorf(coder.StoreUnavailable, path, "request failed: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return coder.Errorf(coder.StoreUnavailable, path, "read response: %w", err)
	}
	if code := codeForStatus(resp.StatusCode); code != coder.OK {
		return coder.Errorf(code, path, "status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return coder.Errorf(coder.StoreUnavailable, path, "decode response: %w", err)
	}
	return nil
}

// codeForStatus converts an HTTP status to an error code. It returns StoreUnavailable for
// every status that it has no other code for.
func codeForStatus(status int) coder.Code {
	switch status {
	case http.StatusOK:
		return coder.OK
	case http.StatusNotFound:
		return coder.StoreNotFound
	case http.StatusConflict:
		return coder.StoreConflict
	case http.StatusGone:
		return coder.StoreCompacted
	}
	return coder.StoreUnavailable
}
