package exchanger

import (
	"net"

	"primroseseam.org/seam/dialer"
)

//go:generate stringer -type=ending

// ending is what a call does with its connection when it ends.
//
// A close and a reset differ in what becomes of bytes that were written and have not reached the endpoint.
// After a close the system goes on to deliver them. A reset discards them, and the endpoint notices it at
// once. Neither destroys a response that somebody waits for: a call ends only after its response was read
// or given up.
type ending int

const (
	// keepConn is for a whole response to a request that has reached the endpoint as a whole. The
	// connection can carry other requests.
	keepConn ending = iota
	// closeConn is for a whole response to a request that was written as a whole, if the connection can't
	// carry other requests. What has not reached the endpoint yet is still delivered.
	closeConn
	// resetConn is for a request of which a part wasn't written, or a response of which a part is not wanted:
	// the caller left, the deadline passed, another attempt was faster, the endpoint answered early and the
	// rest of the upload is given up, the response is invalid, or the path is dead. Nobody waits for what
	// would still arrive.
	resetConn
)

// endingOf returns what to do with a connection of which the response was read and the request written as a
// whole or in part, and which can carry other requests or not.
func endingOf(wholeResponse, wholeRequest, reusable bool) ending {
	switch {
	case !wholeResponse || !wholeRequest:
		return resetConn
	case reusable:
		return keepConn
	}
	return closeConn
}

// resetOnClose sets whether a close of the connection, or the end of the process, resets it.
func (c *conn) resetOnClose(resets bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || resets == c.resetsOnClose {
		return
	}
	c.resetsOnClose = resets
	dialer.SetResetOnClose(tcp, resets)
}
