package manifest

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// schemaID identifies the schema to tools; it isn't an address to fetch from.
const schemaID = "urn:quetzalweir:manifest:1"

// Schema returns the JSON Schema of the document, generated from the Go types. It
// covers fields, types and enumerations; references, sums and duplicates are
// checked by Parse only.
func Schema() []byte {
	reflector := &jsonschema.Reflector{Mapper: enumSchema, Anonymous: true}
	schema := reflector.Reflect(&Document{})
	schema.ID = schemaID
	schema.Title = "quetzalweir manifest"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		panic("manifest: schema: " + err.Error())
	}
	return append(data, '\n')
}

// enumSchema returns the schema of an enumerated type, or nil for any other type,
// for which the reflector then uses its default.
func enumSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[VersionState]():
		return stringEnum(Serving, RollingIn, RollingOut, Withdrawn)
	case reflect.TypeFor[OnWithdrawn]():
		return stringEnum(Rebind, Refuse)
	case reflect.TypeFor[OnRaterFailure]():
		return stringEnum(Accept, Escalate)
	default:
		return nil
	}
}

func stringEnum[T ~string](values ...T) *jsonschema.Schema {
	schema := &jsonschema.Schema{Type: "string"}
	for _, v := range values {
		schema.Enum = append(schema.Enum, string(v))
	}
	return schema
}
