package heartbeater

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"

	"primroseseam.org/seam/follower"
)

// copyProcedure is the path of the RPC that fetches copies.
const copyProcedure = "/seam.edge.v1.Copies/Copy"

// CopyRequest asks for the changes after a position, for each kind of object.
type CopyRequest struct {
	Positions map[string]uint64 `json:"positions"`
}

// CopyResponse holds the changes, for the kinds that have any.
type CopyResponse struct {
	Deltas []follower.Delta `json:"deltas"`
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

// Handler returns the path and the handler of the RPC. The handler responds with the
// result of copies.
func Handler(copies func(CopyRequest) CopyResponse) (string, http.Handler) {
	handler := connect.NewUnaryHandler(copyProcedure,
		func(_ context.Context, r *connect.Request[CopyRequest]) (*connect.Response[CopyResponse], error) {
			response := copies(*r.Msg)
			return connect.NewResponse(&response), nil
		}, connect.WithCodec(jsonCodec{}))
	return copyProcedure, handler
}

// FetchCopies asks the instance at an address for copies. It fails when ctx ends.
func FetchCopies(ctx context.Context, client *http.Client, address string, request CopyRequest) (CopyResponse, error) {
	copyClient := connect.NewClient[CopyRequest, CopyResponse](client, "http://"+address+copyProcedure, connect.WithCodec(jsonCodec{}))
	response, err := copyClient.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		return CopyResponse{}, err
	}
	return *response.Msg, nil
}
