package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	s := settingOf(3)
	a, b := run(s, chain, 2), run(s, chain, 2)
	is.Equal(a.requests, b.requests)
	is.Equal(a.firstToken.Max(), b.firstToken.Max())
	is.Equal(a.cached, b.cached)
	is.True(a.requests > 0)
}

// TestEngineModel compares with times worked out by hand.
func TestEngineModel(t *testing.T) {
	is := is.New(t)
	q := simulate.New()
	e := newEngine("e", q)
	var first, end float64
	r := &request{hashes: blocks(nil, 9, 1), output: 10}
	r.answer = func(isFirst, ok bool) {
		is.True(ok)
		if isFirst {
			first = q.Now().Sub(simulate.Epoch).Seconds()
			return
		}
		end = q.Now().Sub(simulate.Epoch).Seconds()
	}
	e.send(r)
	q.Run(length)
	prefill := 10 * blockTokens / prefillPerSecond
	perToken := tokenTime.Seconds() * (1 + batchSlowdown/slots)
	is.True(near(first, prefill))
	is.True(near(end, prefill+10*perToken))
	is.Equal(e.lookup(r.hashes), 9) // the prompt is cached now
	is.Equal(e.load().Running, 0)
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }
