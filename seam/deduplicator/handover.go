package deduplicator

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Record is the record of one name, as it is handed to a successor.
type Record struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Answer  Answer `json:"answer"`
	// KeepMS is how much longer the record must be kept, in milliseconds. It is
	// a duration because the clocks of the two instances may differ.
	KeepMS int64 `json:"keepMs"`
}

// Handover is what a stopping home hands to its successor.
type Handover struct {
	Home        string   `json:"home"`
	Incarnation uint64   `json:"incarnation"`
	Records     []Record `json:"records,omitempty"`
	// Partial means that more records follow. The successor runs names of the
	// home only after it has the last part.
	Partial bool `json:"partial,omitempty"`
}

// Close makes the home refuse new names. Repeats still get their answers.
func (h *Home) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// Running returns the number of requests that Begin let run and that haven't
// ended yet.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Handover returns the records of a closed home, after which the home runs no
// more names. Requests that are still running are handed over with an unknown
// outcome. Handover reports false if the home isn't closed, since it could run a
// name that its successor runs too.
func (h *Home) Handover(now time.Time) (Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Handover{Home: h.self.id, Incarnation: h.self.incarnation}
	if !h.closed {
		return out, false
	}
	h.handedOver = true
	for _, r := range h.order {
		if h.records[r.key] != r {
			continue
		}
		answer := r.answer
		if !r.done {
			answer = outcomeUnknown
		}
		out.Records = append(out.Records, Record{
			Key: r.key, Request: r.request, Answer: answer, KeepMS: r.keepUntil.Sub(now).Milliseconds(),
		})
	}
	return out, true
}

// Adopt takes over the records and names of a closed home. Records that are
// already here are left as they are, so a handover can be repeated.
func (h *Home) Adopt(now time.Time, from Handover) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return coder.Errorf(coder.Stopping, from.Home, "the successor is stopping too")
	}
	if len(h.records)+len(from.Records) > h.maxRecords {
		return coder.Errorf(coder.QueueFull, from.Home, "cannot take %d more records: the maximum would be exceeded", len(from.Records))
	}
	for _, incoming := range from.Records {
		if _, ok := h.records[incoming.Key]; ok {
			continue
		}
		r := &record{key: incoming.Key, request: incoming.Request, keepUntil: now.Add(time.Duration(incoming.KeepMS) * time.Millisecond)}
		h.records[r.key] = r
		h.order = append(h.order, r)
		h.setAnswer(r, incoming.Answer)
	}
	if !from.Partial {
		h.adopted[homeID{from.Home, from.Incarnation}] = true
	}
	return nil
}
