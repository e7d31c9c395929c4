package configurer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Subject selects the team, endpoint and request path that [Config.Explain] describes.
// Empty fields are left out.
type Subject struct {
	Team     string
	Endpoint string
	Path     string
}

// Explain returns lines of text that describe which configuration applies to a subject
// at now. For a path, there is a line with its route. For a team or an endpoint, there are
// lines with its default, with each of its exceptions and their reasons, and with the
// resulting values.
func (c *Config) Explain(now time.Time, s Subject) []string {
	var lines []string
	current := c.At(now)
	if s.Path != "" {
		lines = append(lines, current.explainPath(s.Path))
	}
	if s.Team != "" {
		lines = append(lines, current.explainTeam(now, s.Team)...)
	}
	if s.Endpoint != "" {
		lines = append(lines, current.explainEndpoint(now, s.Endpoint)...)
	}
	return lines
}

func (c *Config) explainPath(path string) string {
	r, ok := c.Route(path)
	if !ok {
		return fmt.Sprintf("path %s: no route", path)
	}
	return fmt.Sprintf("path %s: route %s", path, encodeJSON(r))
}

func (c *Config) explainTeam(now time.Time, name string) []string {
	for _, t := range c.document.Defaults.Teams {
		if t.Name == name {
			lines := []string{"default: " + encodeJSON(t)}
			lines = append(lines, c.explainExceptions(now, Scope{Team: name})...)
			return append(lines, "result: "+encodeJSON(c.teams[name]))
		}
	}
	return []string{fmt.Sprintf("team %s: not in the configuration", name)}
}

func (c *Config) explainEndpoint(now time.Time, address string) []string {
	for _, s := range c.document.Defaults.Services {
		for i, e := range s.Endpoints {
			if e.Address == address {
				lines := []string{"default: service " + s.Name + " " + encodeJSON(e)}
				lines = append(lines, c.explainExceptions(now, Scope{Endpoint: address})...)
				return append(lines, "result: "+encodeJSON(c.services[s.Name].Endpoints[i]))
			}
		}
	}
	return []string{fmt.Sprintf("endpoint %s: not in the configuration", address)}
}

// explainExceptions returns a line for every exception of scope, which also states
// whether the exception has expired at now.
func (c *Config) explainExceptions(now time.Time, scope Scope) []string {
	var lines []string
	for i, e := range c.document.Exceptions {
		if e.Scope != scope {
			continue
		}
		state := "in force"
		if e.Expires != nil && !now.Before(*e.Expires) {
			state = "expired"
		}
		lines = append(lines, fmt.Sprintf("exceptions[%d] (%s): %s because %q", i, state, encodeJSON(e.Set), e.Reason))
	}
	return lines
}

// encodeJSON returns value as one line of JSON, or the text of the encoding error.
func encodeJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
