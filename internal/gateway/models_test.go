package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

func TestPriority(t *testing.T) {
	first, third := 0, 2
	tests := []struct {
		desc    string
		rank    int
		account *int
		lowest  int
		largest bool
		long    bool
		want    int
	}{
		{"small model of the first rank", 0, nil, 2, false, false, 0},
		{"largest model", 0, nil, 2, true, false, 1},
		{"long prompts on the largest model", 0, nil, 2, true, true, 2},
		{"long prompts on a small model", 0, nil, 2, false, true, 0},
		{"ranks don't mix", 1, nil, 2, false, false, 3},
		{"the account's rank takes precedence", 1, &third, 2, false, false, 6},
		{"the account's first rank", 1, &first, 2, false, false, 0},
		{"lowest priority of all", 2, nil, 2, true, true, 8},
		{"a rank below the first", -2, nil, 2, false, false, 0},
		{"too few priorities for levels", 4, nil, 4, true, true, 4},
		{"more ranks than priorities", 12, nil, 12, false, false, 9},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			table, err := routing.New(routing.Document{
				Services: []routing.Service{{Name: "s"}},
				Routes:   []routing.Route{{Name: "lowest", Priority: test.lowest, Shares: []routing.Share{{Service: "s", Weight: 1}}}},
			})
			is.NoErr(err)
			r := &Request{Table: table, Route: &routing.Route{Priority: test.rank}, relativePromptSize: 1}
			if test.long {
				r.relativePromptSize = 2
			}
			if test.account != nil {
				r.Account = &routing.Account{Priority: test.account}
			}
			is.Equal(r.priority(test.largest), test.want)
		})
	}
}

func TestPromptSizes(t *testing.T) {
	is := is.New(t)
	var p promptSizes
	long, short := 0.0, 0.0
	for range 100 {
		long = p.observe("long", 9000)
		short = p.observe("short", 700)
	}
	is.True(long > 1.5 && long < 2)
	is.True(short > 0.1 && short < 0.2)
	is.Equal(new(promptSizes).observe("r", 0), 1.0) // nothing is known
}

func TestWeightOfAReportedLoadDecays(t *testing.T) {
	is := is.New(t)
	s := &shard{meanSlotLoad: 0.5}
	now := time.Now()
	m := &member{Upstream: Upstream{Slots: 20}, shard: s}
	is.Equal(m.load(now), 10.0) // without a report: the service's mean
	m.ensureUsage().reportedLoad, m.ensureUsage().reportedAt = 2, now
	is.Equal(m.load(now), 2.0)
	is.Equal(m.load(now.Add(loadHalfLife)), 6.0)
	m.inFlight = 15
	is.Equal(m.load(now), 17.0) // own requests since the report are added
	is.True(m.load(now.Add(time.Minute)) >= 15)
}

func TestEjectedUpstreamGetsRequestsAgain(t *testing.T) {
	is := is.New(t)
	m := &member{shard: &shard{}}
	now := time.Now()
	m.observeResult(attemptResult{outcome: outcomeUnsent}, now)
	is.True(m.ensureUsage().ejectedUntil.After(now))
	first := m.ensureUsage().ejectedUntil.Sub(now)
	m.observeResult(attemptResult{outcome: outcomeUnsent}, now)
	is.Equal(m.ensureUsage().ejectedUntil.Sub(now), 2*first)
	m.observeResult(attemptResult{outcome: outcomeDone}, now)
	m.observeResult(attemptResult{outcome: outcomeUnsent}, now)
	is.Equal(m.ensureUsage().ejectedUntil.Sub(now), first)
}
