package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"
)

// Parse decodes a document strictly: it rejects unknown fields, duplicate keys,
// wrong types, missing fields, nulls, trailing data, and whatever violates a
// rule of docs/MANIFEST.md. The error is of type Errors and lists all problems
// of the document.
func Parse(data []byte) (*Document, error) {
	r := &report{}
	doc := &Document{}
	root := &location{}
	if len(data) > MaxDocumentBytes {
		r.add(root, strconv.Itoa(len(data)), fmt.Sprintf("at most %d", MaxDocumentBytes), "too many bytes")
		return nil, r.err()
	}
	if !utf8.Valid(data) {
		r.add(root, "", "UTF-8", "invalid encoding")
		return nil, r.err()
	}
	if decodeCanonical(data, doc) {
		return checkDocument(doc, r)
	}
	*doc = Document{}
	d := newDecoder(data, r)
	if err := d.decodeDocument(root, reflect.ValueOf(doc).Elem()); err != nil {
		r.add(root, "", "", "not readable as JSON near byte %d: %v", d.tokens.InputOffset(), err)
		return nil, r.err()
	}
	return checkDocument(doc, r)
}

func checkDocument(doc *Document, r *report) (*Document, error) {
	collectProblems(doc, r)
	if err := r.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// decodeCanonical decodes a document that is in canonical form, several times
// as fast as decoder and as strictly: it compares the text with the encoding of
// the result, so whatever the standard decoder tolerates (unknown fields,
// duplicate keys, missing fields, nulls, field names in another case, invalid
// encoding) makes a difference. A negative zero would make no difference, so text
// that may hold a negative zero is rejected first; no valid number is negative. If
// the result is false, the content of doc is undefined.
func decodeCanonical(data []byte, doc *Document) bool {
	if bytes.Contains(data, []byte(":-")) {
		return false
	}
	if json.Unmarshal(data, doc) != nil {
		return false
	}
	doc.Models = nilIfEmpty(doc.Models)
	doc.Classes = nilIfEmpty(doc.Classes)
	doc.Accounts = nilIfEmpty(doc.Accounts)
	return bytes.Equal(Encode(doc), data)
}

// nilIfEmpty returns nil for an empty list, as decoder does.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

var errTooDeep = fmt.Errorf("nested deeper than %d levels", MaxDepth)

// decoder fills a typed value from JSON tokens. It continues after a problem
// with a value and returns an error only if the rest of the text can't be
// parsed.
type decoder struct {
	tokens *json.Decoder
	report *report
	depth  int
}

func newDecoder(data []byte, r *report) *decoder {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &decoder{tokens: dec, report: r}
}

func (d *decoder) decodeDocument(root *location, out reflect.Value) error {
	if err := d.decodeValue(root, out); err != nil {
		return unexpectedEOF(err)
	}
	if _, err := d.tokens.Token(); !errors.Is(err, io.EOF) {
		d.report.add(root, "", "", "data after the end of the document, at byte %d", d.tokens.InputOffset())
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// decodeValue decodes one value into out. If out is the zero reflect.Value, the
// value is only checked for duplicate keys and depth.
func (d *decoder) decodeValue(loc *location, out reflect.Value) error {
	token, err := d.tokens.Token()
	if err != nil {
		return err
	}
	delim, compound := token.(json.Delim)
	if !compound {
		d.decodeScalar(loc, token, out)
		return nil
	}
	d.depth++
	defer func() { d.depth-- }()
	if d.depth > MaxDepth {
		return errTooDeep
	}
	if delim == '{' {
		return d.decodeObject(loc, out)
	}
	return d.decodeArray(loc, out)
}

func (d *decoder) decodeObject(loc *location, out reflect.Value) error {
	out = d.allocatePointer(out)
	if out.IsValid() && out.Kind() != reflect.Struct {
		d.reportWrongType(loc, "an object", out.Type())
		out = reflect.Value{}
	}
	seen := map[string]bool{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return err
		}
		key, ok := token.(string)
		if !ok {
			return fmt.Errorf("object key %v isn't a string", token)
		}
		if err := d.decodeMember(loc.child(key), key, seen, out); err != nil {
			return err
		}
	}
	if _, err := d.tokens.Token(); err != nil {
		return err
	}
	d.reportMissing(loc, seen, out)
	return nil
}

func (d *decoder) decodeMember(loc *location, key string, seen map[string]bool, out reflect.Value) error {
	if seen[key] {
		d.report.add(loc, "", "", "duplicate key")
		return d.decodeValue(loc, reflect.Value{})
	}
	seen[key] = true
	if !out.IsValid() {
		return d.decodeValue(loc, reflect.Value{})
	}
	f, ok := fieldsOf(out.Type()).byName[key]
	if !ok {
		d.report.add(loc, "", fieldsOf(out.Type()).names, "unknown field")
		return d.decodeValue(loc, reflect.Value{})
	}
	return d.decodeValue(loc, out.Field(f.index))
}

func (d *decoder) reportMissing(loc *location, seen map[string]bool, out reflect.Value) {
	if !out.IsValid() {
		return
	}
	for _, f := range fieldsOf(out.Type()).ordered {
		if f.required && !seen[f.name] {
			d.report.addUndecoded(loc.child(f.name), "", describeType(out.Field(f.index).Type()), "missing field")
		}
	}
}

func (d *decoder) decodeArray(loc *location, out reflect.Value) error {
	if out.IsValid() && out.Kind() != reflect.Slice {
		d.reportWrongType(loc, "an array", out.Type())
		out = reflect.Value{}
	}
	for i := 0; d.tokens.More(); i++ {
		element := reflect.Value{}
		if out.IsValid() {
			out.Set(reflect.Append(out, reflect.Zero(out.Type().Elem())))
			element = out.Index(i)
		}
		if err := d.decodeValue(loc.element(i), element); err != nil {
			return err
		}
	}
	_, err := d.tokens.Token()
	return err
}

// allocatePointer sets out, if it is a pointer, to a new value and returns that
// value; otherwise it returns out.
func (d *decoder) allocatePointer(out reflect.Value) reflect.Value {
	if !out.IsValid() || out.Kind() != reflect.Pointer {
		return out
	}
	out.Set(reflect.New(out.Type().Elem()))
	return out.Elem()
}

func (d *decoder) decodeScalar(loc *location, token json.Token, out reflect.Value) {
	if !out.IsValid() {
		return
	}
	switch v := token.(type) {
	case string:
		d.decodeString(loc, v, out)
	case json.Number:
		d.decodeNumber(loc, v.String(), out)
	case bool:
		d.decodeBool(loc, v, out)
	default:
		d.reportWrongType(loc, "null", out.Type())
	}
}

func (d *decoder) decodeString(loc *location, s string, out reflect.Value) {
	if out.Kind() != reflect.String {
		d.reportWrongType(loc, "a string", out.Type())
		return
	}
	out.SetString(s)
}

func (d *decoder) decodeBool(loc *location, v bool, out reflect.Value) {
	if out.Kind() != reflect.Bool {
		d.reportWrongType(loc, "a boolean", out.Type())
		return
	}
	out.SetBool(v)
}

func (d *decoder) decodeNumber(loc *location, s string, out reflect.Value) {
	switch out.Kind() {
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			d.report.addUndecoded(loc, truncate(s), "a whole number of 64 bits", "wrong number")
			return
		}
		out.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsInf(f, 0) {
			d.report.addUndecoded(loc, truncate(s), "a number of 64 bits", "wrong number")
			return
		}
		if f == 0 {
			f = 0 // -0 and 0 must have the same canonical form
		}
		out.SetFloat(f)
	default:
		d.reportWrongType(loc, "a number", out.Type())
	}
}

func (d *decoder) reportWrongType(loc *location, got string, want reflect.Type) {
	d.report.addUndecoded(loc, "", describeType(want), "wrong type: %s", got)
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// field is one field of a struct type, under the name in its json tag.
type field struct {
	name     string
	index    int
	required bool
}

type fieldSet struct {
	ordered []field
	byName  map[string]field
	// names lists all field names, separated by commas, for problem messages.
	names string
}

var fieldSets sync.Map // cache by type: reflect.Type to *fieldSet

// fieldsOf returns the fields of struct type t. A field is required unless its
// tag has the option omitempty.
func fieldsOf(t reflect.Type) *fieldSet {
	if set, ok := fieldSets.Load(t); ok {
		return set.(*fieldSet)
	}
	set := &fieldSet{byName: map[string]field{}}
	var names []string
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		f := field{name: name, index: i, required: options != "omitempty"}
		set.ordered = append(set.ordered, f)
		set.byName[name] = f
		names = append(names, name)
	}
	set.names = strings.Join(names, ", ")
	fieldSets.Store(t, set)
	return set
}
