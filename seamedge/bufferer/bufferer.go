// Package bufferer limits the memory that an instance of the edge daemon, seamedge, spends on
// buffered bodies of requests and responses, all together.
//
// The start of each body is buffered, so that a request can be sent again and a response that
// breaks off is noticed before a caller gets a part of it. The rest is streamed. Without a
// common limit, many long bodies at once would need more memory than a small instance has.
//
// # Usage
//
//	budget := bufferer.New(46 << 20)
//	start, err := budget.Read(response.Body)
//	defer start.Release()
//	if start.More { io.Copy(w, response.Body) }
package bufferer

import (
	"bytes"
	"io"
	"sync/atomic"
)

const (
	// SmallBytes is how much of each body is buffered in any case.
	SmallBytes = 16 << 10
	// LargeBytes is how much of a body is buffered while there is room. A shorter body is
	// buffered as a whole.
	LargeBytes = 256 << 10
)

// Budget is the memory for all buffers beyond the first SmallBytes of each. It is safe for
// concurrent use.
type Budget struct{ left atomic.Int64 }

// New returns a budget in bytes.
func New(size int64) *Budget {
	b := &Budget{}
	b.left.Store(size)
	return b
}

// Left returns the room in bytes. It is negative for a moment while a buffer is refused.
func (b *Budget) Left() int64 { return b.left.Load() }

// Start is the start of a body. More means that the body may go on.
type Start struct {
	Data []byte
	More bool
	// budget is the budget from which reserved bytes were taken, or nil.
	budget   *Budget
	reserved int64
}

// Read reads the start of a body: LargeBytes of it, or SmallBytes if the budget has no room.
// If it returns no error, Release of the result must be called.
func (b *Budget) Read(body io.Reader) (Start, error) {
	data, err := io.ReadAll(io.LimitReader(body, SmallBytes))
	if err != nil || len(data) < SmallBytes {
		return Start{Data: data}, err
	}
	s := Start{budget: b, reserved: LargeBytes - SmallBytes}
	if b.left.Add(-s.reserved) < 0 {
		s.Release()
		return Start{Data: data, More: true}, nil
	}
	buffer := bytes.NewBuffer(data)
	n, err := buffer.ReadFrom(io.LimitReader(body, s.reserved))
	if err != nil {
		s.Release()
		return Start{}, err
	}
	s.Data, s.More = buffer.Bytes(), n == s.reserved
	return s, nil
}

// Reserved reports whether the start takes room of the budget.
func (s *Start) Reserved() bool { return s.reserved > 0 }

// Release gives back the room in the budget.
func (s *Start) Release() {
	if s.reserved > 0 {
		s.budget.left.Add(s.reserved)
		s.reserved = 0
	}
}
