package manifest

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// schemaID identifies the schema to tools; nothing is fetched from it.
const schemaID = "urn:quetzalweir:manifest:1"

// Schema returns the JSON Schema of the document, made from the types. It
// covers what a schema can say: fields, types and enumerations. References,
// sums and duplicates are checked by Parse only.
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

// enumSchema gives the schemas of enumerated types; nil means the default.
func enumSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[VersionState]():
		return enum(Serving, RollingIn, RollingOut, Withdrawn)
	case reflect.TypeFor[OnWithdrawn]():
		return enum(Rebind, Refuse)
	case reflect.TypeFor[OnRaterFailure]():
		return enum(Accept, Escalate)
	default:
		return nil
	}
}

func enum[T ~string](values ...T) *jsonschema.Schema {
	schema := &jsonschema.Schema{Type: "string"}
	for _, v := range values {
		schema.Enum = append(schema.Enum, string(v))
	}
	return schema
}
