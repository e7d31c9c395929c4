// Package streamer is a stand-in for servers that answer each request with bytes without end,
// in some part of an HTTP/1.1 response, until their client closes the connection. Tests use it
// to show that clients read a bounded part of such answers. It also has servers whose responses
// have a given status, be it a valid one or not.
//
// # Usage
//
//	s, err := streamer.Listen("HTTP/1.1 200 ", "a")
//	defer s.Close()
//	client.Get("http://" + s.Address())
//	sent := <-s.Sent()
package streamer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// pieceBytes is the size of what is written at once, at least.
const pieceBytes = 4 << 10

// Streamer is a listening server.
type Streamer struct {
	listener      net.Listener
	prefix, piece string
	sent          chan int
}

// Listen starts a server on a loopback address. It answers a request with prefix, and then
// with piece again and again.
func Listen(prefix, piece string) (*Streamer, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Streamer{listener: l, prefix: prefix, piece: strings.Repeat(piece, max(pieceBytes/len(piece), 1)), sent: make(chan int, 16)}
	go s.accept()
	return s, nil
}

// Address returns the server's address, host:port.
func (s *Streamer) Address() string { return s.listener.Addr().String() }

// Sent returns a channel that receives, for each connection that has ended, how many bytes
// were sent on it.
func (s *Streamer) Sent() <-chan int { return s.sent }

// Close stops listening. Connections end when their clients close them.
func (s *Streamer) Close() error { return s.listener.Close() }

func (s *Streamer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Streamer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	total, err := io.WriteString(c, s.prefix)
	for err == nil {
		var n int
		n, err = io.WriteString(c, s.piece)
		total += n
	}
	select {
	case s.sent <- total:
	default:
	}
}

// Forms returns the parts of a response that can go on without end: for each, its name and the
// arguments of Listen. header is put into each response's head, with its line ends.
func Forms(header string) map[string][2]string {
	ok := "HTTP/1.1 200 OK\r\n" + header
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string][2]string{
		"no line end":           {"", "a"},
		"status line":           {"HTTP/1.1 200 ", "a"},
		"a header field":        {ok + "Name: ", "a"},
		"header fields":         {ok, "Name: " + strings.Repeat("a", 100) + "\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a chunk's extension":   {chunked + "1;", "a"},
		"fields after the body": {chunked + "0\r\n", "Name: " + strings.Repeat("a", 100) + "\r\n"},
	}
}

// Bodies returns the forms of a body without end, as Forms does.
func Bodies(header string) map[string][2]string {
	ok := "HTTP/1.1 200 OK\r\n" + header
	return map[string][2]string{
		"body until the close": {ok + "\r\n", "a"},
		"body of a length":     {ok + "Content-Length: 1000000000000\r\n\r\n", "a"},
		"chunks":               {ok + "Transfer-Encoding: chunked\r\n\r\n", "64\r\n" + strings.Repeat("a", 100) + "\r\n"},
	}
}
