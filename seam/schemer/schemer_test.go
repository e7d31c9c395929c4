package schemer_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/schemer"
)

const published = "../../docs/configuration.schema.json"

// sample is the example on the operators' page.
const sample = "../../docs/configuration.example.json"

func TestPublishedSchemaIsThatOfTheCode(t *testing.T) {
	want, err := schemer.Configuration()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(published)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("docs/configuration.schema.json is not what `seamctl config schema` prints")
	}
}

func TestSchemaAndParserAgree(t *testing.T) {
	compiler := jsonschema.NewCompiler()
	file, err := os.Open(published)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	doc, err := jsonschema.UnmarshalJSON(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := compiler.AddResource("schema.json", doc); err != nil {
		t.Fatal(err)
	}
	schema, err := compiler.Compile("schema.json")
	if err != nil {
		t.Fatal(err)
	}
	valid, err := os.ReadFile(sample)
	if err != nil {
		t.Fatal(err)
	}
	text := string(valid)
	for name, document := range map[string]string{
		"valid":         text,
		"unknown field": strings.Replace(text, `"fleetSize"`, `"fleetsize_"`, 1),
		"no unit":       strings.Replace(text, `"timeout": "2s"`, `"timeout": 2`, 1),
		"bad unit":      strings.Replace(text, `"timeout": "2s"`, `"timeout": "2 seconds"`, 1),
		"text as a sum": strings.Replace(text, `"ratePerSecond": 120`, `"ratePerSecond": "120"`, 1),
		"no reason":     strings.Replace(text, `"reason"`, `"because"`, 1),
	} {
		instance, err := jsonschema.UnmarshalJSON(strings.NewReader(document))
		if err != nil {
			t.Fatal(err)
		}
		if name != "valid" && document == text {
			t.Fatalf("%s: nothing was replaced", name)
		}
		bySchema := schema.Validate(instance) == nil
		_, err = configurer.Parse([]byte(document), 1)
		if byParser := err == nil; bySchema != byParser || byParser != (name == "valid") {
			t.Errorf("%s: schema accepts %t, parser accepts %t: %v", name, bySchema, byParser, err)
		}
	}
}
