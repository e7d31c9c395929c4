package bufferer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"primroseseam.org/seamedge/bufferer"
)

// room is a Room of a number of bytes.
type room struct{ left int64 }

func (r *room) Reserve(n int64) bool {
	if n > r.left {
		return false
	}
	r.left -= n
	return true
}

func (r *room) Release(n int64) { r.left += n }

func TestLongBodiesShareTheRoom(t *testing.T) {
	const size = bufferer.LargeBytes
	b := &room{left: size}
	read := func(size, want int, more, known bool) bufferer.Start {
		t.Helper()
		body := bytes.Repeat([]byte{'a'}, size)
		length := int64(-1)
		if known {
			length = int64(size)
		}
		reader := bytes.NewReader(body)
		s, err := bufferer.Read(b, reader, length)
		if err != nil || len(s.Data) != want || s.More != more {
			t.Errorf("body of %d bytes: %d buffered, more %v, %v; want %d, %v", size, len(s.Data), s.More, err, want, more)
		}
		rest, _ := io.ReadAll(reader)
		if !bytes.Equal(append(bytes.Clone(s.Data), rest...), body) {
			t.Errorf("body of %d bytes: start and rest differ from it", size)
		}
		return s
	}
	for _, known := range []bool{true, false} {
		read(0, 0, false, known)
		read(bufferer.SmallBytes-1, bufferer.SmallBytes-1, false, known)
		first := read(bufferer.LargeBytes+1, bufferer.LargeBytes, true, known)
		if second := read(bufferer.LargeBytes-1, bufferer.SmallBytes, true, known); !second.NoRoom || second.Reserved() {
			t.Error("a body without room isn't marked as such")
		}
		read(100, 100, false, known)
		first.Release()
		first.Release()
		third := read(bufferer.LargeBytes-1, bufferer.LargeBytes-1, false, known)
		if !third.Reserved() || first.Reserved() || third.NoRoom {
			t.Error("reserved by the first, or not by the third")
		}
		third.Release()
	}
	broken := io.MultiReader(strings.NewReader(strings.Repeat("a", bufferer.SmallBytes+1)), iotest.ErrReader(errors.New("broken")))
	if _, err := bufferer.Read(b, broken, -1); err == nil {
		t.Error("a body that broke off was read")
	}
	last := read(bufferer.LargeBytes, bufferer.LargeBytes, false, true)
	last.Release()
	if b.left != size {
		t.Errorf("%d bytes left when all is released, want %d", b.left, size)
	}
}

// Guards against memory for bodies that never arrive: only what has arrived is reserved, and
// some more, whatever length is announced.
func TestUnfinishedBodiesReserveLittle(t *testing.T) {
	b := &room{left: 1 << 20}
	used := int64(0)
	body := io.MultiReader(strings.NewReader(strings.Repeat("a", 20<<10)), readerFunc(func([]byte) (int, error) {
		used = 1<<20 - b.left
		return 0, io.EOF
	}))
	if _, err := bufferer.Read(b, body, bufferer.LargeBytes); err != nil || used > 64<<10 {
		t.Errorf("%d bytes reserved for 20 KiB, %v", used, err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
