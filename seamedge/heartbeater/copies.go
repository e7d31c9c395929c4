package heartbeater

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"primroseseam.org/seam/dialer"
	"primroseseam.org/seam/follower"
)

// copyProcedure is the path of the RPC that fetches changes of store objects.
const copyProcedure = "/seam.edge.v1.Copies/Copy"

const (
	// maxRequestBytes and maxResponseBytes limit the bodies of the RPC. A request has a
	// position for each kind; a response may hold all objects of a kind.
	maxRequestBytes  = 64 << 10
	maxResponseBytes = 16 << 20
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection to another
	// instance. It bounds what that instance makes the kernel hold that isn't read. With 100 ms
	// of round trip it lets several megabytes a second pass.
	receiveBufferBytes = 512 << 10
	// idleTimeout is how long a connection to another instance is kept open unused.
	idleTimeout = 75 * time.Second
)

// CopyRequest is the request for the changes of store objects. Positions maps each
// requested kind of object to a position in the store's sequence of changes. Only changes
// after this position are requested. Versions holds, for kinds of which patches are accepted, the
// digests of the objects by name; earlier builds neither send nor use it.
type CopyRequest struct {
	Positions map[string]uint64            `json:"positions"`
	Versions  map[string]map[string]uint64 `json:"versions,omitempty"`
}

// CopyResponse holds one delta for each requested kind that has changes after the requested
// position.
type CopyResponse struct {
	Deltas []follower.Delta `json:"deltas"`
}

// size returns about how many bytes the objects and patches in the response have.
func (r CopyResponse) size() int {
	total := 0
	for _, d := range r.Deltas {
		for _, o := range d.Objects {
			total += len(o.Spec)
		}
		for _, p := range d.Patches {
			total += p.Patch.Size()
		}
	}
	return total
}

// jsonCodec encodes plain Go structs as JSON. Connect's own JSON codec accepts only
// Protobuf messages.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// NewClient returns a client for [FetchCopies]. It limits what another instance, or what answers
// in its place, makes this instance hold: the heads of responses, and the kernel's buffers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.New(dialer.WithReceiveBuffer(receiveBufferBytes)).DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// limitedClient is an HTTP client that fails when a response has more than maxResponseBytes.
// Connect's own limit reads the rest of the response until the call's timeout.
type limitedClient struct{ client *http.Client }

// Do implements connect.HTTPClient.
func (c limitedClient) Do(r *http.Request) (*http.Response, error) {
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	return response, nil
}

// Handler returns the path and the HTTP handler of the RPC. The handler calls copies with
// the request and responds with its result. It sends large responses to a few callers at a time, and
// refuses the call of others; see [ErrBusy].
func Handler(copies func(CopyRequest) CopyResponse) (string, http.Handler) {
	handler := connect.NewUnaryHandler(copyProcedure,
		func(ctx context.Context, r *connect.Request[CopyRequest]) (*connect.Response[CopyResponse], error) {
			response := copies(*r.Msg)
			if response.size() > bulkBytes && !beginTransfer(ctx) {
				return nil, connect.NewError(connect.CodeResourceExhausted, ErrBusy)
			}
			return connect.NewResponse(&response), nil
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxRequestBytes))
	return copyProcedure, limitTransfers(handler)
}

// FetchCopies calls the RPC of the instance at address, host:port, and returns the
// response. It fails when ctx ends, and with [ErrBusy] if the instance refuses the call because it sends
// large responses to others. client should come from [NewClient].
func FetchCopies(ctx context.Context, client *http.Client, address string, request CopyRequest) (CopyResponse, error) {
	copyClient := connect.NewClient[CopyRequest, CopyResponse](limitedClient{client}, "http://"+address+copyProcedure, connect.WithCodec(jsonCodec{}))
	response, err := copyClient.CallUnary(ctx, connect.NewRequest(&request))
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted {
		return CopyResponse{}, ErrBusy
	}
	if err != nil {
		return CopyResponse{}, err
	}
	return *response.Msg, nil
}
