package dialer

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against LOST (review/6): a peer that acknowledges everything but doesn't read for longer
// than TCP_USER_TIMEOUT must not lose its connection.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	const userTimeout, pause, size = 300 * time.Millisecond, 1500 * time.Millisecond, 8 << 20
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	read := make(chan int64, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		time.Sleep(pause)
		n, _ := io.Copy(io.Discard, c)
		read <- n
	}()
	conn, err := New(WithUserTimeout(userTimeout)).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var dead atomic.Bool
	stop := WatchPath(conn.(syscall.Conn), func() { dead.Store(true) })
	if _, err := conn.Write(make([]byte, size)); err != nil {
		t.Errorf("write: %v", err)
	}
	stop()
	_ = conn.(*net.TCPConn).CloseWrite()
	if n := <-read; n != size || dead.Load() {
		t.Errorf("%d of %d bytes were read, path dead %v", n, size, dead.Load())
	}
}

// Guards against waiting for the dead: a peer that has answered and closed its side may read on, so the
// watch must go on too.
func TestWatchGoesOnAfterThePeerHasClosedItsSide(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := New(WithUserTimeout(time.Second)).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	_ = peer.(*net.TCPConn).CloseWrite()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want the end of the peer's side", err)
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := (&pathWatch{raw: raw}).look(); !ok {
		t.Error("the watch ends though the connection can be written")
	}
}

// After a watch, the connection must have its TCP_USER_TIMEOUT again.
func TestUserTimeoutIsSetAgainAfterAWatch(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := New(WithUserTimeout(2500*time.Millisecond)).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	timeout := func() (ms int) {
		raw, _ := conn.(syscall.Conn).SyscallConn()
		_ = raw.Control(func(fd uintptr) { ms, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) })
		return ms
	}
	stop := WatchPath(conn.(syscall.Conn), func() {})
	if ms := timeout(); ms != 0 {
		t.Errorf("%d ms during the watch", ms)
	}
	stop()
	stop()
	if ms := timeout(); ms != 2500 {
		t.Errorf("%d ms after the watch", ms)
	}
}

// Guards against waiting for the dead: a path is dead if acknowledgements are owed for the whole
// time, and not if there was nothing to acknowledge or the peer answers each probe.
func TestPathIsDeadOnlyIfAcknowledgementsAreOwed(t *testing.T) {
	const limit = 2 * time.Second
	for name, c := range map[string]struct {
		state func(elapsed time.Duration) pathState
		dead  bool
	}{
		"idle":                     {func(e time.Duration) pathState { return pathState{false, e} }, false},
		"data is acknowledged":     {func(time.Duration) pathState { return pathState{true, 10 * time.Millisecond} }, false},
		"nothing is acknowledged":  {func(e time.Duration) pathState { return pathState{true, e} }, true},
		"window closed, alive":     {func(e time.Duration) pathState { return pathState{e%time.Second == 0, e % time.Second} }, false},
		"sent after a long pause":  {func(e time.Duration) pathState { return pathState{e < pathCheckInterval, 3*time.Second - e} }, false},
		"goes dead after a second": {func(e time.Duration) pathState { return pathState{e > time.Second, max(e-time.Second, 0)} }, true},
	} {
		s := pathSilence{limit: limit}
		dead, start := false, time.Unix(1000, 0)
		for elapsed := time.Duration(0); elapsed < 10*time.Second && !dead; elapsed += pathCheckInterval {
			dead = s.observe(c.state(elapsed), start.Add(elapsed))
		}
		if dead != c.dead {
			t.Errorf("%s: dead %v", name, dead)
		}
	}
}
