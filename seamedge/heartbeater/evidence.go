package heartbeater

import (
	"encoding/binary"
	"math"
	"time"

	"primroseseam.org/seam/quarantiner"
)

// The parts of the evidence are encoded in a fixed number of bytes for each entry: endBytes
// for the digest, the endpoint and the ages of the attempt and of the end; answerBytes for the
// digest and the age; quarantineBytes for the digest, the number of ends, the age of the last
// one and the time left. Ages of ends and answers are in units of shortUnit, the others in
// units of longUnit.
const (
	endBytes        = 16
	answerBytes     = 10
	quarantineBytes = 13
	shortUnit       = 10 * time.Millisecond
	longUnit        = time.Second
)

// appendDuration appends a duration as a number of units. It is rounded down, and longer ones
// than fit count as the longest that does.
func appendDuration(data []byte, d, unit time.Duration) []byte {
	return binary.BigEndian.AppendUint16(data, uint16(min(max(d/unit, 0), math.MaxUint16)))
}

// durationAt reads a duration that appendDuration appended.
func durationAt(data []byte, offset int, unit time.Duration) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(data[offset:])) * unit
}

// setEvidence sets the parts of the evidence.
func (x *extension) setEvidence(r quarantiner.Report) {
	for _, e := range r.Ends {
		x.Ends = binary.BigEndian.AppendUint64(x.Ends, e.Digest)
		x.Ends = binary.BigEndian.AppendUint32(x.Ends, e.Endpoint)
		x.Ends = appendDuration(appendDuration(x.Ends, e.SentAge, shortUnit), e.EndedAge, shortUnit)
	}
	for _, a := range r.Answers {
		x.Answers = appendDuration(binary.BigEndian.AppendUint64(x.Answers, a.Digest), a.Age, shortUnit)
	}
	for _, c := range r.Quarantines {
		x.Quarantines = append(binary.BigEndian.AppendUint64(x.Quarantines, c.Digest), c.Ends)
		x.Quarantines = appendDuration(appendDuration(x.Quarantines, c.LastEndAge, longUnit), c.Left, longUnit)
	}
}

// evidence returns the evidence. Bytes at the end of a part that aren't a whole entry are
// ignored.
func (x *extension) evidence() quarantiner.Report {
	var r quarantiner.Report
	for data := x.Ends; len(data) >= endBytes; data = data[endBytes:] {
		r.Ends = append(r.Ends, quarantiner.EndReport{
			Digest: binary.BigEndian.Uint64(data), Endpoint: binary.BigEndian.Uint32(data[8:]),
			SentAge: durationAt(data, 12, shortUnit), EndedAge: durationAt(data, 14, shortUnit),
		})
	}
	for data := x.Answers; len(data) >= answerBytes; data = data[answerBytes:] {
		r.Answers = append(r.Answers, quarantiner.AnswerReport{Digest: binary.BigEndian.Uint64(data), Age: durationAt(data, 8, shortUnit)})
	}
	for data := x.Quarantines; len(data) >= quarantineBytes; data = data[quarantineBytes:] {
		r.Quarantines = append(r.Quarantines, quarantiner.QuarantineReport{
			Digest: binary.BigEndian.Uint64(data), Ends: data[8],
			LastEndAge: durationAt(data, 9, longUnit), Left: durationAt(data, 11, longUnit),
		})
	}
	return r
}
