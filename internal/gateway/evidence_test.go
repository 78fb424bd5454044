package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
	"github.com/quetzalweir/quetzalweir/routing"
)

// evidentRollouts is a host with a roll-out under way.
func evidentRollouts() *rollouts {
	m := newRollouts(&Settings{CanaryShare: 0.2}, NewFleet("z1", time.Second, zerolog.Nop()), zerolog.Nop())
	m.order(Order{Service: "svc", Version: "v2", Duration: time.Minute, Revision: 5})
	return m
}

func answers(old, bad, fresh, freshBad int) exchange.Versions {
	return exchange.Versions{
		Old: exchange.Tally{Answers: old, Failed: bad},
		New: exchange.Tally{Answers: fresh, Failed: freshBad},
	}
}

// Bad answers that no host has enough of by itself stop the version together.
func TestHostsJudgeTogether(t *testing.T) {
	is := is.New(t)
	r := &Request{ID: "x", Service: "svc", Route: &routing.Route{Name: "r"}}
	m := evidentRollouts()
	for range 50 {
		m.observe(r, "v1", attemptResult{outcome: outcomeDone})
	}
	for range minBad - 1 {
		m.observe(r, "v2", attemptResult{outcome: outcomeFailed})
	}
	is.True(!m.active["svc"].stopped)
	is.Equal(m.seen(), []exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": answers(50, 0, minBad-1, minBad-1)}}})
	m.takeOthers([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": answers(100, 0, 1, 1)}}})
	is.True(m.active["svc"].stopped)
}

func TestOthersEvidence(t *testing.T) {
	tests := []struct {
		desc  string
		order uint64
		seen  exchange.Versions
		want  bool
	}{
		{"bad", 5, answers(100, 1, 12, 6), true},
		{"no worse than the old version", 5, answers(100, 50, 12, 6), false},
		{"good", 5, answers(100, 1, 50, 0), false},
		{"of an earlier order", 4, answers(100, 1, 12, 12), false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			m := evidentRollouts()
			m.takeOthers([]exchange.Evidence{{Service: "svc", Order: test.order, Routes: map[string]exchange.Versions{"r": test.seen}}})
			is.Equal(m.active["svc"].stopped, test.want)
			is.Equal(len(m.seen()[0].Routes), 0) // others' counts aren't told on
		})
	}
}

// Each report replaces the last one: counts aren't added twice.
func TestOthersEvidenceReplaces(t *testing.T) {
	is := is.New(t)
	m := evidentRollouts()
	for range 10 {
		m.takeOthers([]exchange.Evidence{{Service: "svc", Order: 5, Routes: map[string]exchange.Versions{"r": answers(100, 0, 2, 2)}}})
	}
	is.True(!m.active["svc"].stopped)
}
