package egress_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/egress"
)

// Open connections may go on while new ones are refused. They must not hide that.
func TestConnectionOpenedBeforeTheFailuresDoesNotEndThem(t *testing.T) {
	is := is.New(t)
	tr, start := egress.NewTracker(), time.Now()
	is.True(!tr.ConnectionFailed("10.0.0.1:80", start).Suspicious()) // a single upstream may have terminated
	is.True(tr.ConnectionFailed("10.0.0.2:80", start.Add(time.Millisecond)).Suspicious())
	is.Equal(tr.ConnectionUsable(start.Add(-time.Second)), egress.Failures{})
	is.True(tr.Failures().Suspicious())
	ended := tr.ConnectionUsable(start.Add(time.Second))
	is.Equal(ended, egress.Failures{Count: 2, Addresses: 2, Since: start})
	is.Equal(tr.Failures().Count, 0)
}

// suspicious returns a tracker whose last connections failed.
func suspicious(now time.Time) *egress.Tracker {
	tr := egress.NewTracker()
	tr.ConnectionFailed("10.0.0.1:80", now)
	tr.ConnectionFailed("10.0.0.2:80", now)
	return tr
}

// If all upstreams are down, hosts must not ask each other again and again: with one path as dead as
// the other, the upstreams are the cause.
func TestUpstreamsThatAreDownAreNotTakenForTheHostsPath(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := suspicious(now)
	diagnoses := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(50 * time.Millisecond) {
		tr.ConnectionFailed("10.0.0.1:80", now)
		if tr.DiagnosisDue(now) {
			diagnoses++
			is.Equal(tr.RecordDiagnosis(egress.Diagnosis{Compared: true}, now), egress.Direct)
		}
	}
	is.True(diagnoses < 25)
}

// The path changes only if upstreams answer by the other one alone, and back after consecutive probes.
func TestPathChangesByComparison(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := suspicious(now)
	is.True(tr.DiagnosisDue(now))
	is.Equal(tr.RecordDiagnosis(egress.Diagnosis{Direct: true, Relayed: true}, now), egress.Direct)
	is.True(!tr.DiagnosisDue(now.Add(time.Hour)))
	tr = suspicious(now)
	is.Equal(tr.RecordDiagnosis(egress.Diagnosis{Relayed: true}, now), egress.Relayed)
	is.True(!tr.ProbeDue(now))
	probe := func(ok bool) egress.Path {
		now = now.Add(egress.RecoveryInterval)
		is.True(tr.ProbeDue(now))
		is.True(!tr.ProbeDue(now))
		return tr.RecordProbe(ok, now)
	}
	is.Equal(probe(true), egress.Relayed)
	is.Equal(probe(false), egress.Relayed)
	is.Equal(probe(true), egress.Relayed)
	is.Equal(probe(true), egress.Direct)
}

// A path that comes and goes must not make a host open new connections to all upstreams each time.
func TestUnstablePathIsUsedAgainLater(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := egress.NewTracker()
	var probes []int
	for range 5 {
		tr.ConnectionFailed("10.0.0.1:80", now)
		tr.ConnectionFailed("10.0.0.2:80", now)
		is.Equal(tr.RecordDiagnosis(egress.Diagnosis{Relayed: true}, now), egress.Relayed)
		n := 0
		for tr.Path() == egress.Relayed {
			now = now.Add(egress.RecoveryInterval)
			tr.RecordProbe(true, now)
			n++
		}
		probes = append(probes, n)
	}
	is.Equal(probes, []int{2, 4, 8, 8, 8})
}

// Few slow answers look like silence. The probes that this causes must become rare.
func TestSilenceOfSlowUpstreamsIsDiagnosedRarely(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := egress.NewTracker()
	tr.SetSilent(true)
	diagnoses := 0
	for end := now.Add(5 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if tr.DiagnosisDue(now) {
			diagnoses++
			tr.RecordDiagnosis(egress.Diagnosis{Direct: true}, now)
		}
	}
	is.True(diagnoses < 25)
}

// If the other hosts are restarting or paused when a host loses its path, the comparison must be repeated as
// soon as they are back. Its open connections may end meanwhile.
func TestComparisonWithoutOtherHostsIsRepeatedSoon(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tr := suspicious(now)
	for range 20 {
		is.True(tr.DiagnosisDue(now))
		tr.RecordDiagnosis(egress.Diagnosis{}, now)
		now = now.Add(500 * time.Millisecond)
	}
	is.Equal(tr.RecordDiagnosis(egress.Diagnosis{Relayed: true, Compared: true}, now), egress.Relayed)
}
