package dialer_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"primroseseam.org/seam/dialer"
)

func TestKeepAliveAndUserTimeoutAreSet(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	d := dialer.New(dialer.WithKeepAlive(2*time.Second, time.Second), dialer.WithUserTimeout(2500*time.Millisecond))
	conn, err := d.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// Socket option 18 is TCP_USER_TIMEOUT, with a value in milliseconds. The values of
	// the keep-alive options for times are in seconds.
	want := map[int]int{syscall.TCP_KEEPIDLE: 2, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 3, 18: 2500}
	_ = raw.Control(func(fd uintptr) {
		for option, value := range want {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			if err != nil || got != value {
				t.Errorf("socket option %d is %d (error %v), want %d", option, got, err, value)
			}
		}
	})
}

// Guards against unlimited memory use: without a fixed size, the receive buffer grows while a
// peer sends without end.
func TestReceiveBufferHasFixedSize(t *testing.T) {
	const size = 64 << 10
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := dialer.New(dialer.WithReceiveBuffer(size)).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		// Linux reports twice the size that was set.
		if got, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF); err != nil || got > 2*size {
			t.Errorf("the receive buffer has %d bytes (error %v), want %d at most", got, err, 2*size)
		}
	})
}
