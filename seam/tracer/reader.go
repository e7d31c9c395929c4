package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// maxLineBytes is the maximum length of a line in a trace.
const maxLineBytes = 4 << 20

// Read reads and validates a trace. Errors carry [coder.TraceInvalid] and the number of
// the invalid line.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	lineNumber := 0
	for lines.Scan() {
		lineNumber++
		if err := t.addLine(lineNumber, lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errorAtLine(lineNumber+1, "read: %w", err)
	}
	if lineNumber == 0 {
		return nil, errorAtLine(1, "header is missing")
	}
	return t, nil
}

func errorAtLine(line int, format string, args ...any) error {
	return coder.Errorf(coder.TraceInvalid, fmt.Sprintf("line %d", line), format, args...)
}

func (t *Trace) addLine(lineNumber int, line []byte) error {
	if lineNumber == 1 {
		return t.readHeader(line)
	}
	e, err := decodeEvent(line)
	if err != nil {
		return errorAtLine(lineNumber, "%w", err)
	}
	if problem := t.eventProblem(e); problem != "" {
		return errorAtLine(lineNumber, "%s", problem)
	}
	t.events = append(t.events, e)
	return nil
}

func (t *Trace) readHeader(line []byte) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t.header); err != nil {
		return errorAtLine(1, "decode header: %w", err)
	}
	if t.header.Format != Format || t.header.Version != Version {
		return errorAtLine(1, "format is %q version %d; want %q version %d",
			t.header.Format, t.header.Version, Format, Version)
	}
	config, err := configurer.New(t.header.Config, 1)
	if err != nil {
		return errorAtLine(1, "config: %w", err)
	}
	t.config = config
	return t.checkHeader()
}

func (t *Trace) checkHeader() error {
	h := t.header
	if h.Duration <= 0 {
		return errorAtLine(1, "duration must be positive")
	}
	if len(h.Instances) == 0 {
		return errorAtLine(1, "instances must not be empty")
	}
	seen := map[string]bool{}
	for _, i := range h.Instances {
		if i.ID == "" || seen[i.ID] {
			return errorAtLine(1, "instance id %q is empty or used twice", i.ID)
		}
		seen[i.ID] = true
	}
	for _, u := range h.Upstreams {
		if _, ok := t.config.Service(u.Service); !ok || u.Work <= 0 {
			return errorAtLine(1, "upstream %q needs a known service and positive work", u.Service)
		}
	}
	if len(h.Upstreams) != len(t.config.Services()) {
		return errorAtLine(1, "upstreams must name each service once")
	}
	for i, o := range h.Outcomes {
		if problem := o.problem(); problem != "" {
			return errorAtLine(1, "outcomes[%d]: %s", i, problem)
		}
	}
	return nil
}

// eventHead holds the fields of an event's line except the body.
type eventHead struct {
	At   configurer.Duration `json:"at"`
	Type string              `json:"type"`
}

// eventLine is the JSON form of an event, which is one line of a trace.
type eventLine struct {
	eventHead
	Body json.RawMessage `json:"body"`
}

func decodeEvent(line []byte) (Event, error) {
	var l eventLine
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return Event{}, fmt.Errorf("decode event: %w", err)
	}
	decode, ok := bodyDecoders[l.Type]
	if !ok {
		return Event{}, fmt.Errorf("unknown event type %q", l.Type)
	}
	if len(l.Body) == 0 {
		return Event{}, errors.New("body is missing")
	}
	body, err := decode(l.Body)
	if err != nil {
		return Event{}, fmt.Errorf("body: %w", err)
	}
	return Event{at: time.Duration(l.At), body: body}, nil
}

// eventProblem returns the reason why an event can't be appended to the trace, or "" if
// the event is valid.
func (t *Trace) eventProblem(e Event) string {
	if e.at < 0 || e.at > time.Duration(t.header.Duration) {
		return "at must be within the duration"
	}
	if len(t.events) > 0 && e.at < t.events[len(t.events)-1].at {
		return "events must be ordered by time"
	}
	switch b := e.body.(type) {
	case Request:
		return t.requestProblem(b)
	case Load:
		if b.RatePerSecond <= 0 || b.For <= 0 {
			return "ratePerSecond and for must be positive"
		}
		return t.requestProblem(b.Request)
	case InstanceCrashed:
		return t.instanceProblem(b.Instance)
	case InstanceStarted:
		return t.instanceProblem(b.Instance)
	case InstanceStopped:
		return t.instanceProblem(b.Instance)
	case InstancePaused:
		return t.instanceProblem(b.Instance)
	}
	return ""
}

func (t *Trace) requestProblem(r Request) string {
	if _, ok := t.config.Team(r.Team); !ok {
		return fmt.Sprintf("unknown team %q", r.Team)
	}
	if _, ok := t.config.Service(r.Service); !ok {
		return fmt.Sprintf("unknown service %q", r.Service)
	}
	if r.Instance != "" {
		return t.instanceProblem(r.Instance)
	}
	return ""
}

func (t *Trace) instanceProblem(id string) string {
	for _, i := range t.header.Instances {
		if i.ID == id {
			return ""
		}
	}
	return fmt.Sprintf("unknown instance %q", id)
}
