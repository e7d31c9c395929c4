package edger

import (
	"reflect"

	"primroseseam.org/seam/coder"
)

// settingsField is a field of the settings file.
type settingsField struct {
	// path is the field's path in the file.
	path string
	// live means that a change takes effect while the instance runs, also while it stops. A
	// change of any other field takes effect at the next start.
	live bool
	// value returns a pointer to the field.
	value func(*Settings) any
}

// settingsFields lists all fields of the settings file.
var settingsFields = []settingsField{
	{"instance.id", false, func(s *Settings) any { return &s.Instance.ID }},
	{"instance.zone", false, func(s *Settings) any { return &s.Instance.Zone }},
	{"zones", false, func(s *Settings) any { return &s.Zones }},
	{"listen.callers", false, func(s *Settings) any { return &s.Listen.Callers }},
	{"listen.ready", false, func(s *Settings) any { return &s.Listen.Ready }},
	{"listen.lookups", false, func(s *Settings) any { return &s.Listen.Lookups }},
	{"listen.peers", false, func(s *Settings) any { return &s.Listen.Peers }},
	{"listen.metrics", false, func(s *Settings) any { return &s.Listen.Metrics }},
	{"store", false, func(s *Settings) any { return &s.Store }},
	{"seeds", true, func(s *Settings) any { return &s.Seeds }},
	{"bounds.retryRatio", true, func(s *Settings) any { return &s.Bounds.RetryRatio }},
	{"bounds.retryExtra", true, func(s *Settings) any { return &s.Bounds.RetryExtra }},
	{"bounds.regionShift", true, func(s *Settings) any { return &s.Bounds.RegionShift }},
	{"bounds.grace", true, func(s *Settings) any { return &s.Bounds.Grace }},
	{"bounds.lookupTtl", true, func(s *Settings) any { return &s.Bounds.LookupTTL }},
	{"log.linesPerSecond", true, func(s *Settings) any { return &s.Log.LinesPerSecond }},
	{"memory.limitMb", false, func(s *Settings) any { return &s.Memory.LimitMB }},
	{"memory.collectPercent", true, func(s *Settings) any { return &s.Memory.CollectPercent }},
	{"memory.clientsPercent", false, func(s *Settings) any { return &s.Memory.ClientsPercent }},
	{"descriptors", true, func(s *Settings) any { return &s.Descriptors }},
}

// settingsChange is a change of a field.
type settingsChange struct {
	path          string
	live          bool
	before, after any
}

// changes returns the fields in which two settings differ.
func changes(before, after *Settings) []settingsChange {
	var list []settingsChange
	for _, f := range settingsFields {
		old, next := reflect.ValueOf(f.value(before)).Elem().Interface(), reflect.ValueOf(f.value(after)).Elem().Interface()
		if !reflect.DeepEqual(old, next) {
			list = append(list, settingsChange{path: f.path, live: f.live, before: old, after: next})
		}
	}
	return list
}

// withLive returns the settings with the live fields of others. It returns an error if the result
// is invalid: the live fields may only be valid with a change that needs a restart.
func (s Settings) withLive(others *Settings) (Settings, error) {
	for _, f := range settingsFields {
		if f.live {
			reflect.ValueOf(f.value(&s)).Elem().Set(reflect.ValueOf(f.value(others)).Elem())
		}
	}
	if err := s.validate(); err != nil {
		return Settings{}, coder.Errorf(coder.SettingsInvalid, "settings", "can't be applied without a restart: %v", err)
	}
	return s, nil
}
