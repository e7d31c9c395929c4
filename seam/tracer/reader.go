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

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 4 << 20

// Read reads and checks a trace.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	number := 0
	for lines.Scan() {
		number++
		if err := t.addLine(number, lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, faultAt(number+1, "read: %w", err)
	}
	if number == 0 {
		return nil, faultAt(1, "no header")
	}
	return t, nil
}

func faultAt(line int, format string, args ...any) error {
	return coder.Errorf(coder.TraceInvalid, fmt.Sprintf("line %d", line), format, args...)
}

func (t *Trace) addLine(number int, line []byte) error {
	if number == 1 {
		return t.readHeader(line)
	}
	e, err := decodeEvent(line)
	if err != nil {
		return faultAt(number, "%w", err)
	}
	if fault := t.eventFault(e); fault != "" {
		return faultAt(number, "%s", fault)
	}
	t.events = append(t.events, e)
	return nil
}

func (t *Trace) readHeader(line []byte) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t.header); err != nil {
		return faultAt(1, "not a header: %w", err)
	}
	if t.header.Format != Format || t.header.Version != Version {
		return faultAt(1, "format is %q version %d instead of %q version %d",
			t.header.Format, t.header.Version, Format, Version)
	}
	config, err := configurer.New(t.header.Config, 1)
	if err != nil {
		return faultAt(1, "config: %w", err)
	}
	t.config = config
	return t.checkHeader()
}

func (t *Trace) checkHeader() error {
	h := t.header
	if h.Duration <= 0 {
		return faultAt(1, "duration must be positive")
	}
	if len(h.Instances) == 0 {
		return faultAt(1, "instances must not be empty")
	}
	seen := map[string]bool{}
	for _, i := range h.Instances {
		if i.ID == "" || seen[i.ID] {
			return faultAt(1, "instance %q is empty or stands twice", i.ID)
		}
		seen[i.ID] = true
	}
	for _, u := range h.Upstreams {
		if _, ok := t.config.Service(u.Service); !ok || u.Work <= 0 {
			return faultAt(1, "upstream %q needs a known service and positive work", u.Service)
		}
	}
	if len(h.Upstreams) != len(t.config.Services()) {
		return faultAt(1, "upstreams must name each service once")
	}
	for i, o := range h.Outcomes {
		if fault := o.fault(); fault != "" {
			return faultAt(1, "outcomes[%d]: %s", i, fault)
		}
	}
	return nil
}

// eventHead holds the fields that every event line has.
type eventHead struct {
	At   configurer.Duration `json:"at"`
	Type string              `json:"type"`
}

// eventLine is the JSON form of an event.
type eventLine struct {
	eventHead
	Body json.RawMessage `json:"body"`
}

func decodeEvent(line []byte) (Event, error) {
	var l eventLine
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return Event{}, fmt.Errorf("not an event: %w", err)
	}
	decode, ok := bodyDecoders[l.Type]
	if !ok {
		return Event{}, fmt.Errorf("no event type %q", l.Type)
	}
	if len(l.Body) == 0 {
		return Event{}, errors.New("no body")
	}
	body, err := decode(l.Body)
	if err != nil {
		return Event{}, fmt.Errorf("body: %w", err)
	}
	return Event{at: time.Duration(l.At), body: body}, nil
}

// eventFault returns what is wrong with an event in its place, or "".
func (t *Trace) eventFault(e Event) string {
	if e.at < 0 || e.at > time.Duration(t.header.Duration) {
		return "at must be within the duration"
	}
	if len(t.events) > 0 && e.at < t.events[len(t.events)-1].at {
		return "events must be in the order of their times"
	}
	switch b := e.body.(type) {
	case Request:
		return t.requestFault(b)
	case Load:
		if b.RatePerSecond <= 0 || b.For <= 0 {
			return "ratePerSecond and for must be positive"
		}
		return t.requestFault(b.Request)
	case InstanceCrashed:
		return t.instanceFault(b.Instance)
	case InstanceStarted:
		return t.instanceFault(b.Instance)
	case InstanceStopped:
		return t.instanceFault(b.Instance)
	case InstancePaused:
		return t.instanceFault(b.Instance)
	}
	return ""
}

func (t *Trace) requestFault(r Request) string {
	if _, ok := t.config.Team(r.Team); !ok {
		return fmt.Sprintf("no team %q", r.Team)
	}
	if _, ok := t.config.Service(r.Service); !ok {
		return fmt.Sprintf("no service %q", r.Service)
	}
	if r.Instance != "" {
		return t.instanceFault(r.Instance)
	}
	return ""
}

func (t *Trace) instanceFault(id string) string {
	for _, i := range t.header.Instances {
		if i.ID == id {
			return ""
		}
	}
	return fmt.Sprintf("no instance %q", id)
}
