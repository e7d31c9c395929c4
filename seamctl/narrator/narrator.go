// Package narrator builds the timeline of one request from the logs of seamedge
// instances. The command "seamctl explain --log" uses it.
//
// The timeline holds the log entries about the request and, for each instance, the
// entries that show the instance's state when the request reached it. A log can hold
// the entries of several instances, in any order. Each entry is a line of JSON, which
// may have a prefix.
//
// # Usage
//
//	c := narrator.New("9c41d07be2a35f68")
//	err := c.Read(file)
//	timeline := c.Timeline()
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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Entry is a log entry. Its fields are written to JSON output under their Go names.
type Entry struct {
	At time.Time
	// Instance is the id of the instance that logged the entry.
	Instance string
	Message  string
	// Fields holds the other fields of the entry, such as "code=111 status=503".
	Fields string
	// Belief marks an entry that isn't about the request, but shows the state of the
	// instance at the time of the request, such as its configuration.
	Belief bool
}

// Collector collects the log entries that belong to the timeline of a request.
type Collector struct {
	requestID string
	// entries holds the entries about the request.
	entries []Entry
	// stateEntries holds the entries about the state of an instance, by the id of the
	// instance.
	stateEntries map[string][]Entry
}

// New returns a Collector for the request to which its caller gave the id requestID.
func New(requestID string) *Collector {
	return &Collector{requestID: requestID, stateEntries: map[string][]Entry{}}
}

// columnFields holds the names of the log fields that formatFields leaves out. The time,
// the message and the instance have a field of their own in Entry. The level and the
// request id aren't shown.
var columnFields = map[string]bool{"level": true, "ts": true, "msg": true, "instance": true, "request": true}

// Read reads a log and adds its entries to the Collector. It can be called for several
// logs. Lines that hold no log entry are skipped. A line of more than 1 MiB is an error.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		c.addLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// addLine adds the log entry in a line to the Collector:
//   - An entry whose field "request" is the id of the request is added to c.entries.
//   - An entry that doesn't contain the id anywhere, but has a string that begins with
//     "request: ", is about another request. It is skipped.
//   - Every other entry is added to c.stateEntries.
func (c *Collector) addLine(line []byte) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return
	}
	mentionsRequest := bytes.Contains(line, []byte(c.requestID))
	if !mentionsRequest && bytes.Contains(line, []byte(`"request: `)) {
		return
	}
	var fields map[string]any
	if json.Unmarshal(line[start:], &fields) != nil {
		return
	}
	e := Entry{Belief: !mentionsRequest}
	e.Message, _ = fields["msg"].(string)
	e.Instance, _ = fields["instance"].(string)
	if ts, ok := fields["ts"].(float64); ok {
		e.At = time.UnixMicro(int64(ts * 1e6)).UTC()
	}
	e.Fields = formatFields(fields)
	if id, _ := fields["request"].(string); id == c.requestID {
		c.entries = append(c.entries, e)
		return
	}
	e.Belief = true
	c.stateEntries[e.Instance] = append(c.stateEntries[e.Instance], e)
}

// formatFields returns the fields of a log entry as name=value pairs, sorted by name and
// separated by spaces. It leaves out the fields in columnFields, and fields whose value is
// empty or false.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !columnFields[name] {
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

// Timeline returns the entries about the request, oldest first. The first entry of each
// instance is preceded by the entries that show the state of the instance at the time of
// this first entry.
func (c *Collector) Timeline() []Entry {
	sort.SliceStable(c.entries, func(i, j int) bool { return c.entries[i].At.Before(c.entries[j].At) })
	var timeline []Entry
	instancesSeen := map[string]bool{}
	for _, e := range c.entries {
		if !instancesSeen[e.Instance] {
			instancesSeen[e.Instance] = true
			timeline = append(timeline, c.stateAt(e.Instance, e.At)...)
		}
		timeline = append(timeline, e)
	}
	return timeline
}

// stateAt returns the entries that show the state of an instance at a time, oldest first.
// There is one entry for each message text: of the entries with this text that were logged
// at or before the time, the one that was read last. It is also the latest one if the log
// of the instance was read in order of time.
func (c *Collector) stateAt(instance string, at time.Time) []Entry {
	lastByMessage := map[string]Entry{}
	for _, e := range c.stateEntries[instance] {
		if !e.At.After(at) {
			lastByMessage[e.Message] = e
		}
	}
	list := make([]Entry, 0, len(lastByMessage))
	for _, e := range lastByMessage {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list
}
