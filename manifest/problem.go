package manifest

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Problem is one reason why a document is refused.
type Problem struct {
	// Path names the place, for example "models[2].versions[0].share"; it is
	// empty for the document as a whole.
	Path string
	// Value is the offending value as JSON text, shortened; values that may
	// be secret are left out.
	Value string
	// Allowed says what would be accepted there; it may be empty.
	Allowed string
	// Message says what is wrong.
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

// Errors holds all problems of a document in the order of their discovery.
type Errors []Problem

// Error implements error with one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, p := range e {
		lines[i] = p.String()
	}
	return "manifest: " + strings.Join(lines, "\n")
}

// location is a place in the document, built as a linked list so that a
// document without problems costs no path strings.
type location struct {
	parent *location
	field  string
	index  int
}

func (l *location) child(field string) *location {
	return &location{parent: l, field: field}
}

func (l *location) at(index int) *location {
	return &location{parent: l, index: index}
}

// String returns the path from the root, which itself has the empty path.
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

// report collects problems up to MaxProblems and counts the rest.
type report struct {
	problems Errors
	omitted  int
	// unread holds the paths of values that are missing or of a wrong type.
	unread map[string]bool
}

// addUnread adds a problem of a value that could not be read at all.
func (r *report) addUnread(at *location, value, allowed, format string, args ...any) {
	if r.unread == nil {
		r.unread = map[string]bool{}
	}
	r.unread[at.String()] = true
	r.add(at, value, allowed, format, args...)
}

func (r *report) add(at *location, value, allowed, format string, args ...any) {
	if len(r.problems) >= MaxProblems-1 {
		r.omitted++
		return
	}
	r.problems = append(r.problems, Problem{
		Path:    at.String(),
		Value:   value,
		Allowed: allowed,
		Message: fmt.Sprintf(format, args...),
	})
}

// broken says whether the place or anything inside it has a problem, or what
// it stands in could not be read, so that a check that depends on it would
// only repeat that problem in other words.
func (r *report) broken(at *location) bool {
	if len(r.problems) == 0 {
		return false
	}
	for l := at; l != nil && len(r.unread) > 0; l = l.parent {
		if r.unread[l.String()] {
			return true
		}
	}
	path := at.String()
	for _, p := range r.problems {
		if within(p.Path, path) {
			return true
		}
	}
	return false
}

func within(path, prefix string) bool {
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

const maxShown = 64

// shorten cuts s to a length that fits a report, at a rune's boundary.
func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	end := maxShown
	for end > 0 && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}

// quote returns s as a shortened JSON string.
func quote(s string) string {
	return fmt.Sprintf("%q", shorten(s))
}
