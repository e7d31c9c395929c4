// Package bufferer buffers the starts of bodies, of requests and of responses, in memory that
// is charged before it is used. The edge daemon, seamedge, uses it.
//
// The start of each body is buffered, so that a request can be sent again and a response that
// breaks off is noticed before a caller gets a part of it. The rest is streamed.
//
// # Usage
//
//	start, err := bufferer.Read(room, response.Body, response.ContentLength)
//	defer start.Release()
//	if start.More { io.Copy(w, response.Body) }
package bufferer

import (
	"errors"
	"io"
)

const (
	// SmallBytes is how much of each body is buffered without charge.
	SmallBytes = 4 << 10
	// LargeBytes is how much of a body is buffered while there is room. A shorter body is
	// buffered as a whole.
	LargeBytes = 256 << 10
	// growth is the factor by which a full buffer grows.
	growth = 4
)

// Room is memory for buffers.
type Room interface {
	// Reserve charges bytes. It returns false if there is no room.
	Reserve(bytes int64) bool
	// Release gives back bytes that Reserve has charged.
	Release(bytes int64)
}

// Unlimited is a Room without a limit.
type Unlimited struct{}

// Reserve implements Room.
func (Unlimited) Reserve(int64) bool { return true }

// Release implements Room.
func (Unlimited) Release(int64) {}

// Start is the start of a body. More means that the body may go on. NoRoom means that it does
// because there was no room to buffer more.
type Start struct {
	Data         []byte
	More, NoRoom bool
	room         Room
	reserved     int64
}

// Read reads the start of a body: LargeBytes of it, or less if there is no room. length is the
// size of the body, or negative if it isn't known. If Read returns no error, Release of the
// result must be called.
func Read(room Room, body io.Reader, length int64) (Start, error) {
	s := Start{room: room}
	limit := int64(LargeBytes)
	if length >= 0 {
		limit = min(limit, length)
	}
	for {
		if len(s.Data) == cap(s.Data) && !s.grow(limit) {
			s.More = int64(len(s.Data)) != length
			return s, nil
		}
		n, err := body.Read(s.Data[len(s.Data):cap(s.Data)])
		s.Data = s.Data[:len(s.Data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return s, nil
		case err != nil:
			s.Release()
			return Start{}, err
		}
	}
}

// grow enlarges a full buffer. It returns false if the buffer has the size limit or there is no
// room.
func (s *Start) grow(limit int64) bool {
	size := int64(cap(s.Data))
	if size >= limit {
		return false
	}
	next := min(max(size*growth, SmallBytes), limit)
	more := max(next-SmallBytes, 0) - s.reserved
	if more > 0 && !s.room.Reserve(more) {
		s.NoRoom = true
		return false
	}
	s.reserved += more
	data := make([]byte, len(s.Data), next)
	copy(data, s.Data)
	s.Data = data
	return true
}

// Reserved reports whether the start takes room.
func (s *Start) Reserved() bool { return s.reserved > 0 }

// Release gives back the room. The data must not be used any longer.
func (s *Start) Release() {
	if s.reserved > 0 {
		s.room.Release(s.reserved)
		s.reserved = 0
	}
}
