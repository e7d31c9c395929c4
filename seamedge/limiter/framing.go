package limiter

import "bytes"

// maxChunkBytes is the largest size of a chunk that is followed. No body is that long.
const maxChunkBytes = 1 << 40

// bodyState is what a bodyScanner expects next.
type bodyState int

const (
	// unknownBody means that the framing of the body isn't known, or is invalid.
	unknownBody bodyState = iota
	// inBody and inChunk mean that bytes of a body with a length or of a chunk are left.
	inBody
	inChunk
	// inChunkSize means that the line with the size of a chunk goes on, and inTrailer that lines after
	// the last chunk do.
	inChunkSize
	inTrailer
	// bodyEnded means that the body is complete.
	bodyEnded
)

// bodyScanner finds the end of a request's body in the bytes that are read after the head. The zero value
// knows no framing.
type bodyScanner struct {
	state bodyState
	// left is how many bytes of the body or of the chunk are left. A chunk counts with the end of its line.
	left int64
	// size is the size of the next chunk as far as its line has been read, and sizeEnded means that the
	// digits have ended.
	size      int64
	sizeEnded bool
	line      lineScanner
}

// newBodyScanner returns a scanner for a body of the given length, or for a body in chunks if the length
// is negative.
func newBodyScanner(length int64) bodyScanner {
	switch {
	case length < 0:
		return bodyScanner{state: inChunkSize}
	case length == 0:
		return bodyScanner{state: bodyEnded}
	}
	return bodyScanner{state: inBody, left: length}
}

// scan reads bytes and returns those behind the end of the body. If the framing is unknown, that is all of
// them.
func (s *bodyScanner) scan(p []byte) []byte {
	for len(p) > 0 {
		switch s.state {
		case unknownBody, bodyEnded:
			return p
		case inBody, inChunk:
			p = s.skip(p)
		case inChunkSize, inTrailer:
			p = s.scanLine(p)
		}
	}
	return nil
}

// skip skips bytes of the body or the chunk.
func (s *bodyScanner) skip(p []byte) []byte {
	n := min(int64(len(p)), s.left)
	s.left -= n
	switch {
	case s.left > 0:
	case s.state == inBody:
		s.state = bodyEnded
	default:
		s.state, s.size, s.sizeEnded = inChunkSize, 0, false
	}
	return p[n:]
}

// scanLine reads the next part of a line, up to its end, and returns what follows.
func (s *bodyScanner) scanLine(p []byte) []byte {
	end := bytes.IndexByte(p, '\n')
	part, rest := p, []byte(nil)
	if end >= 0 {
		part, rest = p[:end], p[end+1:]
	}
	if s.state == inChunkSize {
		s.addSize(part)
	} else {
		s.line.add(part)
	}
	if end >= 0 {
		s.endLine()
	}
	return rest
}

// addSize adds a part of a chunk's size. What follows the digits are extensions.
func (s *bodyScanner) addSize(part []byte) {
	for _, c := range part {
		digit, ok := hexDigit(c)
		if !ok {
			s.sizeEnded = true
		}
		if s.sizeEnded {
			return
		}
		if s.size = s.size<<4 | digit; s.size > maxChunkBytes {
			s.state = unknownBody
			return
		}
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (int64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

// endLine ends the line of a chunk's size, or one of the trailer.
func (s *bodyScanner) endLine() {
	const lineEnd = 2
	switch {
	case s.state == inChunkSize && s.size > 0:
		s.state, s.left = inChunk, s.size+lineEnd
	case s.state == inChunkSize:
		s.state = inTrailer
	case s.state == inTrailer && s.line.isEmpty():
		s.state = bodyEnded
	}
	s.line = lineScanner{}
}
