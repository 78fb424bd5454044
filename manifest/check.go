package manifest

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
)

// checker holds what the checks of one document share.
type checker struct {
	doc    *Document
	report *report
	root   *location
	// models, cascades, services and classes index the document's names.
	models   map[string]*Model
	cascades map[string]*Cascade
	services map[string]bool
	classes  map[string]bool
}

// check adds the problems of a decoded document to r. A rule whose values
// already have a problem is left out, so that each mistake is told once.
func check(doc *Document, r *report) {
	c := &checker{doc: doc, report: r, root: &location{}}
	c.index()
	c.header()
	c.checkModels()
	c.checkCascades()
	c.checkServices()
	c.checkClasses()
	c.checkAccounts()
	c.checkSessions()
}

func (c *checker) index() {
	c.models = make(map[string]*Model, len(c.doc.Models))
	for i := range c.doc.Models {
		if m := &c.doc.Models[i]; c.models[m.Name] == nil {
			c.models[m.Name] = m
		}
	}
	c.cascades = make(map[string]*Cascade, len(c.doc.Cascades))
	for i := range c.doc.Cascades {
		c.cascades[c.doc.Cascades[i].Name] = &c.doc.Cascades[i]
	}
	c.services = make(map[string]bool, len(c.doc.Services))
	for _, s := range c.doc.Services {
		c.services[s.Name] = true
	}
	c.classes = make(map[string]bool, len(c.doc.Classes))
	for _, class := range c.doc.Classes {
		c.classes[class.Name] = true
	}
}

func (c *checker) header() {
	at := c.root.child("format")
	if c.doc.Format != Format && !c.report.broken(at) {
		c.report.add(at, strconv.Itoa(c.doc.Format), strconv.Itoa(Format), "unknown format")
	}
	if c.doc.Parent != "" && !ValidDigest(c.doc.Parent) {
		c.report.add(c.root.child("parent"), quote(c.doc.Parent), digestForm+", or empty", "bad digest")
	}
	at = c.root.child("build")
	if !validBuild(c.doc.Build) && !c.report.broken(at) {
		allowed := fmt.Sprintf("1 to %d bytes of printable text", MaxBuild)
		c.report.add(at, quote(c.doc.Build), allowed, "bad build label")
	}
}

func validBuild(s string) bool {
	if s == "" || len(s) > MaxBuild {
		return false
	}
	for _, r := range s {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

const (
	digestPrefix = "sha256:"
	digestForm   = "sha256: and 64 lower-case hex digits"
	hexDigits    = 64
)

// ValidDigest says whether s has the form that Digest returns.
func ValidDigest(s string) bool {
	digits, ok := strings.CutPrefix(s, digestPrefix)
	return ok && validHex(digits)
}

func validHex(s string) bool {
	if len(s) != hexDigits || s != strings.ToLower(s) {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

const nameForm = "letters, digits, '.', '_' and '-', a letter or digit first, at most 64 bytes"

func validName(s string) bool {
	if s == "" || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		if !nameByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func nameByte(b byte, first bool) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	case b == '.' || b == '_' || b == '-':
		return !first
	default:
		return false
	}
}

func (c *checker) name(at *location, name string) {
	if validName(name) || c.report.broken(at) {
		return
	}
	c.report.add(at, quote(name), nameForm, "bad name")
}

func (c *checker) count(at *location, n, low, high int) {
	if low <= n && n <= high || c.report.broken(at) {
		return
	}
	c.report.add(at, strconv.Itoa(n), fmt.Sprintf("%d to %d", low, high), "wrong number of entries")
}

func (c *checker) whole(at *location, n, low, high int64) {
	if low <= n && n <= high || c.report.broken(at) {
		return
	}
	c.report.add(at, strconv.FormatInt(n, 10), fmt.Sprintf("%d to %d", low, high), "out of range")
}

func (c *checker) number(at *location, f, low, high float64) {
	if low <= f && f <= high || c.report.broken(at) {
		return
	}
	allowed := fmt.Sprintf("%s to %s", formatFloat(low), formatFloat(high))
	c.report.add(at, formatFloat(f), allowed, "out of range")
}

func formatFloat(f float64) string {
	if math.Trunc(f) == f && math.Abs(f) < 1e15 {
		return strconv.FormatInt(int64(f), 10)
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}

// oneOf checks an enumerated value.
func oneOf[T ~string](c *checker, at *location, value T, allowed ...T) bool {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		if a == value {
			return true
		}
		names[i] = string(a)
	}
	if !c.report.broken(at) {
		c.report.add(at, quote(string(value)), strings.Join(names, ", "), "unknown value")
	}
	return false
}

// unique reports each place at which a value stands that stands elsewhere
// too. Empty values are left to the checks of form.
func (c *checker) unique(n int, what string, at func(i int) *location, value func(i int) string) {
	first := make(map[string]int, n)
	reported := map[string]bool{}
	for i := range n {
		v := value(i)
		if v == "" {
			continue
		}
		j, again := first[v]
		if !again {
			first[v] = i
			continue
		}
		if !reported[v] {
			reported[v] = true
			c.report.add(at(j), "", "", "duplicate %s, also at %s", what, at(i))
		}
		c.report.add(at(i), "", "", "duplicate %s, also at %s", what, at(j))
	}
}

// uniqueNames reports names that stand more than once among the entries of a
// list, where each has its name in the given field.
func uniqueNames[T any](c *checker, list *location, field, what string, entries []T, name func(*T) string) {
	c.unique(len(entries), what,
		func(i int) *location { return list.at(i).child(field) },
		func(i int) string { return name(&entries[i]) })
}

// references checks that each entry of a list is known and stands there once.
func (c *checker) references(list *location, names []string, what string, known func(string) bool) {
	for i, name := range names {
		at := list.at(i)
		if !known(name) && !c.report.broken(at) {
			c.report.add(at, quote(name), "", "unknown %s", what)
		}
	}
	c.unique(len(names), what, list.at, func(i int) string { return names[i] })
}
