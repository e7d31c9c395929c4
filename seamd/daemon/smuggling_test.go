package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMalformedRequestsAreRefusedWithACode sends raw requests of the kinds that are used
// for request smuggling. Each must be refused with a code and as not run. This includes
// the requests that net/http refuses before it calls a handler.
func TestMalformedRequestsAreRefusedWithACode(t *testing.T) {
	fleet := newTestFleet(t, 1)
	cases := map[string]string{
		"bothLengths":    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"twoLengths":     "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"otherCoding":    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"twoCodings":     "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"badChunk":       "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"negativeLength": "Content-Length: -1\r\n\r\n",
		"spaceInName":    "Content-Length : 5\r\n\r\nhello",
		"bareName":       "Nonsense\r\n\r\n",
		"hugeHeader":     "X-Huge: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"connection":     "Connection: close, Content-Length\r\nContent-Length: 5\r\n\r\nhello",
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.DialTimeout("tcp", fleet.daemons[0].CallerAddress(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: seam\r\nAuthorization: Bearer %s\r\n%s", fleet.apiKey, rest)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.Header.Get("Seam-Code") != "104" || resp.Header.Get("Seam-Not-Run") != "true" {
				t.Errorf("status %d, code %q, not run %q", resp.StatusCode, resp.Header.Get("Seam-Code"), resp.Header.Get("Seam-Not-Run"))
			}
		})
	}
	if seen := fleet.requests(); len(seen) > 0 {
		t.Errorf("an upstream received %+v", seen)
	}
}

// TestOnlyPeersPassRequests sends requests to the listener for peers that look as if a
// peer had passed them on, but have no proof of the shared secret. They must be refused:
// a passed request names its team and carries no API key, so accepting one would bypass
// authentication. The same header in a caller's request must have no effect.
func TestOnlyPeersPassRequests(t *testing.T) {
	fleet := newTestFleet(t, 1)
	envelope := `{"from":"x","method":"POST","uri":"/x","team":"crew","service":"svc"}`
	for _, path := range []string{"/peer/v1/pass", "/peer/v1/pass/", "//peer/v1/pass"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+fleet.daemons[0].PeerAddress()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Seam-Pass", envelope)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
	a := fleet.send(0, "/x", "", nil, "Seam-Pass", envelope)
	if a.status != http.StatusOK || len(fleet.requests()) != 1 {
		t.Errorf("a caller's own header: %+v, %d requests", a, len(fleet.requests()))
	}
}
