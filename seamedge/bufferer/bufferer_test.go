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

func TestLongBodiesShareTheBudget(t *testing.T) {
	b := bufferer.New(bufferer.LargeBytes)
	read := func(size, want int, more bool) bufferer.Start {
		t.Helper()
		body := bytes.Repeat([]byte{'a'}, size)
		reader := bytes.NewReader(body)
		s, err := b.Read(reader)
		if err != nil || len(s.Data) != want || s.More != more {
			t.Errorf("body of %d bytes: %d buffered, more %v, %v; want %d, %v", size, len(s.Data), s.More, err, want, more)
		}
		rest, _ := io.ReadAll(reader)
		if !bytes.Equal(append(bytes.Clone(s.Data), rest...), body) {
			t.Errorf("body of %d bytes: start and rest differ from it", size)
		}
		return s
	}
	read(0, 0, false)
	read(bufferer.SmallBytes-1, bufferer.SmallBytes-1, false)
	first := read(bufferer.LargeBytes+1, bufferer.LargeBytes, true)
	read(bufferer.LargeBytes-1, bufferer.SmallBytes, true)
	read(100, 100, false)
	first.Release()
	first.Release()
	second := read(bufferer.LargeBytes-1, bufferer.LargeBytes-1, false)
	if !second.Reserved() || first.Reserved() {
		t.Error("reserved by the first, or not by the second")
	}
	second.Release()
	broken := io.MultiReader(strings.NewReader(strings.Repeat("a", bufferer.SmallBytes+1)), iotest.ErrReader(errors.New("broken")))
	if _, err := b.Read(broken); err == nil {
		t.Error("a body that broke off was read")
	}
	last := read(bufferer.LargeBytes, bufferer.LargeBytes, true)
	last.Release()
	if left := b.Left(); left != bufferer.LargeBytes {
		t.Errorf("%d bytes left when all is released, want %d", left, bufferer.LargeBytes)
	}
}
