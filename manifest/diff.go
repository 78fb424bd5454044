package manifest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path names the place; entries of lists are named by their names, for
	// example "models[chat].versions[v2].share".
	Path string
	// Old and New are the values as JSON; empty where there is none.
	Old, New string
}

// Diff returns what has to change in a to become b, in the order of the
// types' fields. Entries of named lists are matched by their names; a change
// of their order is a change of the list itself.
func Diff(a, b *Document) []Change {
	d := &differ{}
	d.value("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) value(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.fields(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.list(path, a, b)
	case a.Kind() == reflect.Pointer && !a.IsNil() && !b.IsNil():
		d.value(path, a.Elem(), b.Elem())
	default:
		d.leaf(path, a, b)
	}
}

func (d *differ) fields(path string, a, b reflect.Value) {
	for _, f := range fieldsOf(a.Type()).ordered {
		name := f.name
		if path != "" {
			name = path + "." + name
		}
		d.value(name, a.Field(f.index), b.Field(f.index))
	}
}

func (d *differ) leaf(path string, a, b reflect.Value) {
	before, after := jsonText(a), jsonText(b)
	if before != after {
		d.changes = append(d.changes, Change{Path: path, Old: before, New: after})
	}
}

// jsonText returns a value as JSON; nil pointers and empty lists give "".
func jsonText(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && v.IsNil() {
		return ""
	}
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return ""
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(data)
}

func (d *differ) list(path string, a, b reflect.Value) {
	before, after := keysOf(a), keysOf(b)
	for i, key := range before {
		at := fmt.Sprintf("%s[%s]", path, key)
		j := slices.Index(after, key)
		if j < 0 {
			d.changes = append(d.changes, Change{Path: at, Old: jsonText(a.Index(i))})
			continue
		}
		d.value(at, a.Index(i), b.Index(j))
	}
	for j, key := range after {
		if !slices.Contains(before, key) {
			at := fmt.Sprintf("%s[%s]", path, key)
			d.changes = append(d.changes, Change{Path: at, New: jsonText(b.Index(j))})
		}
	}
	d.order(path, before, after)
}

func (d *differ) order(path string, before, after []string) {
	kept := keep(before, after)
	now := keep(after, before)
	if !slices.Equal(kept, now) {
		change := Change{Path: path, Old: strings.Join(kept, ","), New: strings.Join(now, ",")}
		d.changes = append(d.changes, change)
	}
}

// keep returns the keys that stand in both lists, in the order of the first.
func keep(keys, other []string) []string {
	var kept []string
	for _, key := range keys {
		if slices.Contains(other, key) {
			kept = append(kept, key)
		}
	}
	return kept
}

// keysOf names the entries of a list of structs.
func keysOf(list reflect.Value) []string {
	keys := make([]string, list.Len())
	for i := range keys {
		keys[i] = keyOf(list.Index(i).Interface())
	}
	return keys
}

func keyOf(entry any) string {
	switch v := entry.(type) {
	case Model:
		return v.Name
	case Version:
		return v.Name
	case Cascade:
		return v.Name
	case Service:
		return v.Name
	case Route:
		return v.Method + " " + v.Path
	case Class:
		return v.Name
	case Account:
		return v.Name
	case Permission:
		return v.Model
	default:
		panic(fmt.Sprintf("manifest: no key for %T", entry))
	}
}
