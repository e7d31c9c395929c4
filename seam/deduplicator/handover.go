package deduplicator

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Record is the record of one name, in the form in which it is sent to a successor.
type Record struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Answer  Answer `json:"answer"`
	// KeepMS is how much longer the record must be kept, in milliseconds. It is a
	// duration rather than a time because the clocks of the two instances may differ.
	KeepMS int64 `json:"keepMs"`
}

// Handover holds the records that a stopping home sends to its successor, or a part of
// them.
type Handover struct {
	Home        string   `json:"home"`
	Incarnation uint64   `json:"incarnation"`
	Records     []Record `json:"records,omitempty"`
	// Partial means that more parts follow. The successor answers for names of the home
	// only after it has received the last part.
	Partial bool `json:"partial,omitempty"`
}

// Close makes the home refuse new names. Repeated requests still get their answers.
func (h *Home) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// Running returns the number of requests for which Begin has returned Run and End
// hasn't been called yet.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runningRequests
}

// Handover returns all records of a closed home. After that, the home runs no more
// names. Requests that are still running are handed over with an unknown outcome.
// Handover returns false if the home isn't closed, because an open home could still run
// a name that its successor runs too.
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
		if !r.requestEnded {
			answer = outcomeUnknown
		}
		out.Records = append(out.Records, Record{
			Key: r.key, Request: r.request, Answer: answer, KeepMS: r.keepUntil.Sub(now).Milliseconds(),
		})
	}
	return out, true
}

// Adopt adds the records of a closed home and, with the last part of the handover,
// takes over the home's names. It leaves records that this home already has as they
// are, so a handover can be repeated. It returns an error if this home is stopping
// itself or would have too many records.
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
		h.adoptedHomes[homeID{from.Home, from.Incarnation}] = true
	}
	return nil
}
