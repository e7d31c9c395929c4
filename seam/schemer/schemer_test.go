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

const schemaPath = "../../docs/configuration.schema.json"

// examplePath is the path of the example configuration in the documentation for
// operators.
const examplePath = "../../docs/configuration.example.json"

// TestPublishedSchemaIsThatOfTheCode guards against a schema in docs that wasn't
// generated again after a change of the configuration's types.
func TestPublishedSchemaIsThatOfTheCode(t *testing.T) {
	want, err := schemer.Configuration()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("docs/configuration.schema.json differs from the output of `seamctl config schema`")
	}
}

// TestSchemaAndParserAgree checks that the schema and the parser accept and reject the
// same documents: a valid one, and documents with one mistake each.
func TestSchemaAndParserAgree(t *testing.T) {
	compiler := jsonschema.NewCompiler()
	file, err := os.Open(schemaPath)
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
	example, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	text := string(example)
	for name, document := range map[string]string{
		"valid":               text,
		"unknown field":       strings.Replace(text, `"fleetSize"`, `"fleetsize_"`, 1),
		"no unit":             strings.Replace(text, `"timeout": "2s"`, `"timeout": 2`, 1),
		"bad unit":            strings.Replace(text, `"timeout": "2s"`, `"timeout": "2 seconds"`, 1),
		"string for a number": strings.Replace(text, `"ratePerSecond": 120`, `"ratePerSecond": "120"`, 1),
		"no reason":           strings.Replace(text, `"reason"`, `"because"`, 1),
	} {
		instance, err := jsonschema.UnmarshalJSON(strings.NewReader(document))
		if err != nil {
			t.Fatal(err)
		}
		if name != "valid" && document == text {
			t.Fatalf("%s: nothing was replaced", name)
		}
		schemaAccepts := schema.Validate(instance) == nil
		_, err = configurer.Parse([]byte(document), 1)
		if parserAccepts := err == nil; schemaAccepts != parserAccepts || parserAccepts != (name == "valid") {
			t.Errorf("%s: schema accepts %t, parser accepts %t: %v", name, schemaAccepts, parserAccepts, err)
		}
	}
}
