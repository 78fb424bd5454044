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
	// Path is the location of the difference. List entries are identified by
	// their names, for example "models[chat].versions[v2].share".
	Path string
	// Old and New are the values as JSON, empty where there is none; if the
	// order of a list changed, they are the keys of its entries.
	Old, New string
}

// Diff returns the changes that turn a into b, in the order of the struct
// fields. List entries are matched by their names; if their order differs, that
// is a change of the list.
func Diff(a, b *Document) []Change {
	d := &differ{}
	d.compareValues("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) compareValues(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.compareFields(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.list(path, a, b)
	case a.Kind() == reflect.Pointer && !a.IsNil() && !b.IsNil():
		d.compareValues(path, a.Elem(), b.Elem())
	default:
		d.compareEncoded(path, a, b)
	}
}

func (d *differ) compareFields(path string, a, b reflect.Value) {
	for _, f := range fieldsOf(a.Type()).ordered {
		name := f.name
		if path != "" {
			name = path + "." + name
		}
		d.compareValues(name, a.Field(f.index), b.Field(f.index))
	}
}

func (d *differ) compareEncoded(path string, a, b reflect.Value) {
	before, after := jsonText(a), jsonText(b)
	if before != after {
		d.changes = append(d.changes, Change{Path: path, Old: before, New: after})
	}
}

// jsonText returns a value as JSON, or "" for a nil pointer or an empty list.
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
	before, after := entryKeys(a), entryKeys(b)
	for i, key := range before {
		entryPath := fmt.Sprintf("%s[%s]", path, key)
		j := slices.Index(after, key)
		if j < 0 {
			d.changes = append(d.changes, Change{Path: entryPath, Old: jsonText(a.Index(i))})
			continue
		}
		d.compareValues(entryPath, a.Index(i), b.Index(j))
	}
	for j, key := range after {
		if !slices.Contains(before, key) {
			entryPath := fmt.Sprintf("%s[%s]", path, key)
			d.changes = append(d.changes, Change{Path: entryPath, New: jsonText(b.Index(j))})
		}
	}
	d.compareOrder(path, before, after)
}

func (d *differ) compareOrder(path string, before, after []string) {
	oldOrder := commonKeys(before, after)
	newOrder := commonKeys(after, before)
	if !slices.Equal(oldOrder, newOrder) {
		change := Change{Path: path, Old: strings.Join(oldOrder, ","), New: strings.Join(newOrder, ",")}
		d.changes = append(d.changes, change)
	}
}

// commonKeys returns the keys that are in both lists, in the order of the first.
func commonKeys(keys, other []string) []string {
	var common []string
	for _, key := range keys {
		if slices.Contains(other, key) {
			common = append(common, key)
		}
	}
	return common
}

// entryKeys returns the keys by which the entries of a list of structs are matched.
func entryKeys(list reflect.Value) []string {
	keys := make([]string, list.Len())
	for i := range keys {
		keys[i] = entryKey(list.Index(i).Interface())
	}
	return keys
}

func entryKey(entry any) string {
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
