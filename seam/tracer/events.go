package tracer

import (
	"bytes"
	"encoding/json"

	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=UpstreamFault -trimprefix=Upstream -output=tracer_string.go

// Body is what happened. The set of bodies is closed.
type Body interface {
	isBody()
	// kind returns the value of the line's "type" field.
	kind() string
}

// Request is a single request of a caller.
type Request struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Key is the label of the caller's key; the default is the team's first.
	Key         string              `json:"key,omitempty"`
	Deadline    configurer.Duration `json:"deadline,omitempty"`
	Work        configurer.Duration `json:"work,omitempty"`
	Bytes       int64               `json:"bytes,omitempty"`
	AnswerBytes int64               `json:"answerBytes,omitempty"`
	// Instance is where the request arrives; the default follows a look-up.
	Instance string `json:"instance,omitempty"`
}

// Load stands for requests at a mean rate; the seed decides their times.
type Load struct {
	Request
	For           configurer.Duration `json:"for"`
	RatePerSecond float64             `json:"ratePerSecond"`
}

// KeyWithdrawn takes a key out of force.
type KeyWithdrawn struct {
	Key string `json:"key"`
}

// ConfigApplied brings a new configuration.
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
	// UpstreamHealthy answers properly.
	UpstreamHealthy UpstreamFault = iota
	// UpstreamSilent takes requests and never answers.
	UpstreamSilent
	// UpstreamFailing answers at once with an error after running.
	UpstreamFailing
	// UpstreamIdleReports always reports that it has nothing to do.
	UpstreamIdleReports
	// UpstreamRestarted loses its work and starts cold.
	UpstreamRestarted
	// UpstreamGone refuses connections.
	UpstreamGone
)

// UpstreamChanged sets how an endpoint behaves from now on.
type UpstreamChanged struct {
	Endpoint string        `json:"endpoint"`
	Fault    UpstreamFault `json:"fault"`
}

// InstanceCrashed ends an instance without warning.
type InstanceCrashed struct {
	Instance string `json:"instance"`
}

// InstanceStarted starts an instance that had crashed or stopped.
type InstanceStarted struct {
	Instance string `json:"instance"`
}

// InstanceStopped starts an instance's graceful shutdown.
type InstanceStopped struct {
	Instance string `json:"instance"`
}

// InstancePaused freezes an instance for a time.
type InstancePaused struct {
	Instance string              `json:"instance"`
	For      configurer.Duration `json:"for"`
}

// StoreChanged turns the platform's store off or on, or loses answers.
type StoreChanged struct {
	Down        bool `json:"down"`
	LoseAnswers int  `json:"loseAnswers,omitempty"`
}

// LinkChanged cuts or mends both directions between two regions.
type LinkChanged struct {
	From string `json:"from"`
	To   string `json:"to"`
	Cut  bool   `json:"cut"`
}

// RegionChanged takes a whole region away or brings it back.
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

// bodyDecoders holds a decoder for each kind of body.
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

// decodeBody decodes a body of one kind; unknown fields are an error.
func decodeBody[T Body](fields []byte) (Body, error) {
	var body T
	dec := json.NewDecoder(bytes.NewReader(fields))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	return body, err
}
