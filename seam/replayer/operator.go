package replayer

import (
	"encoding/json"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/tracer"
)

// configName is the name of the object in the store that holds the configuration.
const configName = "current"

// writeConfig writes a configuration to the store.
func (r *replay) writeConfig(doc configurer.Document) {
	value, err := json.Marshal(doc)
	if err != nil {
		return
	}
	r.writeObject(storer.KindConfig, configName, value)
	if r.firstConfig.Version == 0 {
		r.firstConfig, _ = r.store.Object(storer.KindConfig, configName)
	}
	r.recorder.configAccepted(doc)
}

// writeKey writes the record of the key with a label to the store. The record of a
// withdrawn key keeps the team that it had.
func (r *replay) writeKey(label, team string, withdrawn bool) {
	record := authenticator.Record{Digest: authenticator.DigestOf(label), Team: team, Withdrawn: withdrawn}
	name := record.Digest.String()
	if o, ok := r.store.Object(storer.KindKey, name); ok && withdrawn {
		var old authenticator.Record
		if json.Unmarshal(o.Value, &old) == nil {
			record.Team = old.Team
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	r.writeObject(storer.KindKey, name, value)
	if withdrawn {
		r.recorder.withdrawn(label)
	}
}

// drain starts or ends the drain of an endpoint, both in the endpoint's own reports
// and by an exception in the configuration.
func (r *replay) drain(b tracer.UpstreamDrain) {
	r.endpoints[b.Endpoint].draining = b.On
	r.recorder.drainChanged(b)
	o, _ := r.store.Object(storer.KindConfig, configName)
	var doc configurer.Document
	if json.Unmarshal(o.Value, &doc) != nil {
		return
	}
	on := b.On
	doc.Exceptions = append(doc.Exceptions, configurer.Exception{
		Reason: "planned drain",
		Scope:  configurer.Scope{Endpoint: b.Endpoint},
		Set:    configurer.ExceptionSet{Draining: &on},
	})
	r.writeConfig(doc)
}
