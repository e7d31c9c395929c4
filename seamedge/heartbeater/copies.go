package heartbeater

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"primroseseam.org/seam/follower"
)

// procedureCopy is the path of the call for a copy.
const procedureCopy = "/seam.edge.v1.Copies/Copy"

// CopyRequest asks for what is newer than the positions of the kinds.
type CopyRequest struct {
	Positions map[string]uint64 `json:"positions"`
}

// CopyResponse holds what changed, for the kinds that did.
type CopyResponse struct {
	Deltas []follower.Delta `json:"deltas"`
}

// jsonCodec encodes plain structs, without a schema of its own.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// Handler returns the path and the handler that answer with copies.
func Handler(copies func(CopyRequest) CopyResponse) (string, http.Handler) {
	handler := connect.NewUnaryHandler(procedureCopy,
		func(_ context.Context, r *connect.Request[CopyRequest]) (*connect.Response[CopyResponse], error) {
			answer := copies(*r.Msg)
			return connect.NewResponse(&answer), nil
		}, connect.WithCodec(jsonCodec{}))
	return procedureCopy, handler
}

// FetchCopies asks an instance for copies until ctx ends.
func FetchCopies(ctx context.Context, client *http.Client, address string, request CopyRequest) (CopyResponse, error) {
	caller := connect.NewClient[CopyRequest, CopyResponse](client, "http://"+address+procedureCopy, connect.WithCodec(jsonCodec{}))
	answer, err := caller.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		return CopyResponse{}, err
	}
	return *answer.Msg, nil
}
