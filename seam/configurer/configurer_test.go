package configurer_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

func validDocument() configurer.Document {
	return configurer.Document{Defaults: configurer.Defaults{
		FleetSize: 2,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services: []configurer.Service{{
			Name: "lessons", Timeout: configurer.Duration(time.Second),
			Endpoints: []configurer.Endpoint{{Address: "10.0.0.1:9000", Region: "west", FailureDomain: "west-a", Slots: 3, MaxConnections: 9}},
		}},
		Routes: []configurer.Route{{PathPrefix: "/lessons/", Service: "lessons", OpenToAll: true}},
		Teams:  []configurer.Team{{Name: "crew", RatePerSecond: 10, Burst: 5, Weight: 1}},
	}}
}

func TestExceptionOverridesDefault(t *testing.T) {
	doc := validDocument()
	rate := 99.0
	doc.Exceptions = []configurer.Exception{{
		Reason: "exam week", Scope: configurer.Scope{Team: "crew"}, Set: configurer.ExceptionSet{RatePerSecond: &rate},
	}}
	c, err := configurer.New(doc, 1)
	if err != nil {
		t.Fatal(err)
	}
	if team, _ := c.Team("crew"); team.RatePerSecond != rate {
		t.Fatalf("got a rate of %v, want %v", team.RatePerSecond, rate)
	}
}

// Each mutation makes the field at its path invalid, and the error must carry that path.
func TestErrorsCarryThePathOfTheInvalidField(t *testing.T) {
	mutations := map[string]func(*configurer.Document){
		"exceptions[0].reason": func(d *configurer.Document) {
			d.Exceptions = []configurer.Exception{{Scope: configurer.Scope{Team: "crew"}}}
		},
		"defaults.teams[0].ratePerSecond": func(d *configurer.Document) { d.Defaults.Teams[0].RatePerSecond = -1 },
		"defaults.regions[1].name": func(d *configurer.Document) {
			d.Defaults.Regions = append(d.Defaults.Regions, configurer.Region{Name: "west", FailureDomains: []string{"b"}})
		},
		"defaults.routes[0].service": func(d *configurer.Document) { d.Defaults.Routes[0].Service = "none" },
	}
	for path, mutate := range mutations {
		doc := validDocument()
		mutate(&doc)
		_, err := configurer.New(doc, 1)
		if coder.CodeOf(err) != coder.ConfigInvalid {
			t.Fatalf("%s: got %v", path, err)
		}
		var coded *coder.Error
		if !errors.As(err, &coded) || coded.Path() != path {
			t.Errorf("%s: got %v", path, err)
		}
	}
}

func TestUnknownFieldIsRejected(t *testing.T) {
	data, err := json.Marshal(validDocument())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := configurer.Parse(data, 1); err != nil {
		t.Fatal(err)
	}
	withUnknownField := append([]byte(`{"surprise":1,`), data[1:]...)
	if _, err := configurer.Parse(withUnknownField, 1); coder.CodeOf(err) != coder.ConfigInvalid {
		t.Fatalf("got %v", err)
	}
}
