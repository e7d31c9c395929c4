package exerciser

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"primroseseam.org/platform"
	"primroseseam.org/seam/waiter"
)

const (
	// pieceBytes is how much of a body is written at once, and chunkBytes the size of a chunk.
	pieceBytes = 32 << 10
	chunkBytes = 8 << 10
	// reachTime is how long a client that leaves after its body waits, so that the request is under way.
	reachTime = 50 * time.Millisecond
	// playTimeout limits the time of a client's connection.
	playTimeout = routeTimeout + 2*time.Second
	// The endpoint is watched for minWatch after the client has ended, and until it serves no request of the
	// scenario, for maxWatch at most.
	minWatch = 700 * time.Millisecond
	maxWatch = 5 * time.Second
)

// execution is what an endpoint saw of one attempt of a request.
type execution struct {
	// bytes is how much of the body arrived, and altered means that it isn't what was sent. whole means
	// that its end arrived, at wholeAt.
	bytes          int
	altered, whole bool
	wholeAt        time.Time
	// answered means that the whole answer was written, at answeredAt.
	answered   bool
	answeredAt time.Time
}

// response is what the client got.
type response struct {
	// err is why there is no head of a response, or nil. Without one, status is its status, and closes means
	// that it announces the end of the connection.
	err    error
	status int
	closes bool
	// bytes is how much of the body arrived, and altered means that it isn't what the endpoint sent. whole
	// means that it ended soundly, at endedAt.
	bytes          int
	altered, whole bool
	endedAt        time.Time
}

// play is a scenario that was played, and what was observed.
type play struct {
	scenario       Scenario
	id, path, host string

	mu sync.Mutex
	// serving is the number of attempts that are at the endpoint. executions are those that have ended.
	serving    int
	executions []execution
	// response is the answer to the request, and follower the one to the request behind it.
	response, follower response
	// sentAll means that the client has sent the whole body. headAt is when it has sent the head, and leftAt
	// when it ended the connection, or zero.
	sentAll        bool
	headAt, leftAt time.Time
}

// play plays a scenario on a route that no other one has used. It returns nil if there is none left.
func (e *environment) play(ctx context.Context, s Scenario) *play {
	r, ok := e.takeRoute(s.value(Runs))
	if !ok {
		return nil
	}
	p := &play{scenario: s, id: e.newID(), path: "/" + r.name + "/x", host: host}
	if s.is(Target, unknown) {
		p.host = "unknown.example"
	}
	r.mu.Lock()
	r.play = p
	r.mu.Unlock()
	p.send(e)
	p.watch(ctx)
	return p
}

// watch waits until the endpoint has served all requests of the scenario.
func (p *play) watch(ctx context.Context) {
	end := time.Now().Add(maxWatch)
	waiter.Pause(ctx, minWatch)
	for p.isServed() && time.Now().Before(end) {
		if !waiter.Pause(ctx, 20*time.Millisecond) {
			return
		}
	}
}

// isServed reports whether the endpoint serves a request of the scenario.
func (p *play) isServed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving > 0
}

// beginExecution records that an attempt has reached the endpoint, and endExecution what it saw of it.
func (p *play) beginExecution() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving++
}

func (p *play) endExecution(x execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving--
	p.executions = append(p.executions, x)
}

// client is the connection of a scenario's client.
type client struct {
	*play
	conn   *net.TCPConn
	reader *bufio.Reader
}

// send sends the request of the scenario and reads the response.
func (p *play) send(e *environment) {
	conn, err := net.Dial("tcp4", e.callers)
	if err != nil {
		p.response.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(playTimeout))
	c := &client{p, conn.(*net.TCPConn), bufio.NewReader(conn)}
	if p.scenario.is(Connection, kept) {
		if first := c.ordinary(e.newID()); first.status != http.StatusOK {
			p.response.err = fmt.Errorf("the request before got %+v", first)
			return
		}
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.readResponses()
	}()
	c.write(e.newID())
	<-read
}

// ordinary sends a request that is no scenario and reads the response.
func (c *client) ordinary(id string) response {
	c.writeOrdinary(id)
	return c.readResponse(false)
}

func (c *client) writeOrdinary(id string) {
	_, _ = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		c.path, host, platform.HeaderKey, key, platform.HeaderRequestID, id, platform.HeaderDeadline, clientTimeout.Milliseconds())
}

// write writes the request, and the one behind it with the given ID.
func (c *client) write(followerID string) {
	s := c.scenario
	size := s.bytes(BodySize)
	framing := "Content-Length: " + strconv.Itoa(size)
	if s.is(BodyFraming, inChunks) {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n",
		c.path, c.host, platform.HeaderKey, key, platform.HeaderRequestID, c.id, platform.HeaderDeadline, clientTimeout.Milliseconds(), framing)
	c.mu.Lock()
	c.headAt = time.Now()
	c.mu.Unlock()
	if c.endsAt(beforeBody) || !c.writeBody(0, size/2) {
		return
	}
	if s.pauses(theClient, midBody) {
		time.Sleep(pauseTime(s))
	}
	if c.endsAt(midBody) || !c.writeBody(size/2, size-size/2) {
		return
	}
	if s.is(BodyFraming, inChunks) {
		if _, err := io.WriteString(c.conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
	c.setSentAll()
	if s.ends(theClient, afterBody) {
		time.Sleep(reachTime)
	}
	if !c.endsAt(afterBody) && s.is(Follow, behind) {
		c.writeOrdinary(followerID)
	}
}

// setSentAll records that the whole body was sent.
func (c *client) setSentAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAll = true
}

// writeBody writes n bytes of the body from an offset on. It returns false if that failed.
func (c *client) writeBody(from, n int) bool {
	for n > 0 {
		size := min(n, pieceBytes)
		data := content(from, size)
		if c.scenario.is(BodyFraming, inChunks) {
			size = min(size, chunkBytes)
			data = fmt.Appendf(nil, "%x\r\n%s\r\n", size, data[:size])
		}
		if _, err := c.conn.Write(data); err != nil {
			return false
		}
		from, n = from+size, n-size
	}
	return true
}

// endsAt ends the connection if the client does so at a moment, and reports whether it has.
func (c *client) endsAt(at string) bool {
	if !c.scenario.ends(theClient, at) {
		return false
	}
	c.mu.Lock()
	c.leftAt = time.Now()
	c.mu.Unlock()
	switch {
	case c.scenario.endsBy(halfCloses):
		_ = c.conn.CloseWrite()
		return true
	case c.scenario.endsBy(resets):
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	return true
}

// readResponses reads the response, and the one to the request behind.
func (c *client) readResponses() {
	got := c.readResponse(true)
	var next response
	if c.scenario.is(Follow, behind) && got.err == nil && got.whole && !got.closes {
		next = c.readResponse(false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response, c.follower = got, next
}

// readResponse reads a response. inScenario means that the request was that of the scenario, which may
// pause or end the connection while the response is read.
func (c *client) readResponse(inScenario bool) response {
	got, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return response{err: err}
	}
	r := response{status: got.StatusCode, closes: got.Close}
	check := &contentChecker{}
	if inScenario {
		_, err = io.CopyN(check, got.Body, int64(c.scenario.bytes(AnswerSize)/2))
		if c.scenario.pauses(theClient, midAnswer) {
			time.Sleep(pauseTime(c.scenario))
		}
		c.endsAt(midAnswer)
	}
	if err == nil {
		_, err = io.Copy(check, got.Body)
	}
	r.bytes, r.altered, r.whole, r.endedAt = check.at, check.altered, err == nil, time.Now()
	return r
}
