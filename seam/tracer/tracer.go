// Package tracer reads and writes traces: what happened to a fleet and what is
// promised about it.
//
// A trace is JSON lines. The first line is the [Header] with the deployment,
// its configuration, a seed and the stated outcomes. Each further line is an
// [Event] with the time since the start. Traces hold no keys, only labels.
//
// # Usage
//
//	trace, err := tracer.Read(file)
//	for _, e := range trace.Events() {
//		switch body := e.Body().(type) {
//		case tracer.Load:
//		}
//	}
//
// Errors carry [coder.TraceInvalid] and the number of the line at fault.
package tracer

import (
	"time"

	"primroseseam.org/seam/configurer"
)

const (
	// Format names the file format in every header.
	Format = "primroseseamTrace"
	// Version is the newest version of the format.
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format     string              `json:"format"`
	Version    int                 `json:"version"`
	Name       string              `json:"name"`
	Deployment string              `json:"deployment"`
	Seed       uint64              `json:"seed"`
	Duration   configurer.Duration `json:"duration"`
	Network    Network             `json:"network"`
	Instances  []Instance          `json:"instances"`
	Upstreams  []Upstream          `json:"upstreams"`
	Config     configurer.Document `json:"config"`
	Outcomes   []Outcome           `json:"outcomes"`
}

// Network holds one-way latencies.
type Network struct {
	BetweenDomains configurer.Duration `json:"betweenDomains"`
	BetweenRegions configurer.Duration `json:"betweenRegions"`
	ToClients      configurer.Duration `json:"toClients"`
	// StoreRegion is where the platform's store runs.
	StoreRegion string `json:"storeRegion"`
}

// Instance is an entry instance of the trace.
type Instance struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Upstream says how the endpoints of a service behave.
type Upstream struct {
	Service string `json:"service"`
	// Work is the mean time that a request takes.
	Work configurer.Duration `json:"work"`
	// Cold is how long a new endpoint is slow, and ColdFactor by how much.
	Cold       configurer.Duration `json:"cold,omitempty"`
	ColdFactor float64             `json:"coldFactor,omitempty"`
	// ReportLag is the age of the endpoints' load reports.
	ReportLag configurer.Duration `json:"reportLag,omitempty"`
	// AnswerBytes is the usual size of an answer.
	AnswerBytes int64 `json:"answerBytes,omitempty"`
}

// Event is something that happened at a time.
type Event struct {
	at   time.Duration
	body Body
}

// NewEvent returns an event at a time since the start of the trace.
func NewEvent(at time.Duration, body Body) Event { return Event{at: at, body: body} }

// At returns the time since the start of the trace.
func (e Event) At() time.Duration { return e.at }

// Body returns what happened.
func (e Event) Body() Body { return e.body }

// Trace is a checked trace.
type Trace struct {
	header Header
	config *configurer.Config
	events []Event
}

// Header returns the first line.
func (t *Trace) Header() Header { return t.header }

// Config returns the checked configuration of the header.
func (t *Trace) Config() *configurer.Config { return t.config }

// Events returns the events in the order of their times.
func (t *Trace) Events() []Event { return t.events }
