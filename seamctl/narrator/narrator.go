// Package narrator builds the timeline of one request from the logs of instances.
//
// The logs can be those of several instances, one after the other or interleaved.
// Each entry is a line of JSON, which may have a prefix.
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

// Entry is a log entry. Its fields are written to JSON output under their names.
type Entry struct {
	At       time.Time
	Instance string
	Message  string
	// Fields holds the other fields of the entry, such as "code=111 status=503".
	Fields string
	// Belief means that the entry isn't about the request: it shows the state of
	// the instance, such as its configuration, at the time of the request.
	Belief bool
}

// Collector collects the log entries that belong to the timeline of a request.
type Collector struct {
	requestID string
	entries   []Entry
	// stateEntries holds, by instance, the entries that aren't about a request.
	stateEntries map[string][]Entry
}

// New returns a Collector for a request, by the id that its caller gave it.
func New(requestID string) *Collector {
	return &Collector{requestID: requestID, stateEntries: map[string][]Entry{}}
}

// columnFields holds the fields that formatFields leaves out: they have a field of
// their own in Entry or, like the level, are not shown.
var columnFields = map[string]bool{"level": true, "ts": true, "msg": true, "instance": true, "request": true}

// Read reads a log. Lines that hold no log entry are skipped. A line that is longer
// than 1 MiB is an error.
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

// addLine adds the entry of a line to the entries of the request or, if it isn't about
// any request, to those about the state of its instance. Entries about other requests,
// whose messages begin with "request: ", are skipped, unless they contain the id of the
// request: then they count as state.
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

// formatFields returns the fields as name=value pairs in the order of their names,
// without those that are empty or false.
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

// Timeline returns the entries about the request, oldest first. Before the first entry
// of each instance come the entries that show the state of the instance at that time.
func (c *Collector) Timeline() []Entry {
	sort.SliceStable(c.entries, func(i, j int) bool { return c.entries[i].At.Before(c.entries[j].At) })
	var timeline []Entry
	seen := map[string]bool{}
	for _, e := range c.entries {
		if !seen[e.Instance] {
			seen[e.Instance] = true
			timeline = append(timeline, c.stateAt(e.Instance, e.At)...)
		}
		timeline = append(timeline, e)
	}
	return timeline
}

// stateAt returns the entries about the state of an instance at a time, oldest first:
// for each message, the entry up to then that was read last. This is the latest one if
// the log of the instance was read in order.
func (c *Collector) stateAt(instance string, at time.Time) []Entry {
	latest := map[string]Entry{}
	for _, e := range c.stateEntries[instance] {
		if !e.At.After(at) {
			latest[e.Message] = e
		}
	}
	list := make([]Entry, 0, len(latest))
	for _, e := range latest {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	return list
}
