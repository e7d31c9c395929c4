package heartbeater

import (
	"encoding/binary"
	"errors"
)

// errFalseLength means that a datagram announces more than it holds.
var errFalseLength = errors.New("a length exceeds the datagram")

// payload describes the values of a MessagePack type that follow their type byte with a
// length in lengthBytes bytes, or with no length, and then fixedBytes bytes.
type payload struct{ lengthBytes, fixedBytes int }

// Payloads of the types from firstPayload on; see the MessagePack specification.
const firstPayload = 0xc0

var payloads = [...]payload{
	0xc0 - firstPayload: {}, 0xc1 - firstPayload: {}, 0xc2 - firstPayload: {}, 0xc3 - firstPayload: {},
	0xc4 - firstPayload: {1, 0}, 0xc5 - firstPayload: {2, 0}, 0xc6 - firstPayload: {4, 0},
	0xc7 - firstPayload: {1, 1}, 0xc8 - firstPayload: {2, 1}, 0xc9 - firstPayload: {4, 1},
	0xca - firstPayload: {0, 4}, 0xcb - firstPayload: {0, 8},
	0xcc - firstPayload: {0, 1}, 0xcd - firstPayload: {0, 2}, 0xce - firstPayload: {0, 4}, 0xcf - firstPayload: {0, 8},
	0xd0 - firstPayload: {0, 1}, 0xd1 - firstPayload: {0, 2}, 0xd2 - firstPayload: {0, 4}, 0xd3 - firstPayload: {0, 8},
	0xd4 - firstPayload: {0, 2}, 0xd5 - firstPayload: {0, 3}, 0xd6 - firstPayload: {0, 5}, 0xd7 - firstPayload: {0, 9}, 0xd8 - firstPayload: {0, 17},
	0xd9 - firstPayload: {1, 0}, 0xda - firstPayload: {2, 0}, 0xdb - firstPayload: {4, 0},
	0xdc - firstPayload: {2, 0}, 0xdd - firstPayload: {4, 0}, 0xde - firstPayload: {2, 0}, 0xdf - firstPayload: {4, 0},
}

// checkLengths returns an error if an array, a map or a text in the datagram is announced to
// be longer than what is left of the datagram. The decoder allocates arrays by the announced
// length before it reads their elements.
func checkLengths(data []byte) error {
	elements := uint64(0)
	for len(data) > 0 {
		elements -= min(elements, 1)
		bytes, inside, rest, ok := nextValue(data)
		if !ok || bytes > uint64(len(rest)) {
			return errFalseLength
		}
		data = rest[bytes:]
		if elements += inside; elements > uint64(len(data)) {
			return errFalseLength
		}
	}
	return nil
}

// nextValue reads the type and the length of the value at the start of data. It returns the
// number of bytes of the value that follow, the number of values inside it, and the data
// after type and length.
func nextValue(data []byte) (bytes, inside uint64, rest []byte, ok bool) {
	kind, rest := data[0], data[1:]
	switch {
	case kind < 0x80 || kind >= 0xe0:
		return 0, 0, rest, true
	case kind < 0x90:
		return 0, 2 * uint64(kind&0x0f), rest, true
	case kind < 0xa0:
		return 0, uint64(kind & 0x0f), rest, true
	case kind < 0xc0:
		return uint64(kind & 0x1f), 0, rest, true
	}
	p := payloads[kind-firstPayload]
	if len(rest) < p.lengthBytes {
		return 0, 0, nil, false
	}
	var padded [8]byte
	copy(padded[8-p.lengthBytes:], rest[:p.lengthBytes])
	length := binary.BigEndian.Uint64(padded[:])
	rest = rest[p.lengthBytes:]
	switch {
	case kind >= 0xde:
		return 0, 2 * length, rest, true
	case kind >= 0xdc:
		return 0, length, rest, true
	}
	return length + uint64(p.fixedBytes), 0, rest, true
}
