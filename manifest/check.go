package manifest

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
)

// checker holds the state that the checks of one document share.
type checker struct {
	doc    *Document
	report *report
	root   *location
	// models, cascades, services and classes are indexed by name.
	models   map[string]*Model
	cascades map[string]*Cascade
	services map[string]bool
	classes  map[string]bool
}

// collectProblems adds the problems of a decoded document to r. A rule whose
// values already have a problem isn't checked, so that each mistake is reported
// once.
func collectProblems(doc *Document, r *report) {
	c := &checker{doc: doc, report: r, root: &location{}}
	c.indexNames()
	c.checkHeader()
	c.checkModels()
	c.checkCascades()
	c.checkServices()
	c.checkClasses()
	c.checkAccounts()
	c.checkSessions()
}

func (c *checker) indexNames() {
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

func (c *checker) checkHeader() {
	loc := c.root.child("format")
	if c.doc.Format != Format && !c.report.hasProblem(loc) {
		c.report.add(loc, strconv.Itoa(c.doc.Format), strconv.Itoa(Format), "unknown format")
	}
	if c.doc.Parent != "" && !ValidDigest(c.doc.Parent) {
		c.report.add(c.root.child("parent"), quote(c.doc.Parent), digestFormat+", or empty", "bad digest")
	}
	loc = c.root.child("build")
	if !validBuildLabel(c.doc.Build) && !c.report.hasProblem(loc) {
		allowed := fmt.Sprintf("1 to %d bytes of printable text", MaxBuildBytes)
		c.report.add(loc, quote(c.doc.Build), allowed, "bad build label")
	}
}

func validBuildLabel(s string) bool {
	if s == "" || len(s) > MaxBuildBytes {
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
	digestFormat = "sha256: and 64 lower-case hex digits"
	hexDigits    = 64
)

// ValidDigest reports whether s has the format of a result of Digest.
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

const nameFormat = "letters, digits, '.', '_' and '-', a letter or digit first, at most 64 bytes"

func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		if !validNameByte(s[i], i == 0) {
			return false
		}
	}
	return true
}

func validNameByte(b byte, first bool) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	case b == '.' || b == '_' || b == '-':
		return !first
	default:
		return false
	}
}

func (c *checker) checkName(loc *location, name string) {
	if validName(name) || c.report.hasProblem(loc) {
		return
	}
	c.report.add(loc, quote(name), nameFormat, "bad name")
}

func (c *checker) checkCount(loc *location, n, low, high int) {
	if low <= n && n <= high || c.report.hasProblem(loc) {
		return
	}
	c.report.add(loc, strconv.Itoa(n), fmt.Sprintf("%d to %d", low, high), "wrong number of entries")
}

func (c *checker) checkInteger(loc *location, n, low, high int64) {
	if low <= n && n <= high || c.report.hasProblem(loc) {
		return
	}
	c.report.add(loc, strconv.FormatInt(n, 10), fmt.Sprintf("%d to %d", low, high), "out of range")
}

func (c *checker) checkNumber(loc *location, f, low, high float64) {
	if low <= f && f <= high || c.report.hasProblem(loc) {
		return
	}
	allowed := fmt.Sprintf("%s to %s", formatFloat(low), formatFloat(high))
	c.report.add(loc, formatFloat(f), allowed, "out of range")
}

func formatFloat(f float64) string {
	if math.Trunc(f) == f && math.Abs(f) < 1e15 {
		return strconv.FormatInt(int64(f), 10)
	}
	return strconv.FormatFloat(f, 'g', -1, 64)
}

// checkEnum checks that value is one of the allowed values and returns the
// result.
func checkEnum[T ~string](c *checker, loc *location, value T, allowed ...T) bool {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		if a == value {
			return true
		}
		names[i] = string(a)
	}
	if !c.report.hasProblem(loc) {
		c.report.add(loc, quote(string(value)), strings.Join(names, ", "), "unknown value")
	}
	return false
}

// checkUnique adds a problem for each occurrence of a value that occurs more
// than once among n values. Empty values are skipped, as the checks of their
// format report them.
func (c *checker) checkUnique(n int, what string, locate func(i int) *location, value func(i int) string) {
	firstIndex := make(map[string]int, n)
	reported := map[string]bool{}
	for i := range n {
		v := value(i)
		if v == "" {
			continue
		}
		j, found := firstIndex[v]
		if !found {
			firstIndex[v] = i
			continue
		}
		if !reported[v] {
			reported[v] = true
			c.report.add(locate(j), "", "", "duplicate %s, also at %s", what, locate(i))
		}
		c.report.add(locate(i), "", "", "duplicate %s, also at %s", what, locate(j))
	}
}

// checkUniqueNames adds a problem for each name that occurs more than once in
// the given field of the list's entries.
func checkUniqueNames[T any](c *checker, list *location, field, what string, entries []T, name func(*T) string) {
	c.checkUnique(len(entries), what,
		func(i int) *location { return list.element(i).child(field) },
		func(i int) string { return name(&entries[i]) })
}

// checkReferences checks that each name of a list exists and occurs once.
func (c *checker) checkReferences(list *location, names []string, what string, known func(string) bool) {
	for i, name := range names {
		loc := list.element(i)
		if !known(name) && !c.report.hasProblem(loc) {
			c.report.add(loc, quote(name), "", "unknown %s", what)
		}
	}
	c.checkUnique(len(names), what, list.element, func(i int) string { return names[i] })
}
