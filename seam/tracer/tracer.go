// Package tracer reads and writes traces. A trace lists the requests, faults and
// configuration changes with which package replayer simulates a fleet, and the outcomes,
// which are bounds on the measurements of a replay. The operators' client seamctl uses
// the package.
//
// The format is JSON lines. The first line is the [Header] with the deployment,
// its configuration, a seed and the outcomes. Each further line is an [Event] with the
// time since the start of the trace. Traces contain no API keys, only their labels.
//
// An upstream is the set of endpoints of a service. An endpoint is one process that runs
// the requests of the service, each of them in one of its slots.
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
// Errors of Read carry [coder.TraceInvalid] and the number of the invalid line.
package tracer

import (
	"time"

	"primroseseam.org/seam/configurer"
)

const (
	// Format identifies the file format in every header.
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

// Network holds the one-way latencies between failure domains of a region, between
// regions, and between an instance and its callers. It also holds the store's region.
type Network struct {
	BetweenDomains configurer.Duration `json:"betweenDomains"`
	BetweenRegions configurer.Duration `json:"betweenRegions"`
	ToClients      configurer.Duration `json:"toClients"`
	// StoreRegion is the region in which the platform's store runs.
	StoreRegion string `json:"storeRegion"`
}

// Instance is an instance of the load balancer.
type Instance struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
}

// Upstream describes the behavior of a service's endpoints.
type Upstream struct {
	Service string `json:"service"`
	// Work is the mean time that an endpoint takes for a request.
	Work configurer.Duration `json:"work"`
	// Cold is how long an endpoint is slower after its start. In this time, it takes
	// ColdFactor times as long for a request.
	Cold       configurer.Duration `json:"cold,omitempty"`
	ColdFactor float64             `json:"coldFactor,omitempty"`
	// ReportLag is the delay with which instances get the endpoints' load reports. If it
	// is 0, the replayer uses its default.
	ReportLag configurer.Duration `json:"reportLag,omitempty"`
	// AnswerBytes is the size of the response to a request that doesn't state a size.
	AnswerBytes int64 `json:"answerBytes,omitempty"`
}

// Event is one event of a trace, such as a request or a crash, with its time.
type Event struct {
	at   time.Duration
	body Body
}

// NewEvent returns an event at a time since the start of the trace.
func NewEvent(at time.Duration, body Body) Event { return Event{at: at, body: body} }

// At returns the time since the start of the trace.
func (e Event) At() time.Duration { return e.at }

// Body returns the content of the event.
func (e Event) Body() Body { return e.body }

// Trace is a trace that [Read] has validated.
type Trace struct {
	header Header
	config *configurer.Config
	events []Event
}

// Header returns the decoded first line of the trace.
func (t *Trace) Header() Header { return t.header }

// Config returns the parsed form of the configuration in the header.
func (t *Trace) Config() *configurer.Config { return t.config }

// Events returns the events, ordered by time.
func (t *Trace) Events() []Event { return t.events }
