package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	s := settingFor(3)
	a, b := run(s, fullChain, 2), run(s, fullChain, 2)
	is.Equal(a.requestCount, b.requestCount)
	is.Equal(a.firstToken.Max(), b.firstToken.Max())
	is.Equal(a.cached, b.cached)
	is.True(a.requestCount > 0)
}

// TestEngineModel compares the times of one request with the values computed
// from the parameters.
func TestEngineModel(t *testing.T) {
	is := is.New(t)
	q := simulate.New()
	e := newEngine("e", q)
	var firstToken, end float64
	r := &request{hashes: appendBlocks(nil, 9, 1), outputTokens: 10}
	r.onProgress = func(isFirst, ok bool) {
		is.True(ok)
		if isFirst {
			firstToken = q.Now().Sub(simulate.Epoch).Seconds()
			return
		}
		end = q.Now().Sub(simulate.Epoch).Seconds()
	}
	e.accept(r)
	q.Run(runDuration)
	prefill := 10 * blockTokens / prefillPerSecond
	perToken := baseTimePerToken.Seconds() * (1 + batchSlowdown/batchSlots)
	is.True(approximatelyEqual(firstToken, prefill))
	is.True(approximatelyEqual(end, prefill+10*perToken))
	is.Equal(e.lookupAndStore(r.hashes), 9) // the prompt is cached now
	is.Equal(e.reportedLoad().Running, 0)
}

func approximatelyEqual(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }
