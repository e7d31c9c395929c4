package configurer

import "time"

// At returns the configuration with the exceptions that are in force at now.
// Expired ones are left out; the document and the version stay the same.
func (c *Config) At(now time.Time) *Config {
	next := &Config{version: c.version, document: c.document, change: c.change}
	next.build(func(e Exception) bool { return e.Expires == nil || now.Before(*e.Expires) })
	return next
}

// NextExpiry returns the first time after now at which an exception expires.
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
