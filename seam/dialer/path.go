package dialer

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Linux's states of a connection: one that is open, one that has ended, also by a reset, and one whose peer
// has closed its side. That peer may still read.
const (
	tcpEstablished = 1
	tcpClose       = 7
	tcpCloseWait   = 8
)

// pathCheckInterval is the time between two looks at the state of a connection.
const pathCheckInterval = 200 * time.Millisecond

// WatchPath lets the peer of a connection read as slowly as it likes, and still finds out when the
// path to it is dead. TCP_USER_TIMEOUT alone ends both kinds of connections: also one whose peer
// acknowledges everything but doesn't read, so that its receive window stays closed. WatchPath
// turns the option off and looks at the connection instead: dead is called once if the peer has
// acknowledged nothing for the time of the option, although it had to. stop sets the option again.
//
// If the system doesn't report the state of the connection, the option stays on, and dead is never
// called. conn should come from a dialer of this package.
func WatchPath(conn syscall.Conn, dead func()) (stop func()) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {}
	}
	w := &pathWatch{raw: raw, dead: dead, ended: make(chan struct{})}
	if _, ok := w.look(); !ok || !w.takeUserTimeout() {
		return func() {}
	}
	go w.run()
	return sync.OnceFunc(func() {
		close(w.ended)
		// An error means that the connection has ended.
		_ = w.setUserTimeout(w.userTimeoutMs)
	})
}

// Delivered reports whether the peer of a connection has acknowledged all that was written to it. It
// reports true if the system doesn't report that.
func Delivered(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return controlErr != nil || err != nil || unacknowledged == 0
}

// Ended reports whether a connection has ended, for instance by a reset from its peer, so that nothing that was
// written to it is delivered any more. It reports false if the system doesn't report that.
func Ended(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr == nil && err == nil && info.State == tcpClose
}

// pathWatch watches one connection.
type pathWatch struct {
	raw   syscall.RawConn
	dead  func()
	ended chan struct{}
	// userTimeoutMs is the connection's own TCP_USER_TIMEOUT in milliseconds.
	userTimeoutMs int
}

// run looks at the connection until the watch ends or the path is dead.
func (w *pathWatch) run() {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	silence := pathSilence{limit: time.Duration(w.userTimeoutMs) * time.Millisecond}
	for {
		select {
		case <-w.ended:
			return
		case now := <-ticker.C:
			state, ok := w.look()
			if !ok {
				// The connection has ended by itself.
				return
			}
			if silence.observe(state, now) {
				w.dead()
				return
			}
		}
	}
}

// pathState is what the system knows of the way to a peer.
type pathState struct {
	// acksDue means that data or probes were sent that the peer has not acknowledged.
	acksDue bool
	// lastAck is the time since the last acknowledgement.
	lastAck time.Duration
}

// pathSilence finds out for how long a peer has owed an acknowledgement.
type pathSilence struct {
	limit time.Duration
	since time.Time
}

// observe records the state of the path and reports whether the path is dead. A single look is
// not enough: the last acknowledgement may be old because nothing was sent for a while.
func (s *pathSilence) observe(state pathState, now time.Time) bool {
	if !state.acksDue || state.lastAck <= pathCheckInterval {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	return now.Sub(s.since) >= s.limit
}

// look returns the state of the path, or false if the system doesn't report it or the connection
// can't be written.
func (w *pathWatch) look() (pathState, bool) {
	var info *unix.TCPInfo
	err := w.control(func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil || info.Snd_mss == 0 {
		return pathState{}, false
	}
	if info.State != tcpEstablished && info.State != tcpCloseWait {
		return pathState{}, false
	}
	return pathState{
		acksDue: info.Unacked > 0 || info.Probes > 0,
		lastAck: time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, true
}

// takeUserTimeout records the connection's TCP_USER_TIMEOUT and turns it off. It returns false if
// there is none.
func (w *pathWatch) takeUserTimeout() bool {
	err := w.control(func(fd int) (err error) {
		w.userTimeoutMs, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	})
	return err == nil && w.userTimeoutMs > 0 && w.setUserTimeout(0) == nil
}

func (w *pathWatch) setUserTimeout(ms int) error {
	return w.control(func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms) })
}

// control calls f with the connection's descriptor.
func (w *pathWatch) control(f func(fd int) error) error {
	var err error
	if controlErr := w.raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
