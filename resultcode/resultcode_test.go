package resultcode

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

func TestDocumentationIsCurrent(t *testing.T) {
	is := is.New(t)
	committed, err := os.ReadFile("../docs/RESULT-CODES.md")
	is.NoErr(err)
	is.Equal(string(committed), Markdown()) // run: quetzalweir codes --markdown > docs/RESULT-CODES.md
}

func TestCodesAreUniqueAndComplete(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	previous := Code(-1)
	for _, s := range All() {
		is.True(s.Code > previous)  // ascending, so unique
		is.True(!names[s.Name])     // names are unique
		is.True(s.Status >= 200)    // an HTTP status
		is.True(len(s.States) > 0)  // at least one run state is allowed
		is.True(len(s.Meaning) > 0) // documented
		names[s.Name] = true
		previous = s.Code
	}
}

// TestForStateNeverUnderstates checks that no request that was sent is reported as
// not run, whichever code its error has.
func TestForStateNeverUnderstates(t *testing.T) {
	states := []runstate.State{runstate.NotRun, runstate.MayHaveRun, runstate.Ran}
	for _, s := range All() {
		for _, state := range states {
			got := ForState(New(s.Code, "x"), state)
			if !allows(Lookup(got.Code), state) {
				t.Errorf("%s in state %s became %s, which doesn't allow that state", s.Name, state, got.Code)
			}
		}
	}
}

func allows(s Spec, state runstate.State) bool {
	for _, allowed := range s.States {
		if allowed == state {
			return true
		}
	}
	return false
}

func TestFromErrorKeepsTheCode(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cause")
	wrapped := Wrap(QueueFull, cause, "full")
	is.Equal(FromError(wrapped).Code, QueueFull)
	is.Equal(FromError(cause).Code, Internal)
	is.True(errors.Is(wrapped, cause))
}
