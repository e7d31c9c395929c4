package configurer

import (
	"encoding/json"
	"fmt"
	"time"
)

// Subject names what to explain; empty fields are left out.
type Subject struct {
	Team     string
	Endpoint string
	Path     string
}

// Explain says in lines of text what holds for a subject at a time: the
// default, every exception with its reason, and the result.
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
	return fmt.Sprintf("path %s: route %s", path, encodeLine(r))
}

func (c *Config) explainTeam(now time.Time, name string) []string {
	for _, t := range c.document.Defaults.Teams {
		if t.Name == name {
			lines := []string{"default: " + encodeLine(t)}
			lines = append(lines, c.explainExceptions(now, Scope{Team: name})...)
			return append(lines, "result: "+encodeLine(c.teams[name]))
		}
	}
	return []string{fmt.Sprintf("team %s: not in the configuration", name)}
}

func (c *Config) explainEndpoint(now time.Time, address string) []string {
	for _, s := range c.document.Defaults.Services {
		for i, p := range s.Endpoints {
			if p.Address == address {
				lines := []string{"default: service " + s.Name + " " + encodeLine(p)}
				lines = append(lines, c.explainExceptions(now, Scope{Endpoint: address})...)
				return append(lines, "result: "+encodeLine(c.services[s.Name].Endpoints[i]))
			}
		}
	}
	return []string{fmt.Sprintf("endpoint %s: not in the configuration", address)}
}

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
		lines = append(lines, fmt.Sprintf("exceptions[%d] (%s): %s because %q", i, state, encodeLine(e.Set), e.Reason))
	}
	return lines
}

func encodeLine(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
