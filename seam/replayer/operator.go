package replayer

import (
	"encoding/json"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/tracer"
)

// configName is the name of the configuration in the store.
const configName = "current"

func (r *replay) writeConfig(doc configurer.Document) {
	value, err := json.Marshal(doc)
	if err != nil {
		return
	}
	r.write(storer.KindConfig, configName, value)
	if r.firstConfig.Version == 0 {
		r.firstConfig, _ = r.store.Object(storer.KindConfig, configName)
	}
	r.recorder.accepted(doc)
}

// writeKey writes a key by its label; withdrawing keeps the key's team.
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
	r.write(storer.KindKey, name, value)
	if withdrawn {
		r.recorder.withdrawn(label)
	}
}

// drain drains an endpoint: by its own word and by an exception with a reason.
func (r *replay) drain(b tracer.UpstreamDrain) {
	r.endpoints[b.Endpoint].draining = b.On
	r.recorder.drains(b)
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
