// Package schemer generates the JSON Schema of the configuration, for editors and other
// tools. The operators' client seamctl prints it. The schema describes only the
// structure, types and formats of the configuration. The command seamctl config check
// also validates the values.
//
// # Usage
//
//	data, err := schemer.Configuration()
package schemer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"

	"primroseseam.org/seam/configurer"
)

// durationPattern matches Go durations such as "1.5s" and "1m30s".
const durationPattern = `^-?([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$|^0$`

// Configuration returns the JSON Schema of the configuration as indented JSON.
func Configuration() ([]byte, error) {
	reflector := &jsonschema.Reflector{Anonymous: true, Mapper: customSchema}
	schema := reflector.Reflect(configurer.Stored{})
	schema.Title = "primroseseam configuration"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode schema: %w", err)
	}
	return append(data, '\n'), nil
}

// customSchema returns the schema of a type that is encoded as a JSON string by its own
// method, such as a duration. It returns nil for all other types, whose schemas the
// reflector derives from their Go types.
func customSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[configurer.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	case reflect.TypeFor[time.Time]():
		return &jsonschema.Schema{Type: "string", Format: "date-time"}
	}
	return nil
}
