package configurer

import "time"

// At returns the configuration with only those exceptions applied that haven't expired
// at now. The document and the version stay the same.
func (c *Config) At(now time.Time) *Config {
	next := &Config{version: c.version, document: c.document, change: c.change}
	next.buildIndexes(func(e Exception) bool { return e.Expires == nil || now.Before(*e.Expires) })
	return next
}

// NextExpiry returns the first time after now at which an exception expires, and false
// if there is none.
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
