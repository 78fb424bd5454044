package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

func verdict(n uint64, until time.Duration) Verdict {
	return Verdict{Digest: digest(n), MadeBy: "host", Events: 3, Upstreams: 4, MadeAt: time.Second, ExpiresAt: until}
}

// A verdict expires. One host then sends the request as a trial, and the term of the renewed
// verdict is longer after each trial that terminated an upstream, up to maxTerm.
func TestVerdictTerms(t *testing.T) {
	is := is.New(t)
	v := NewVerdict(Finding{Digest: digest(1)}, "host", time.Hour)
	is.True(v.InForce(time.Hour + initialTerm - 1))
	is.True(!v.InForce(time.Hour + initialTerm))
	now := 2 * time.Hour
	var terms []time.Duration
	for range 4 {
		v = v.ForTrial(now)
		is.True(v.InForce(now)) // for the other hosts
		v = v.Renewed(now)
		terms = append(terms, v.ExpiresAt-now)
		now = v.ExpiresAt
	}
	is.Equal(terms, []time.Duration{time.Hour, 6 * time.Hour, maxTerm, maxTerm})
	is.True(!v.Unused(v.ExpiresAt + unusedRetention))
	is.True(v.Unused(v.ExpiresAt + unusedRetention + 1))
}

func TestVerdictRow(t *testing.T) {
	is := is.New(t)
	v := verdict(7, time.Hour)
	v.TrialCount = 2
	data, err := json.Marshal(v)
	is.NoErr(err)
	var read Verdict
	is.NoErr(json.Unmarshal(data, &read))
	is.Equal(read, v)
	for _, text := range []string{`{}`, `[]`, `{"digest":"00","until_ms":5}`, `{"digest":"` + v.Digest.String() + `"}`, `{"digest":"` + v.Digest.String() + `","until_ms":-1}`} {
		is.True(json.Unmarshal([]byte(text), &read) != nil)
	}
}

// Of two verdicts on a request, the later one is kept, whatever its source. A withdrawn verdict
// isn't accepted from a host that hasn't received the withdrawal yet.
func TestRegisterKeepsTheLaterVerdict(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	first := verdict(1, time.Hour)
	is.True(r.Add(first, 0))
	is.True(!r.Add(first, time.Second))
	is.True(!r.ApplyRow(first, 5, 2*time.Second)) // the request has an entry already
	e, ok := r.Get(digest(1))
	is.True(ok)
	is.Equal(e.Revision, storage.Revision(5))
	is.Equal(e.ReceivedAt, time.Duration(0))
	is.True(r.Add(first.ForTrial(2*time.Hour), 3*time.Second))
	is.True(!r.Add(first, 3*time.Second))
	is.True(r.Withdraw(digest(1), 4*time.Second))
	is.True(!r.Withdraw(digest(1), 4*time.Second))
	is.True(!r.Add(first, 5*time.Second))
	is.True(r.ApplyRow(first, 9, 6*time.Second)) // the store has a newer revision
	is.Equal(r.Len(), 1)
}

// The register holds at most MaxVerdicts verdicts: those that expire last.
func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	for i := range uint64(MaxVerdicts + 50) {
		r.Add(verdict(i, time.Hour+time.Duration(i)), 0)
	}
	is.Equal(r.Len(), MaxVerdicts)
	_, ok := r.Get(digest(0))
	is.True(!ok)
	_, ok = r.Get(digest(MaxVerdicts + 49))
	is.True(ok)
	is.Equal(len(r.All()), MaxVerdicts)
}

// A store restored from a backup may lack a verdict's row, or have the row of an earlier
// verdict. The verdicts in the register remain, marked as unsaved.
func TestRowsOfARestoredStore(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	earlier, later := verdict(1, 10*time.Minute), verdict(1, time.Hour)
	later.TrialCount = 1
	r.ApplyRow(later, 80, 0)
	r.ApplyRow(verdict(2, time.Hour), 81, 0)
	r.MarkUnsaved()
	is.True(!r.ApplyRow(earlier, storage.NewRevision(1, 60), time.Second))
	e, ok := r.Get(later.Digest)
	is.True(ok && e.Unsaved())
	is.Equal(e.Verdict, later)
	is.Equal(e.Revision, storage.NewRevision(1, 60)) // that of the earlier verdict's row, which the later one must replace
	is.True(!r.ApplyRow(later, storage.NewRevision(1, 61), time.Second))
	e, _ = r.Get(later.Digest)
	is.True(!e.Unsaved())
	e, _ = r.Get(verdict(2, 0).Digest)
	is.True(e.Unsaved() && e.Revision == 0) // the restored store has no row of this verdict
}
