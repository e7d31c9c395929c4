package accepter_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"primroseseam.org/seam/accepter"
)

// serve starts an HTTP server on a Listener that wraps inner, and returns the Listener.
func serve(t *testing.T, inner net.Listener, handler http.HandlerFunc) *accepter.Listener {
	t.Helper()
	l := accepter.New(inner)
	server := &http.Server{Handler: handler, ConnState: l.Track, ConnContext: accepter.Context}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// roundTrip sends a GET request on a connection and reads the response.
func roundTrip(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// closedByServer reports whether the server closes the connection within 200 ms.
func closedByServer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 2 s: %s", what)
		}
	}
}

func TestIdleConnectionsCloseForNewOnes(t *testing.T) {
	const maxOpen = 5
	l := serve(t, listen(t), func(http.ResponseWriter, *http.Request) {})
	l.SetMaxOpen(maxOpen)
	var conns []net.Conn
	for n := range 3 * maxOpen {
		conn := dial(t, l.Addr().String())
		roundTrip(t, conn)
		conns = append(conns, conn)
		waitFor(t, "idle", func() bool { _, idle := l.Connections(); return idle >= min(n+1, maxOpen) })
	}
	if open, _ := l.Connections(); open > maxOpen {
		t.Errorf("%d connections are open, %d allowed", open, maxOpen)
	}
	if !closedByServer(conns[0]) {
		t.Error("the connection that was idle the longest is still open")
	}
	roundTrip(t, conns[len(conns)-1])
}

func TestActiveConnectionsStayOpen(t *testing.T) {
	release := make(chan struct{})
	l := serve(t, listen(t), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	conn := dial(t, l.Addr().String())
	if _, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a request in progress", func() bool { open, _ := l.Connections(); return open == 1 })
	l.SetMaxOpen(1)
	l.CloseIdle(0)
	roundTrip(t, dial(t, l.Addr().String()))
	close(release)
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request in progress ended with %v", err)
	}
}

func TestCloseIdleClosesOnlyExpiredConnections(t *testing.T) {
	l := serve(t, listen(t), func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, l.Addr().String())
	roundTrip(t, conn)
	waitFor(t, "idle", func() bool { _, idle := l.Connections(); return idle == 1 })
	if n := l.CloseIdle(time.Minute); n != 0 {
		t.Errorf("%d connections closed before their idle timeout", n)
	}
	if n := l.CloseIdle(0); n != 1 || !closedByServer(conn) {
		t.Errorf("%d connections closed after their idle timeout, want 1", n)
	}
}

func TestCallerDisconnectedSeesCloseBehindUnreadBytes(t *testing.T) {
	disconnected := make(chan bool, 2)
	proceed := make(chan struct{})
	l := serve(t, listen(t), func(_ http.ResponseWriter, r *http.Request) {
		disconnected <- accepter.CallerDisconnected(r.Context())
		<-proceed
		disconnected <- accepter.CallerDisconnected(r.Context())
	})
	conn := dial(t, l.Addr().String())
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if <-disconnected {
		t.Error("CallerDisconnected = true on an open connection")
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	if !<-disconnected {
		t.Error("CallerDisconnected = false after the caller's close")
	}
}

// failingListener is a listener whose first calls of Accept fail for lack of file
// descriptors. The field failures is the number of such calls that are left.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestAcceptResumesSoonAfterDescriptorShortage(t *testing.T) {
	inner := &failingListener{Listener: listen(t)}
	inner.failures.Store(20)
	begin := time.Now()
	l := serve(t, inner, func(http.ResponseWriter, *http.Request) {})
	roundTrip(t, dial(t, l.Addr().String()))
	// If Accept didn't retry, http.Server would retry instead. It doubles its pause
	// after each failure, up to 1 s, so it would need 6 s here.
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("accepted after %v", took)
	}
}
