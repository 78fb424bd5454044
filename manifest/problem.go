package manifest

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Problem is one reason why a document is invalid.
type Problem struct {
	// Path is the location of the invalid value, for example
	// "models[2].versions[0].share"; it is empty for the document as a whole.
	Path string
	// Value is the invalid value as JSON text, truncated; it is empty for values
	// that may be secret.
	Value string
	// Allowed describes the values that are valid there; it may be empty.
	Allowed string
	// Message describes the problem.
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Path != "" {
		b.WriteString(p.Path)
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	if p.Value != "" {
		fmt.Fprintf(&b, ", got %s", p.Value)
	}
	if p.Allowed != "" {
		fmt.Fprintf(&b, ", allowed: %s", p.Allowed)
	}
	return b.String()
}

// Errors lists the problems of a document in the order of their discovery, at
// most MaxProblems.
type Errors []Problem

// Error implements error with one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return "manifest: " + strings.Join(lines, "\n")
}

// location is the path to a value in the document. It is a linked list, so that
// no path string is built for a document without problems.
type location struct {
	parent *location
	field  string
	index  int
}

func (l *location) child(field string) *location {
	return &location{parent: l, field: field}
}

func (l *location) element(index int) *location {
	return &location{parent: l, index: index}
}

// String returns the path from the root; the path of the root is empty.
func (l *location) String() string {
	if l == nil || l.parent == nil {
		return ""
	}
	prefix := l.parent.String()
	switch {
	case l.field == "":
		return fmt.Sprintf("%s[%d]", prefix, l.index)
	case prefix == "":
		return l.field
	default:
		return prefix + "." + l.field
	}
}

// report collects up to MaxProblems problems and counts the rest.
type report struct {
	problems Errors
	omitted  int
	// undecoded is the set of paths of values that are missing or of a wrong
	// type.
	undecoded map[string]bool
}

// addUndecoded adds a problem of a value that could not be decoded.
func (r *report) addUndecoded(loc *location, value, allowed, format string, args ...any) {
	if r.undecoded == nil {
		r.undecoded = map[string]bool{}
	}
	r.undecoded[loc.String()] = true
	r.add(loc, value, allowed, format, args...)
}

func (r *report) add(loc *location, value, allowed, format string, args ...any) {
	if len(r.problems) >= MaxProblems-1 {
		r.omitted++
		return
	}
	r.problems = append(r.problems, Problem{
		Path:    loc.String(),
		Value:   value,
		Allowed: allowed,
		Message: fmt.Sprintf(format, args...),
	})
}

// hasProblem reports whether loc or anything inside it has a problem, or one of
// its parents could not be decoded. A check that depends on loc would then only
// repeat the same problem.
func (r *report) hasProblem(loc *location) bool {
	if len(r.problems) == 0 {
		return false
	}
	for l := loc; l != nil && len(r.undecoded) > 0; l = l.parent {
		if r.undecoded[l.String()] {
			return true
		}
	}
	path := loc.String()
	for _, p := range r.problems {
		if isWithin(p.Path, path) {
			return true
		}
	}
	return false
}

func isWithin(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || rest[0] == '.' || rest[0] == '['
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	if r.omitted == 0 {
		return r.problems
	}
	last := Problem{Message: fmt.Sprintf("%d more problems were left out", r.omitted)}
	return append(r.problems, last)
}

// maxValueLength is the largest length of Problem.Value before quoting, in bytes.
const maxValueLength = 64

// truncate shortens s to maxValueLength bytes at a rune boundary and appends an
// ellipsis if it is longer.
func truncate(s string) string {
	if len(s) <= maxValueLength {
		return s
	}
	end := maxValueLength
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}

// quote returns s truncated and quoted.
func quote(s string) string {
	return fmt.Sprintf("%q", truncate(s))
}
