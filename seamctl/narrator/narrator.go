// Package narrator tells the story of one request from the logs of instances.
//
// Logs may be those of several instances, one after the other or mixed, and a
// line may have a prefix before its JSON.
//
// # Usage
//
//	n := narrator.New("9c41d07be2a35f68")
//	err := n.Read(file)
//	story := n.Story()
package narrator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Event is a line of a log.
type Event struct {
	At       time.Time
	Instance string
	Message  string
	// Fields holds what the line says beyond that, in words.
	Fields string
	// Belief means that the line is about what the instance believed, and not
	// about the request itself.
	Belief bool
}

// Narrator gathers what logs say of a request.
type Narrator struct {
	request string
	events  []Event
	// beliefs holds the lines about each instance's beliefs.
	beliefs map[string][]Event
}

// New returns a narrator of a request, by the id that its caller gave it.
func New(request string) *Narrator {
	return &Narrator{request: request, beliefs: map[string][]Event{}}
}

// known lists the fields that are told in a place of their own.
var known = map[string]bool{"level": true, "ts": true, "msg": true, "instance": true, "request": true}

// Read reads a log. Lines that are none are passed over.
func (n *Narrator) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		n.line(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// line takes a line that is about the request or about an instance's beliefs.
func (n *Narrator) line(line []byte) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return
	}
	about := bytes.Contains(line, []byte(n.request))
	if !about && bytes.Contains(line, []byte(`"request: `)) {
		return
	}
	var fields map[string]any
	if json.Unmarshal(line[at:], &fields) != nil {
		return
	}
	e := Event{Belief: !about}
	e.Message, _ = fields["msg"].(string)
	e.Instance, _ = fields["instance"].(string)
	if ts, ok := fields["ts"].(float64); ok {
		e.At = time.UnixMicro(int64(ts * 1e6)).UTC()
	}
	e.Fields = words(fields)
	if id, _ := fields["request"].(string); id == n.request {
		n.events = append(n.events, e)
		return
	}
	e.Belief = true
	n.beliefs[e.Instance] = append(n.beliefs[e.Instance], e)
}

// words lists fields in the order of their names.
func words(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		if value := fmt.Sprint(fields[name]); value != "" && value != "false" {
			parts = append(parts, name+"="+value)
		}
	}
	return strings.Join(parts, " ")
}

// Story returns what happened to the request, oldest first, each instance's part
// after the last line of each kind about what it believed then.
func (n *Narrator) Story() []Event {
	sort.SliceStable(n.events, func(i, j int) bool { return n.events[i].At.Before(n.events[j].At) })
	var story []Event
	told := map[string]bool{}
	for _, e := range n.events {
		if !told[e.Instance] {
			told[e.Instance] = true
			story = append(story, n.believed(e.Instance, e.At)...)
		}
		story = append(story, e)
	}
	return story
}

// believed returns the last line of each message before a time.
func (n *Narrator) believed(instance string, at time.Time) []Event {
	last := map[string]Event{}
	for _, e := range n.beliefs[instance] {
		if !e.At.After(at) {
			last[e.Message] = e
		}
	}
	list := make([]Event, 0, len(last))
	for _, e := range last {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list
}
