package limiter

import "bytes"

const (
	// headSlack is by how many bytes a head may exceed its limit before it is refused while it
	// is read. Heads that exceed the limit by less are refused once they are decoded.
	headSlack = 4 << 10
	// bufferedBytes is the size of the server's read buffer. Bytes beyond the end of a request
	// stay in it until the next request is read.
	bufferedBytes = 4 << 10
)

// headScanner measures the head of a request while its bytes are read: their number, and the
// number of lines. It keeps the bytes that were read beyond the request, since the server doesn't
// read them again: they are the start of the next head. It never measures less than the server
// decodes, but may measure more. The zero value is ready for the first head of a connection.
type headScanner struct {
	// bytes and lines measure the head in progress.
	bytes, lines int
	line         lineScanner
	complete     bool
	body         bodyScanner
	// ahead holds what was read beyond the request in progress. As long as the framing of its
	// body isn't known, that is all behind its head.
	ahead []byte
	// readAhead means that the server has read a byte beyond the request in progress while it
	// was handled. carriedReadAhead is readAhead of the request before.
	readAhead, carriedReadAhead bool
}

// lineScanner measures a line: its length without the line feed, its first byte, and whether
// it has anything but white space.
type lineScanner struct {
	length  int
	first   byte
	hasText bool
}

func (l *lineScanner) add(p []byte) {
	if len(p) == 0 {
		return
	}
	if l.length == 0 {
		l.first = p[0]
	}
	l.length += len(p)
	l.hasText = l.hasText || len(bytes.TrimLeft(p, " \t\r")) > 0
}

// isEmpty reports whether the line ends a head.
func (l *lineScanner) isEmpty() bool { return l.length == 0 || l.length == 1 && l.first == '\r' }

// scan adds bytes that were read while a head was in progress.
func (s *headScanner) scan(p []byte) {
	if s.complete {
		s.setAhead(p)
		return
	}
	s.setAhead(nil)
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.bytes += len(p)
			s.line.add(p)
			return
		}
		s.bytes += end + 1
		s.line.add(p[:end])
		line := s.line
		s.line = lineScanner{}
		p = p[end+1:]
		if line.hasText || s.lines == 0 {
			s.lines++
			continue
		}
		// The server may take a line of white space for the end of the head, or for a part of
		// it.
		s.setAhead(p)
		if line.isEmpty() {
			s.complete = true
			return
		}
	}
}

// setAhead sets what was read beyond the request in progress.
func (s *headScanner) setAhead(p []byte) {
	if len(p) == 0 {
		s.ahead = nil
		return
	}
	s.ahead = bytes.Clone(p)
}

// beginBody sets the length of the request's body, or -1 if it is in chunks. Bytes of the body that were
// read with the head aren't ahead any longer.
func (s *headScanner) beginBody(length int64) {
	if !s.complete {
		return
	}
	s.body = newBodyScanner(length)
	s.setAhead(s.body.scan(s.ahead))
}

// note adds bytes that were read after the head. Only those of the last read can still be in
// the server's buffer, and a larger read doesn't pass through it.
func (s *headScanner) note(p []byte) {
	rest := s.body.scan(p)
	if len(p) > bufferedBytes {
		rest = nil
	}
	s.setAhead(rest)
}

// noteReadAhead adds bytes that were read while the request was handled.
func (s *headScanner) noteReadAhead(p []byte) {
	rest := s.body.scan(p)
	s.readAhead = s.readAhead || len(rest) > 0
	s.ahead = append(s.ahead, rest...)
}

// next begins the next head of the connection.
func (s *headScanner) next() {
	ahead := s.ahead
	*s = headScanner{carriedReadAhead: s.readAhead}
	s.scan(ahead)
}

// cost returns the memory for the head in progress as far as it has been read.
func (s *headScanner) cost() int64 { return headCost(s.lines, s.bytes) }

// headCost returns the memory for a decoded head with the given numbers of fields and bytes.
func headCost(fields, bytes int) int64 {
	return int64(fields)*fieldBytes + int64(bytes)*headByteCost
}
