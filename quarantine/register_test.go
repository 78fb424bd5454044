package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

func verdict(n uint64, until time.Duration) Verdict {
	return Verdict{Digest: digest(n), By: "host", Events: 3, Upstreams: 4, Judged: time.Second, Until: until}
}

// A judgement ends, is tried once and holds longer after each trial that ended an upstream.
func TestTerms(t *testing.T) {
	is := is.New(t)
	v := NewVerdict(Finding{Digest: digest(1)}, "host", time.Hour)
	is.True(v.Holds(time.Hour + firstTerm - 1))
	is.True(!v.Holds(time.Hour + firstTerm))
	now := 2 * time.Hour
	var terms []time.Duration
	for range 4 {
		v = v.Trial(now)
		is.True(v.Holds(now)) // for the other hosts
		v = v.Renewed(now)
		terms = append(terms, v.Until-now)
		now = v.Until
	}
	is.Equal(terms, []time.Duration{time.Hour, 6 * time.Hour, longestTerm, longestTerm})
	is.True(!v.Unused(v.Until + unusedTerm))
	is.True(v.Unused(v.Until + unusedTerm + 1))
}

func TestVerdictRow(t *testing.T) {
	is := is.New(t)
	v := verdict(7, time.Hour)
	v.Trials = 2
	data, err := json.Marshal(v)
	is.NoErr(err)
	var read Verdict
	is.NoErr(json.Unmarshal(data, &read))
	is.Equal(read, v)
	for _, text := range []string{`{}`, `[]`, `{"digest":"00","until_ms":5}`, `{"digest":"` + v.Digest.String() + `"}`, `{"digest":"` + v.Digest.String() + `","until_ms":-1}`} {
		is.True(json.Unmarshal([]byte(text), &read) != nil)
	}
}

// The later word on a request counts, wherever it comes from, and what was lifted isn't
// taken from a host that hasn't heard of it yet.
func TestRegisterTakesTheLaterWord(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	first := verdict(1, time.Hour)
	is.True(r.Hear(first, 0))
	is.True(!r.Hear(first, time.Second))
	is.True(!r.Store(first, 5, 2*time.Second)) // known already
	e, ok := r.Get(digest(1))
	is.True(ok)
	is.Equal(e.Revision, storage.Revision(5))
	is.Equal(e.Heard, time.Duration(0))
	is.True(r.Hear(first.Trial(2*time.Hour), 3*time.Second))
	is.True(!r.Hear(first, 3*time.Second))
	is.True(r.Lift(digest(1), 4*time.Second))
	is.True(!r.Lift(digest(1), 4*time.Second))
	is.True(!r.Hear(first, 5*time.Second))
	is.True(r.Store(first, 9, 6*time.Second)) // the store's word is newer
	is.Equal(r.Len(), 1)
}

// The register holds so many verdicts, those that end last.
func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	for i := range uint64(MaxVerdicts + 50) {
		r.Hear(verdict(i, time.Hour+time.Duration(i)), 0)
	}
	is.Equal(r.Len(), MaxVerdicts)
	_, ok := r.Get(digest(0))
	is.True(!ok)
	_, ok = r.Get(digest(MaxVerdicts + 49))
	is.True(ok)
	is.Equal(len(r.All()), MaxVerdicts)
}

// A store that came back from a copy may lack a verdict's row, or have that of an earlier
// one: what is known is unsaved, and stays.
func TestRowsOfACopy(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	earlier, later := verdict(1, 10*time.Minute), verdict(1, time.Hour)
	later.Trials = 1
	r.Store(later, 80, 0)
	r.Store(verdict(2, time.Hour), 81, 0)
	r.Unsave()
	is.True(!r.Store(earlier, storage.NewRevision(1, 60), time.Second))
	e, ok := r.Get(later.Digest)
	is.True(ok && e.Unsaved())
	is.Equal(e.Verdict, later)
	is.Equal(e.Revision, storage.NewRevision(1, 60)) // in whose place it is written
	is.True(!r.Store(later, storage.NewRevision(1, 61), time.Second))
	e, _ = r.Get(later.Digest)
	is.True(!e.Unsaved())
	e, _ = r.Get(verdict(2, 0).Digest)
	is.True(e.Unsaved() && e.Revision == 0) // the copy has no row of it
}
