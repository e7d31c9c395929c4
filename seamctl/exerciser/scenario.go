package exerciser

import (
	"fmt"
	"slices"
	"strings"
)

//go:generate stringer -type=Dimension

// Dimension is a property in which exchanges differ.
type Dimension int

// Dimensions.
const (
	// BodySize and AnswerSize are in bytes.
	BodySize Dimension = iota
	BodyFraming
	AnswerSize
	AnswerFraming
	// AnswerAt is when the endpoint answers.
	AnswerAt
	// Pause is who pauses, when and how long, as "client-midBody-long", and End who ends its connection, when
	// and how, as "endpoint-midAnswer-resets". Either can be "nobody".
	Pause
	End
	// Target is whether the path has a route.
	Target
	// Connection is what the client's connection carried before.
	Connection
	// Follow is what the client sends behind the request.
	Follow
	// Runs is how often the request may run.
	Runs
	// Window is the receive window of the endpoint.
	Window
	dimensionCount
)

// Values of dimensions with words. Those of other dimensions are numbers.
const (
	byLength = "byLength"
	inChunks = "inChunks"
	byClose  = "byClose"

	beforeBody = "beforeBody"
	midBody    = "midBody"
	afterBody  = "afterBody"
	midAnswer  = "midAnswer"

	nobody      = "nobody"
	theClient   = "client"
	theEndpoint = "endpoint"

	short = "short"
	long  = "long"

	known   = "known"
	unknown = "unknown"

	closes     = "closes"
	resets     = "resets"
	halfCloses = "halfCloses"

	fresh  = "fresh"
	kept   = "kept"
	alone  = "alone"
	behind = "requestBehind"

	many  = "many"
	once  = "once"
	large = "large"
	small = "small"
)

// moments are the moments at which connections end.
var moments = []string{midBody, beforeBody, afterBody, midAnswer}

// join returns "nobody" and the values of what somebody does at some moments in some ways.
func join(who string, at []string, ways ...string) []string {
	list := []string{nobody}
	for _, moment := range at {
		for _, way := range ways {
			list = append(list, who+"-"+moment+"-"+way)
		}
	}
	return list
}

// values holds the values of each dimension, the simplest one first. Sizes lie on both sides of what an
// instance sends without waiting (16 KiB) and of what it buffers of a body (256 KiB).
var values = [dimensionCount][]string{
	BodySize:      {"0", "1000", "16384", "16385", "262144", "262145", "1000000", "3000000"},
	BodyFraming:   {byLength, inChunks},
	AnswerSize:    {"20", "0", "65537", "262145", "1000000"},
	AnswerFraming: {byLength, inChunks, byClose},
	AnswerAt:      {afterBody, midBody, beforeBody},
	Pause:         append(join(theClient, []string{midBody, midAnswer}, short, long), join(theEndpoint, []string{midBody, afterBody, midAnswer}, short, long)[1:]...),
	End:           append(join(theClient, moments, closes, resets, halfCloses), join(theEndpoint, moments, closes, resets, halfCloses)[1:]...),
	Target:        {known, unknown},
	Connection:    {fresh, kept},
	Follow:        {alone, behind},
	Runs:          {many, once},
	Window:        {large, small},
}

// Scenario is an exchange: the index of the value of each dimension. The zero value is the simplest one.
type Scenario [dimensionCount]uint8

// value returns the value of a dimension.
func (s Scenario) value(d Dimension) string { return values[d][s[d]] }

// bytes returns the value of a dimension that is a size.
func (s Scenario) bytes(d Dimension) int {
	n := 0
	_, _ = fmt.Sscan(s.value(d), &n)
	return n
}

// is reports whether a dimension has a value.
func (s Scenario) is(d Dimension, value string) bool { return s.value(d) == value }

// pauses reports whether somebody pauses at a moment.
func (s Scenario) pauses(who, at string) bool {
	return strings.HasPrefix(s.value(Pause), who+"-"+at+"-")
}

// ends reports whether somebody ends its connection at a moment.
func (s Scenario) ends(who, at string) bool { return strings.HasPrefix(s.value(End), who+"-"+at+"-") }

// ender returns who ends its connection.
func (s Scenario) ender() string {
	who, _, _ := strings.Cut(s.value(End), "-")
	return who
}

// endsBy reports whether a connection is ended in a way.
func (s Scenario) endsBy(way string) bool { return strings.HasSuffix(s.value(End), "-"+way) }

// pausesLong reports whether the pause of a scenario is long.
func (s Scenario) pausesLong() bool { return strings.HasSuffix(s.value(Pause), "-"+long) }

// String returns the values that aren't the simplest ones, in the form that [ParseScenario] reads.
func (s Scenario) String() string {
	var parts []string
	for d := range dimensionCount {
		if s[d] > 0 {
			parts = append(parts, fmt.Sprintf("%v=%s", d, s.value(d)))
		}
	}
	return strings.Join(parts, ",")
}

// ParseScenario parses values of dimensions in the form "BodySize=16385,Ender=client". Dimensions that aren't
// named have their simplest value.
func ParseScenario(text string) (Scenario, error) {
	var s Scenario
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		d, ok := dimensionOf(name)
		if !ok {
			return Scenario{}, fmt.Errorf("scenario: unknown dimension %q", name)
		}
		index := slices.Index(values[d], value)
		if index < 0 {
			return Scenario{}, fmt.Errorf("scenario: %v can't be %q, only %s", d, value, strings.Join(values[d], ", "))
		}
		s[d] = uint8(index)
	}
	return s, nil
}

// dimensionOf returns the dimension with a name.
func dimensionOf(name string) (Dimension, bool) {
	for d := range dimensionCount {
		if d.String() == name {
			return d, true
		}
	}
	return 0, false
}

// shrunk returns a scenario as simple as possible for which fails still returns true. It sets one dimension
// after the other to a simpler value, until no such step fails.
func (s Scenario) shrunk(fails func(Scenario) bool) Scenario {
	for changed := true; changed; {
		changed = false
		for d := range dimensionCount {
			for simpler := range s[d] {
				next := s
				next[d] = simpler
				if fails(next) {
					s, changed = next, true
					break
				}
			}
		}
	}
	return s
}
