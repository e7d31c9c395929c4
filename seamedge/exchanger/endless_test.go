package exchanger_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"primroseseam.org/seamedge/exchanger"
)

// writeEndlessly writes prefix once and then piece repeatedly, until the client closes the
// connection. It returns the number of bytes written.
func writeEndlessly(c net.Conn, prefix, piece string) int {
	total, _ := io.WriteString(c, prefix)
	for {
		n, err := io.WriteString(c, piece)
		total += n
		if err != nil {
			return total
		}
	}
}

// Guards against unlimited memory use. If an endpoint sends some part of a response
// without end, the call must fail early.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const maxBytes = 8 << 20
	block := strings.Repeat("a", 4<<10)
	for name, response := range map[string][2]string{
		"no line end":                {"", block},
		"status line":                {"HTTP/1.1 200 ", block},
		"a header field":             {"HTTP/1.1 200 OK\r\nName: ", block},
		"header fields":              {"HTTP/1.1 200 OK\r\n", "Name: " + block + "\r\n"},
		"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body of another response":   {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n\r\n", block},
		"chunks of another response": {"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
		"a chunk's extension":        {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", block},
		"fields after the chunks":    {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: " + block + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
				written <- writeEndlessly(c, response[0], response[1])
				return false
			})
			c := newCall(e, "1")
			c.Deadline = time.Now().Add(5 * time.Second)
			start := time.Now()
			a := exchanger.New().Do(t.Context(), c)
			if took := time.Since(start); a.Err == nil || took > time.Second {
				t.Errorf("the call ended after %v with %v, want an error within 1 s", took, a.Err)
			}
			if n := <-written; n > maxBytes {
				t.Errorf("the endpoint could send %d bytes, %d allowed", n, maxBytes)
			}
		})
	}
}

func TestUnexpectedBytesCloseIdleConnection(t *testing.T) {
	written := make(chan int, 1)
	e := listen(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, okResponse("1", "whole"))
		time.Sleep(20 * time.Millisecond)
		written <- writeEndlessly(c, "", strings.Repeat("a", 4<<10))
		return false
	})
	x := exchanger.New()
	if a := x.Do(t.Context(), newCall(e, "1")); a.Err != nil {
		t.Fatal(a.Err)
	}
	time.Sleep(50 * time.Millisecond)
	x.PruneIdle()
	select {
	case <-written:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection is still open")
	}
}
