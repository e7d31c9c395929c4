package crowder

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Form is what the clients of a crowd do.
type Form int

// The forms of crowds. All sizes are within the limits of the target unless they say
// otherwise, and all connections stay open.
const (
	// WholeBodies sends complete requests with the largest body, in one piece.
	WholeBodies Form = iota
	// NearBodies, NearBodiesInPieces and NearBodiesInChunks send bodies that stop a few bytes
	// short of their end: in one piece, in small pieces, or in chunks of one byte.
	NearBodies
	NearBodiesInPieces
	NearBodiesInChunks
	// OversizeBodies and OversizeChunks send bodies far over the limit, with a length and in
	// chunks.
	OversizeBodies
	OversizeChunks
	// ManyFields sends complete heads of very many short fields and a body that isn't
	// finished. UnfinishedFields sends such heads without their end.
	ManyFields
	UnfinishedFields
	// Pipelined sends many requests ahead and reads nothing.
	Pipelined
	// SlowHeads sends a head a byte at a time. HalfHeads stops within a head.
	SlowHeads
	HalfHeads
	// SlowReaders sends a request and reads the response a byte at a time.
	SlowReaders
	formCount
)

//go:generate stringer -type Form -output form_string.go

// Forms returns all forms.
func Forms() []Form {
	list := make([]Form, 0, formCount)
	for f := range formCount {
		list = append(list, f)
	}
	return list
}

// RequestID is the ID of all requests of a crowd.
const RequestID = "crowd"

const (
	// missingBytes is how far short of its end an unfinished body stops.
	missingBytes = 10
	// pieceBytes is the size of a small piece, and chunkCount the number of chunks of one
	// byte in a body.
	pieceBytes = 250
	chunkCount = 20000
	// oversizeFactor is the announced length of an oversize body as a multiple of the limit,
	// and oversizeSent how much of such a body is sent, as a multiple of the limit.
	oversizeFactor = 4096
	oversizeSent   = 4
	// pipelinedRequests is how many requests a client sends ahead.
	pipelinedRequests = 2000
	// smallBuffer is the receive buffer of slow readers, in bytes.
	smallBuffer = 4 << 10
)

// script is what a client sends on a connection: the pieces, with a pause after each. It then
// reads the responses, each byte after readPause, or nothing if readPause is negative.
type script struct {
	pieces    [][]byte
	pause     time.Duration
	readPause time.Duration
}

func newScript(form Form, t Target) script {
	body := bytes.Repeat([]byte("x"), t.BodyBytes)
	short := body[:len(body)-missingBytes]
	withLength := func(n int) string { return t.head("POST", fmt.Sprintf("Content-Length: %d\r\n", n)) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	switch form {
	case WholeBodies:
		return script{pieces: [][]byte{append([]byte(withLength(len(body))), body...)}}
	case NearBodies:
		return script{pieces: [][]byte{append([]byte(withLength(len(body))), short...)}}
	case NearBodiesInPieces:
		part := short[:len(short)/4]
		return script{pieces: append([][]byte{[]byte(withLength(len(part) + missingBytes))}, split(part, pieceBytes)...)}
	case NearBodiesInChunks:
		chunks := bytes.Repeat([]byte("1\r\nx\r\n"), chunkCount)
		return script{pieces: append([][]byte{[]byte(t.head("POST", chunked))}, split(chunks, 1<<12)...)}
	case OversizeBodies:
		return script{pieces: append([][]byte{[]byte(withLength(oversizeFactor * len(body)))}, repeat(body, oversizeSent)...)}
	case OversizeChunks:
		chunk := append(append([]byte(fmt.Sprintf("%x\r\n", len(body))), body...), '\r', '\n')
		return script{pieces: append([][]byte{[]byte(t.head("POST", chunked))}, repeat(chunk, oversizeSent)...)}
	case ManyFields:
		return script{pieces: [][]byte{[]byte(t.head("POST", t.fields("Content-Length: 100\r\n")) + "unfinished")}}
	case UnfinishedFields:
		head := t.head("GET", t.fields(""))
		return script{pieces: [][]byte{[]byte(strings.TrimSuffix(head, "\r\n"))}}
	case Pipelined:
		return script{pieces: repeat([]byte(t.head("GET", "")), pipelinedRequests), readPause: -1}
	case SlowHeads:
		return script{pieces: split([]byte(t.head("GET", t.fields(""))), 1), pause: drip}
	case HalfHeads:
		head := t.head("GET", t.fields(""))
		return script{pieces: [][]byte{[]byte(head[:len(head)/2])}}
	}
	return script{pieces: [][]byte{[]byte(t.head("GET", ""))}, readPause: drip}
}

// head returns the head of a request with further fields.
func (t Target) head(method, fields string) string {
	if t.Key != "" {
		fields = t.KeyHeader + ": " + t.Key + "\r\n" + fields
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 30000\r\n%s\r\n", method, t.Path, t.Host, RequestID, fields)
}

// fields returns the given fields followed by distinct short ones, which together with the
// rest of the head stay within HeadBytes.
func (t Target) fields(given string) string {
	var b strings.Builder
	b.WriteString(given)
	for n := 0; len(t.head("POST", ""))+b.Len()+len("zzz:\r\n") < t.HeadBytes; n++ {
		b.WriteString(shortName(n))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// shortName returns the n-th of the names of one to three letters that no other field has.
func shortName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := string(letters[n%len(letters)])
	for n /= len(letters); n > 0; n /= len(letters) {
		name += string(letters[n%len(letters)])
	}
	return name
}

func split(data []byte, size int) [][]byte {
	var pieces [][]byte
	for ; len(data) > size; data = data[size:] {
		pieces = append(pieces, data[:size])
	}
	return append(pieces, data)
}

func repeat(piece []byte, n int) [][]byte {
	pieces := make([][]byte, n)
	for i := range pieces {
		pieces[i] = piece
	}
	return pieces
}

// hasFailed reports whether the peer has reset or closed a connection. It reads nothing.
func hasFailed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	failed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		failed = err == nil && n > 0
	})
	return err != nil || failed
}
