package deduplicator

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Record is a record on its way to a successor.
type Record struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Answer  Answer `json:"answer"`
	// KeepMS is how much longer the record must be kept, in milliseconds: the
	// two clocks need not agree.
	KeepMS int64 `json:"keepMs"`
}

// Handover is all that a stopping home gives its successor.
type Handover struct {
	Home        string   `json:"home"`
	Incarnation uint64   `json:"incarnation"`
	Records     []Record `json:"records,omitempty"`
	// Partial means that more records follow; names of the home don't run at
	// the successor before the last part.
	Partial bool `json:"partial,omitempty"`
}

// Close makes a home take no new names. Repeats still get their answers.
func (h *Home) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// Running returns the number of named requests that are under way.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// Handover returns the records of a closed home. Names that still run go over
// as unknown. It reports false if the home is open: it might run a name that
// its successor runs too.
func (h *Home) Handover(now time.Time) (Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Handover{Home: h.self.id, Incarnation: h.self.incarnation}
	if !h.closed {
		return out, false
	}
	h.handed = true
	for _, r := range h.order {
		if h.records[r.key] != r {
			continue
		}
		answer := r.answer
		if !r.done {
			answer = unknown
		}
		out.Records = append(out.Records, Record{
			Key: r.key, Request: r.request, Answer: answer, KeepMS: r.forget.Sub(now).Milliseconds(),
		})
	}
	return out, true
}

// Adopt takes over the names of a home that has closed. Taking the same
// records twice changes nothing.
func (h *Home) Adopt(now time.Time, from Handover) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return coder.Errorf(coder.Stopping, from.Home, "successor is stopping too")
	}
	if len(h.records)+len(from.Records) > h.maxRecords {
		return coder.Errorf(coder.QueueFull, from.Home, "no room for %d records", len(from.Records))
	}
	for _, told := range from.Records {
		if _, ok := h.records[told.Key]; ok {
			continue
		}
		r := &record{key: told.Key, request: told.Request, forget: now.Add(time.Duration(told.KeepMS) * time.Millisecond)}
		h.records[r.key] = r
		h.order = append(h.order, r)
		h.keep(r, told.Answer)
	}
	if !from.Partial {
		h.adopted[owner{from.Home, from.Incarnation}] = true
	}
	return nil
}
