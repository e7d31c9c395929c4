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

// serve starts a server behind a listener and returns the listener.
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

func ask(t *testing.T, conn net.Conn) {
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

// ended reports whether the server has closed the connection.
func ended(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 2 s: %s", what)
		}
	}
}

func TestIdleConnectionsDoNotKeepNewOnesOut(t *testing.T) {
	const most = 5
	l := serve(t, listen(t), func(http.ResponseWriter, *http.Request) {})
	l.SetMaxOpen(most)
	var conns []net.Conn
	for n := range 3 * most {
		conn := dial(t, l.Addr().String())
		ask(t, conn)
		conns = append(conns, conn)
		until(t, "idle", func() bool { _, idle := l.Connections(); return idle >= min(n+1, most) })
	}
	if open, _ := l.Connections(); open > most {
		t.Errorf("%d are open, %d allowed", open, most)
	}
	if !ended(conns[0]) {
		t.Error("the longest idle one is still open")
	}
	ask(t, conns[len(conns)-1])
}

func TestConnectionsWithARequestAreNotClosedForRoom(t *testing.T) {
	busy := make(chan struct{})
	l := serve(t, listen(t), func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-busy
		}
	})
	conn := dial(t, l.Addr().String())
	if _, err := io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	until(t, "a request under way", func() bool { open, _ := l.Connections(); return open == 1 })
	l.SetMaxOpen(1)
	l.CloseIdle(0)
	ask(t, dial(t, l.Addr().String()))
	close(busy)
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request under way ended with %v", err)
	}
}

func TestIdleConnectionsCloseAfterTheirTime(t *testing.T) {
	l := serve(t, listen(t), func(http.ResponseWriter, *http.Request) {})
	conn := dial(t, l.Addr().String())
	ask(t, conn)
	until(t, "idle", func() bool { _, idle := l.Connections(); return idle == 1 })
	if n := l.CloseIdle(time.Minute); n != 0 {
		t.Errorf("%d closed before their time", n)
	}
	if n := l.CloseIdle(0); n != 1 || !ended(conn) {
		t.Errorf("%d closed after their time", n)
	}
}

func TestLeftSeesACloseBehindUnreadBytes(t *testing.T) {
	left := make(chan bool, 2)
	next := make(chan struct{})
	l := serve(t, listen(t), func(_ http.ResponseWriter, r *http.Request) {
		left <- accepter.CallerDisconnected(r.Context())
		<-next
		left <- accepter.CallerDisconnected(r.Context())
	})
	conn := dial(t, l.Addr().String())
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if <-left {
		t.Error("an open connection counts as closed")
	}
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	close(next)
	if !<-left {
		t.Error("the close was not seen")
	}
}

// shortListener finds no descriptor for some time.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestAcceptGoesOnSoonAfterAShortage(t *testing.T) {
	inner := &shortListener{Listener: listen(t)}
	inner.failures.Store(20)
	begin := time.Now()
	l := serve(t, inner, func(http.ResponseWriter, *http.Request) {})
	ask(t, dial(t, l.Addr().String()))
	// The server's own pauses double up to 1 s and add to 6 s here.
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("accepted after %v", took)
	}
}
