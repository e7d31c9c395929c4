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

// writeConfig writes a configuration to the store, and keeps the first one for
// BreakVersions.
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

// writeKey writes the record of an API key to the store. The label stands in for the
// key: instances get the digest of the label. If withdrawn is set and the store has a
// record of the key, the new record keeps the team of the old record.
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
		r.recorder.keyWithdrawn(label)
	}
}

// drain starts or ends the drain of an endpoint. It sets the draining flag in the
// endpoint's load reports, and adds an exception for the endpoint to the configuration.
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
