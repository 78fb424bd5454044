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

// Parse reads a document strictly: unknown fields, duplicate keys, wrong
// types, missing fields, nulls and trailing data are refused, and so is
// everything that breaks a rule of docs/MANIFEST.md. The error is of type
// Errors and holds all problems of the document.
func Parse(data []byte) (*Document, error) {
	r := &report{}
	doc := &Document{}
	root := &location{}
	if len(data) > MaxBytes {
		r.add(root, strconv.Itoa(len(data)), fmt.Sprintf("at most %d", MaxBytes), "too many bytes")
		return nil, r.err()
	}
	if !utf8.Valid(data) {
		r.add(root, "", "UTF-8", "invalid encoding")
		return nil, r.err()
	}
	if decodeCanonical(data, doc) {
		return checked(doc, r)
	}
	*doc = Document{}
	d := newDecoder(data, r)
	if err := d.document(root, reflect.ValueOf(doc).Elem()); err != nil {
		r.add(root, "", "", "not readable as JSON near byte %d: %v", d.json.InputOffset(), err)
		return nil, r.err()
	}
	return checked(doc, r)
}

func checked(doc *Document, r *report) (*Document, error) {
	check(doc, r)
	if err := r.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// decodeCanonical reads a document that is in canonical form, several times
// as fast as the decoder below and as strictly: whatever the standard decoder
// lets pass (unknown fields, duplicate keys, missing fields, nulls, another
// case, invalid encoding) does not come back out of Encode. A negative zero
// does, so text that may hold one isn't taken; no valid number is negative.
// Where the result is false, doc may hold anything.
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

// nilIfEmpty gives empty lists the form that the decoder below leaves.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

var errDepth = fmt.Errorf("nested deeper than %d levels", MaxDepth)

// decoder fills a typed value from JSON tokens. It goes on after a problem
// with a value; it returns an error only where the text can't be read on.
type decoder struct {
	json   *json.Decoder
	report *report
	depth  int
}

func newDecoder(data []byte, r *report) *decoder {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	return &decoder{json: dec, report: r}
}

func (d *decoder) document(root *location, out reflect.Value) error {
	if err := d.value(root, out); err != nil {
		return unexpectedEOF(err)
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		d.report.add(root, "", "", "data after the end of the document, at byte %d", d.json.InputOffset())
	}
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// value reads one value into out; an invalid out means that the value is only
// checked for duplicate keys and depth.
func (d *decoder) value(at *location, out reflect.Value) error {
	token, err := d.json.Token()
	if err != nil {
		return err
	}
	delim, compound := token.(json.Delim)
	if !compound {
		d.scalar(at, token, out)
		return nil
	}
	d.depth++
	defer func() { d.depth-- }()
	if d.depth > MaxDepth {
		return errDepth
	}
	if delim == '{' {
		return d.object(at, out)
	}
	return d.array(at, out)
}

func (d *decoder) object(at *location, out reflect.Value) error {
	out = d.allocate(out)
	if out.IsValid() && out.Kind() != reflect.Struct {
		d.wrongType(at, "an object", out.Type())
		out = reflect.Value{}
	}
	seen := map[string]bool{}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return err
		}
		key, ok := token.(string)
		if !ok {
			return fmt.Errorf("object key %v isn't a string", token)
		}
		if err := d.member(at.child(key), key, seen, out); err != nil {
			return err
		}
	}
	if _, err := d.json.Token(); err != nil {
		return err
	}
	d.missing(at, seen, out)
	return nil
}

func (d *decoder) member(at *location, key string, seen map[string]bool, out reflect.Value) error {
	if seen[key] {
		d.report.add(at, "", "", "duplicate key")
		return d.value(at, reflect.Value{})
	}
	seen[key] = true
	if !out.IsValid() {
		return d.value(at, reflect.Value{})
	}
	f, ok := fieldsOf(out.Type()).byName[key]
	if !ok {
		d.report.add(at, "", fieldsOf(out.Type()).list, "unknown field")
		return d.value(at, reflect.Value{})
	}
	return d.value(at, out.Field(f.index))
}

func (d *decoder) missing(at *location, seen map[string]bool, out reflect.Value) {
	if !out.IsValid() {
		return
	}
	for _, f := range fieldsOf(out.Type()).ordered {
		if f.required && !seen[f.name] {
			d.report.addUnread(at.child(f.name), "", describe(out.Field(f.index).Type()), "missing field")
		}
	}
}

func (d *decoder) array(at *location, out reflect.Value) error {
	if out.IsValid() && out.Kind() != reflect.Slice {
		d.wrongType(at, "an array", out.Type())
		out = reflect.Value{}
	}
	for i := 0; d.json.More(); i++ {
		element := reflect.Value{}
		if out.IsValid() {
			out.Set(reflect.Append(out, reflect.Zero(out.Type().Elem())))
			element = out.Index(i)
		}
		if err := d.value(at.at(i), element); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

// allocate follows a pointer to a new value of its type.
func (d *decoder) allocate(out reflect.Value) reflect.Value {
	if !out.IsValid() || out.Kind() != reflect.Pointer {
		return out
	}
	out.Set(reflect.New(out.Type().Elem()))
	return out.Elem()
}

func (d *decoder) scalar(at *location, token json.Token, out reflect.Value) {
	if !out.IsValid() {
		return
	}
	switch v := token.(type) {
	case string:
		d.text(at, v, out)
	case json.Number:
		d.number(at, v.String(), out)
	case bool:
		d.boolean(at, v, out)
	default:
		d.wrongType(at, "null", out.Type())
	}
}

func (d *decoder) text(at *location, s string, out reflect.Value) {
	if out.Kind() != reflect.String {
		d.wrongType(at, "a string", out.Type())
		return
	}
	out.SetString(s)
}

func (d *decoder) boolean(at *location, v bool, out reflect.Value) {
	if out.Kind() != reflect.Bool {
		d.wrongType(at, "a boolean", out.Type())
		return
	}
	out.SetBool(v)
}

func (d *decoder) number(at *location, s string, out reflect.Value) {
	switch out.Kind() {
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			d.report.addUnread(at, shorten(s), "a whole number of 64 bits", "wrong number")
			return
		}
		out.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsInf(f, 0) {
			d.report.addUnread(at, shorten(s), "a number of 64 bits", "wrong number")
			return
		}
		if f == 0 {
			f = 0 // -0 and 0 have one canonical form
		}
		out.SetFloat(f)
	default:
		d.wrongType(at, "a number", out.Type())
	}
}

func (d *decoder) wrongType(at *location, got string, want reflect.Type) {
	d.report.addUnread(at, "", describe(want), "wrong type: %s", got)
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describe(t.Elem())
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

// field is one field of a struct type, as its json tag names it.
type field struct {
	name     string
	index    int
	required bool
}

type fieldSet struct {
	ordered []field
	byName  map[string]field
	// list names all fields, for reports.
	list string
}

var fieldSets sync.Map // of reflect.Type to *fieldSet

// fieldsOf returns the fields of t. A field is required unless its tag says
// omitempty.
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
	set.list = strings.Join(names, ", ")
	fieldSets.Store(t, set)
	return set
}
