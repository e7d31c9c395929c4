package tracer

import (
	"bytes"
	"encoding/json"

	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=UpstreamFault -trimprefix=Upstream -output=tracer_string.go

// Body is the content of an event. Only the types of this package implement it.
type Body interface {
	isBody()
	// kind returns the value of the "type" field in the event's line.
	kind() string
}

// Request is a single request from a caller.
type Request struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Key is the label of the caller's API key; the default is the team's first key.
	Key      string              `json:"key,omitempty"`
	Deadline configurer.Duration `json:"deadline,omitempty"`
	// Work and AnswerBytes replace the mean run time and the response size that the
	// trace states for the service. Bytes is the size of the request's body.
	Work        configurer.Duration `json:"work,omitempty"`
	Bytes       int64               `json:"bytes,omitempty"`
	AnswerBytes int64               `json:"answerBytes,omitempty"`
	// Instance is the instance that receives the request. By default, the caller
	// chooses one with a lookup.
	Instance string `json:"instance,omitempty"`
}

// Load stands for many equal requests at a mean rate. Their times are random but
// follow from the trace's seed.
type Load struct {
	Request
	For           configurer.Duration `json:"for"`
	RatePerSecond float64             `json:"ratePerSecond"`
}

// KeyWithdrawn withdraws an API key.
type KeyWithdrawn struct {
	Key string `json:"key"`
}

// ConfigApplied replaces the configuration.
type ConfigApplied struct {
	Config configurer.Document `json:"config"`
}

// UpstreamDrain starts or ends the drain of an endpoint.
type UpstreamDrain struct {
	Endpoint string `json:"endpoint"`
	On       bool   `json:"on"`
}

// UpstreamFault is a way in which an endpoint misbehaves.
type UpstreamFault int

const (
	// UpstreamHealthy is normal behavior.
	UpstreamHealthy UpstreamFault = iota
	// UpstreamSilent accepts requests and never responds.
	UpstreamSilent
	// UpstreamFailing runs a request and responds at once with an error.
	UpstreamFailing
	// UpstreamIdleReports always reports a load of 0.
	UpstreamIdleReports
	// UpstreamRestarted drops the requests in progress and starts cold. After that,
	// the endpoint behaves normally.
	UpstreamRestarted
	// UpstreamGone drops the requests in progress and refuses connections.
	UpstreamGone
)

// UpstreamChanged sets how an endpoint behaves from now on.
type UpstreamChanged struct {
	Endpoint string        `json:"endpoint"`
	Fault    UpstreamFault `json:"fault"`
}

// InstanceCrashed kills an instance without a shutdown.
type InstanceCrashed struct {
	Instance string `json:"instance"`
}

// InstanceStarted restarts an instance that has crashed or stopped.
type InstanceStarted struct {
	Instance string `json:"instance"`
}

// InstanceStopped starts an instance's graceful shutdown.
type InstanceStopped struct {
	Instance string `json:"instance"`
}

// InstancePaused suspends an instance for a time.
type InstancePaused struct {
	Instance string              `json:"instance"`
	For      configurer.Duration `json:"for"`
}

// StoreChanged sets whether the platform's store is down, and for how many of the
// next writes the response is lost although the write takes effect.
type StoreChanged struct {
	Down        bool `json:"down"`
	LoseAnswers int  `json:"loseAnswers,omitempty"`
}

// LinkChanged cuts or restores the network between two regions in both directions.
type LinkChanged struct {
	From string `json:"from"`
	To   string `json:"to"`
	Cut  bool   `json:"cut"`
}

// RegionChanged takes a whole region down or brings it back.
type RegionChanged struct {
	Region string `json:"region"`
	Lost   bool   `json:"lost"`
}

func (Request) isBody()         {}
func (Load) isBody()            {}
func (KeyWithdrawn) isBody()    {}
func (ConfigApplied) isBody()   {}
func (UpstreamDrain) isBody()   {}
func (UpstreamChanged) isBody() {}
func (InstanceCrashed) isBody() {}
func (InstanceStarted) isBody() {}
func (InstanceStopped) isBody() {}
func (InstancePaused) isBody()  {}
func (StoreChanged) isBody()    {}
func (LinkChanged) isBody()     {}
func (RegionChanged) isBody()   {}

func (Request) kind() string         { return "request" }
func (Load) kind() string            { return "load" }
func (KeyWithdrawn) kind() string    { return "keyWithdrawn" }
func (ConfigApplied) kind() string   { return "configApplied" }
func (UpstreamDrain) kind() string   { return "upstreamDrain" }
func (UpstreamChanged) kind() string { return "upstreamChanged" }
func (InstanceCrashed) kind() string { return "instanceCrashed" }
func (InstanceStarted) kind() string { return "instanceStarted" }
func (InstanceStopped) kind() string { return "instanceStopped" }
func (InstancePaused) kind() string  { return "instancePaused" }
func (StoreChanged) kind() string    { return "storeChanged" }
func (LinkChanged) kind() string     { return "linkChanged" }
func (RegionChanged) kind() string   { return "regionChanged" }

// bodyDecoders holds the decoder for each event type.
var bodyDecoders = map[string]func([]byte) (Body, error){
	Request{}.kind():         decodeBody[Request],
	Load{}.kind():            decodeBody[Load],
	KeyWithdrawn{}.kind():    decodeBody[KeyWithdrawn],
	ConfigApplied{}.kind():   decodeBody[ConfigApplied],
	UpstreamDrain{}.kind():   decodeBody[UpstreamDrain],
	UpstreamChanged{}.kind(): decodeBody[UpstreamChanged],
	InstanceCrashed{}.kind(): decodeBody[InstanceCrashed],
	InstanceStarted{}.kind(): decodeBody[InstanceStarted],
	InstanceStopped{}.kind(): decodeBody[InstanceStopped],
	InstancePaused{}.kind():  decodeBody[InstancePaused],
	StoreChanged{}.kind():    decodeBody[StoreChanged],
	LinkChanged{}.kind():     decodeBody[LinkChanged],
	RegionChanged{}.kind():   decodeBody[RegionChanged],
}

// decodeBody decodes a body of one type. It rejects unknown fields.
func decodeBody[T Body](fields []byte) (Body, error) {
	var body T
	dec := json.NewDecoder(bytes.NewReader(fields))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	return body, err
}
