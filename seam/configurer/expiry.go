package configurer

import "time"

// At returns a copy of the configuration to which only the exceptions are applied that
// haven't expired at now. The copy has the same document, version and change.
func (c *Config) At(now time.Time) *Config {
	next := &Config{version: c.version, document: c.document, change: c.change}
	next.buildIndexes(func(e Exception) bool { return e.Expires == nil || now.Before(*e.Expires) })
	return next
}

// NextExpiry returns the first time after now at which an exception expires, and false
// if no exception expires after now.
func (c *Config) NextExpiry(now time.Time) (time.Time, bool) {
	var next time.Time
	found := false
	for _, e := range c.document.Exceptions {
		if e.Expires == nil || !now.Before(*e.Expires) {
			continue
		}
		if !found || e.Expires.Before(next) {
			next, found = *e.Expires, true
		}
	}
	return next, found
}
