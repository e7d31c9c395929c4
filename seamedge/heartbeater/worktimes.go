package heartbeater

import (
	"encoding/binary"
	"math"
	"time"

	"primroseseam.org/seam/placer"
)

// workTimeBytes is the encoded size of a report on the work time of an endpoint in bytes, and
// workTimeAgeUnit the unit of its age.
const (
	workTimeBytes   = 7
	workTimeAgeUnit = 10 * time.Millisecond
)

// encodeWorkTimes encodes reports on work times in a fixed number of bytes each. Ages are rounded
// up, so that a report never seems later than it is.
func encodeWorkTimes(reports []placer.WorkTimeReport) []byte {
	data := make([]byte, 0, workTimeBytes*len(reports))
	for _, r := range reports {
		data = binary.BigEndian.AppendUint32(data, r.Endpoint)
		data = binary.BigEndian.AppendUint16(data, r.Percent)
		data = append(data, uint8(min(max((r.Age+workTimeAgeUnit-1)/workTimeAgeUnit, 0), math.MaxUint8)))
	}
	return data
}

// decodeWorkTimes decodes reports on work times. Bytes at the end that aren't a whole one are
// ignored.
func decodeWorkTimes(data []byte) []placer.WorkTimeReport {
	var reports []placer.WorkTimeReport
	for ; len(data) >= workTimeBytes; data = data[workTimeBytes:] {
		reports = append(reports, placer.WorkTimeReport{
			Endpoint: binary.BigEndian.Uint32(data), Percent: binary.BigEndian.Uint16(data[4:]),
			Age: time.Duration(data[workTimeBytes-1]) * workTimeAgeUnit,
		})
	}
	return reports
}
