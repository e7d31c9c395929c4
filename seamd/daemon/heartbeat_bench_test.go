package daemon_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"

	peerv1 "primroseseam.org/seam/gen/peer/v1"
	"primroseseam.org/seam/gen/peer/v1/peerv1connect"
	"primroseseam.org/seam/gossiper"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat measures how many bytes a heartbeat and its answer take on the
// network, and how many bytes per message the protocols add to the encoded heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	d := startWithoutStore(b, "i0")
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, &bytes}, err
	}
	client := peerv1connect.NewMembershipServiceClient(
		&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}}, "http://"+d.PeerAddress())
	h := gossiper.Heartbeat{Sender: gossiper.Member{ID: "i1", Region: "west", PeerAddress: "127.0.0.1:1", Incarnation: 1}}
	payload := 0
	for b.Loop() {
		resp, err := client.Heartbeat(b.Context(), connect.NewRequest(&peerv1.HeartbeatRequest{Heartbeat: h.Proto()}))
		if err != nil {
			b.Fatal(err)
		}
		payload += h.Size() + gossiper.FromProto(resp.Msg.GetHeartbeat()).Size() - 2*gossiper.CallOverhead
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/call")
	b.ReportMetric((float64(bytes.Load())-float64(payload))/float64(b.N)/2, "overheadB/message")
}
