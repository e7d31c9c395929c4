package tracer

import (
	"bytes"
	"encoding/json"

	"primroseseam.org/seam/configurer"
)

//go:generate stringer -type=UpstreamFault -trimprefix=Upstream -output=tracer_string.go

// Body is the content of an event. Only types of this package implement it, one for each
// type of event.
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
	// Key is the label of the caller's API key. The default is the label of the key that
	// the replayer creates for the team.
	Key      string              `json:"key,omitempty"`
	Deadline configurer.Duration `json:"deadline,omitempty"`
	// Work and AnswerBytes, if set, replace the mean time that an endpoint takes and the
	// response size that the trace's header states for the service. Bytes is the size of
	// the request's body.
	Work        configurer.Duration `json:"work,omitempty"`
	Bytes       int64               `json:"bytes,omitempty"`
	AnswerBytes int64               `json:"answerBytes,omitempty"`
	// Instance is the ID of the instance that receives the request. If it is empty, the
	// caller chooses an instance with a lookup.
	Instance string `json:"instance,omitempty"`
}

// Load stands for many equal requests, which are sent for a time at a mean rate. The
// times of the requests are random, with the trace's seed.
type Load struct {
	Request
	For           configurer.Duration `json:"for"`
	RatePerSecond float64             `json:"ratePerSecond"`
}

// KeyWithdrawn withdraws the API key with a label.
type KeyWithdrawn struct {
	Key string `json:"key"`
}

// ConfigApplied replaces the configuration in the store.
type ConfigApplied struct {
	Config configurer.Document `json:"config"`
}

// UpstreamDrain starts or ends the drain of an endpoint.
type UpstreamDrain struct {
	Endpoint string `json:"endpoint"`
	On       bool   `json:"on"`
}

// UpstreamFault is a way in which an endpoint misbehaves, or UpstreamHealthy.
type UpstreamFault int

const (
	// UpstreamHealthy means that the endpoint behaves normally.
	UpstreamHealthy UpstreamFault = iota
	// UpstreamSilent means that the endpoint accepts requests and never responds.
	UpstreamSilent
	// UpstreamFailing means that the endpoint runs each request and responds at once
	// with an error.
	UpstreamFailing
	// UpstreamIdleReports means that the endpoint works, but always reports a load of 0.
	UpstreamIdleReports
	// UpstreamRestarted means that the endpoint restarts. It drops the requests in
	// progress, is slower for a time, and otherwise behaves normally.
	UpstreamRestarted
	// UpstreamGone means that the endpoint drops the requests in progress and then
	// refuses connections.
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

// InstanceStarted starts an instance that has crashed or stopped. An instance that still
// runs is killed and started again.
type InstanceStarted struct {
	Instance string `json:"instance"`
}

// InstanceStopped starts an instance's graceful shutdown.
type InstanceStopped struct {
	Instance string `json:"instance"`
}

// InstancePaused suspends an instance for a time, in which it handles no events.
type InstancePaused struct {
	Instance string              `json:"instance"`
	For      configurer.Duration `json:"for"`
}

// StoreChanged sets whether the platform's store is down. LoseAnswers is a number of
// writes: the responses to that many next successful writes are lost, although the
// writes take effect.
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

// bodyDecoders holds the function that decodes the body of an event, by the value of the
// "type" field.
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

// decodeBody decodes the JSON of a body into the type T. It rejects unknown fields.
func decodeBody[T Body](fields []byte) (Body, error) {
	var body T
	dec := json.NewDecoder(bytes.NewReader(fields))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	return body, err
}
