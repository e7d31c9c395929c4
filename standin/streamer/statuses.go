package streamer

import (
	"fmt"
	"io"
	"net"
	"time"
)

// InvalidStatuses lists what can stand for the status in the first line of a response without being
// one, or without being that of a final response.
var InvalidStatuses = []string{"000", "099", "+20", "600", "999", "101", "20", "abc"}

// closeDelay is how long a connection stays open after its response, so that the response arrives
// before the end of the connection.
const closeDelay = 10 * time.Millisecond

// ListenWithStatus opens a server on a loopback address that sends a response with the given status
// and JSON body on each connection, and then closes the connection.
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
			_, _ = io.WriteString(c, response)
			time.Sleep(closeDelay)
			_ = c.Close()
		}
	}()
	return l, nil
}
