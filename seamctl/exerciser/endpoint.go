package exerciser

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"primroseseam.org/platform"
)

const (
	// smallWindow is the size of the receive buffer of an endpoint with a small window, in bytes.
	smallWindow = 64 << 10
	// ordinaryAnswer is the answer to a request that is no scenario.
	ordinaryAnswer = "ordinary"
	// resetDelay is the time between a part of an answer and the reset of its connection. By then the instance
	// waits to write more of a long upload.
	resetDelay = 50 * time.Millisecond
	// lastRead limits how long an endpoint reads on after it has closed its sending side.
	lastRead = time.Second
)

// route is a path prefix at the instance, with an endpoint of its own.
type route struct {
	name string
	// runs is how often requests of the route may run.
	runs     string
	listener net.Listener

	mu   sync.Mutex
	play *play
}

// newRoute starts the endpoint of the nth route. Requests of each second route may run once only.
func newRoute(n int) (*route, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &route{name: "route-" + strconv.Itoa(n), runs: values[Runs][n%2], listener: l}
	go r.accept()
	return r, nil
}

func (r *route) address() string { return r.listener.Addr().String() }

func (r *route) close() { _ = r.listener.Close() }

// accept serves connections until the listener is closed.
func (r *route) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests on a connection.
func (r *route) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.mu.Lock()
		p := r.play
		r.mu.Unlock()
		if p == nil || q.Header.Get(platform.HeaderRequestID) != p.id {
			if !answerOrdinary(c, q) {
				return
			}
			continue
		}
		if !(&serving{play: p, conn: c, request: q}).run() {
			return
		}
	}
}

// answerOrdinary answers a request that is no scenario, and reports whether the connection can carry others.
func answerOrdinary(c net.Conn, q *http.Request) bool {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, q.Header.Get(platform.HeaderRequestID), platform.HeaderSignature,
		platform.HeaderInstance, q.Header.Get(platform.HeaderExpectInstance), len(ordinaryAnswer), ordinaryAnswer)
	return err == nil
}

// serving is a request of a scenario at its endpoint.
type serving struct {
	play    *play
	conn    *net.TCPConn
	request *http.Request
	result  execution
}

// run serves the request according to its scenario. It reports whether the connection can carry others.
func (s *serving) run() bool {
	s.play.beginExecution()
	defer func() { s.play.endExecution(s.result) }()
	sc := s.play.scenario
	if sc.is(Window, small) {
		_ = s.conn.SetReadBuffer(smallWindow)
	}
	for _, at := range []string{beforeBody, midBody, afterBody} {
		if !s.readUntil(at) {
			return false
		}
		if sc.pauses(theEndpoint, at) {
			time.Sleep(pauseTime(sc))
		}
		if sc.ends(theEndpoint, at) {
			if at != afterBody {
				s.sendHalf()
			}
			return s.end()
		}
		if sc.is(AnswerAt, at) {
			if sc.ends(theEndpoint, midAnswer) {
				s.sendHalf()
				return s.end()
			}
			s.answer()
		}
	}
	return !sc.is(AnswerFraming, byClose)
}

// readUntil reads the body up to a moment. It returns false if the body broke off.
func (s *serving) readUntil(at string) bool {
	size := int64(s.play.scenario.bytes(BodySize))
	switch at {
	case midBody:
		return s.read(size / 2)
	case afterBody:
		if !s.read(size-size/2) || !s.atEnd() {
			return false
		}
		s.result.whole, s.result.wholeAt = true, time.Now()
	}
	return true
}

// read reads n bytes of the body and checks them.
func (s *serving) read(n int64) bool {
	check := &contentChecker{at: s.result.bytes}
	_, err := io.CopyN(check, s.request.Body, n)
	s.result.bytes = check.at
	s.result.altered = s.result.altered || check.altered
	return err == nil
}

// atEnd reports whether the body is at its end.
func (s *serving) atEnd() bool {
	n, err := s.request.Body.Read(make([]byte, 1))
	s.result.altered = s.result.altered || n > 0
	return n > 0 || err == io.EOF
}

// head returns the head of the answer.
func (s *serving) head() string {
	framing := ""
	switch s.play.scenario.value(AnswerFraming) {
	case byLength:
		framing = fmt.Sprintf("Content-Length: %d\r\n", s.play.scenario.bytes(AnswerSize))
	case inChunks:
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n", platform.HeaderRequestID, s.play.id, platform.HeaderSignature, framing)
}

// write writes bytes of the answer's body, from an offset on, in its framing.
func (s *serving) write(from, n int) {
	data := content(from, n)
	if s.play.scenario.is(AnswerFraming, inChunks) && n > 0 {
		data = fmt.Appendf(nil, "%x\r\n%s\r\n", n, data)
	}
	_, _ = s.conn.Write(data)
}

// sendHalf sends the head and half of the body of the answer.
func (s *serving) sendHalf() {
	_, _ = io.WriteString(s.conn, s.head())
	s.write(0, s.play.scenario.bytes(AnswerSize)/2)
}

// answer sends the whole answer. If its end is that of the connection, it closes the sending side.
func (s *serving) answer() {
	sc := s.play.scenario
	size := sc.bytes(AnswerSize)
	s.sendHalf()
	if sc.pauses(theEndpoint, midAnswer) {
		time.Sleep(pauseTime(sc))
	}
	s.write(size/2, size-size/2)
	switch sc.value(AnswerFraming) {
	case inChunks:
		_, _ = io.WriteString(s.conn, "0\r\n\r\n")
	case byClose:
		_ = s.conn.CloseWrite()
	}
	s.result.answered, s.result.answeredAt = true, time.Now()
}

// end ends the connection in the way of the scenario. It returns false.
func (s *serving) end() bool {
	switch sc := s.play.scenario; {
	case sc.endsBy(resets):
		time.Sleep(resetDelay)
		_ = s.conn.SetLinger(0)
	case sc.endsBy(halfCloses):
		_ = s.conn.CloseWrite()
		_ = s.conn.SetReadDeadline(time.Now().Add(lastRead))
		_, _ = io.Copy(io.Discard, s.conn)
	}
	return false
}

// pauseTime returns how long the pauses of a scenario are.
func pauseTime(s Scenario) time.Duration {
	if s.pausesLong() {
		return longPause
	}
	return shortPause
}

// contentUnit is what bodies repeat. Its length is prime, so that missing and swapped parts show.
const contentUnit = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJK"

// content returns n bytes of a body from an offset on.
func content(from, n int) []byte {
	start := from % len(contentUnit)
	return bytes.Repeat([]byte(contentUnit), (start+n)/len(contentUnit)+1)[start : start+n]
}

// contentChecker compares what is written to it with a body from an offset on.
type contentChecker struct {
	at      int
	altered bool
}

// Write implements io.Writer.
func (c *contentChecker) Write(p []byte) (int, error) {
	c.altered = c.altered || !bytes.Equal(p, content(c.at, len(p)))
	c.at += len(p)
	return len(p), nil
}
