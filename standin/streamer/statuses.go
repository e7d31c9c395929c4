package streamer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// InvalidStatuses lists what can stand for the status in the first line of a response without being
// one, or without being that of a final response.
var InvalidStatuses = []string{"000", "099", "+20", "600", "999", "101", "20", "abc"}

// ListenWithStatus opens a server on a loopback address that sends a response with the given status
// and JSON body to the first request on each connection, and then closes the connection.
func ListenWithStatus(status, body string) (net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	response := fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondOnce(c, response)
		}
	}()
	return l, nil
}

// respondOnce reads a whole request before it responds: a client takes an earlier response for one
// that it has not asked for.
func respondOnce(c net.Conn, response string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	_, _ = io.WriteString(c, response)
}
