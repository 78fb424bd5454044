package engine

import (
	"context"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

// run generates the answer of the job and releases the slot that the caller
// acquired for it.
func (e *Engine) run(ctx context.Context, j *job, prompt string) {
	defer e.slots.release()
	cached := e.cache.lookupAndStore(j.modelVersion, prompt)
	promptTokens := len(strings.Fields(prompt))
	slowdown := e.faults.slowdown(j.modelVersion)
	if wait.For(ctx, scale(e.opts.PrefillPerToken, float64(promptTokens-cached)*slowdown)) != nil {
		return
	}
	tokens := answerTokens(j.modelVersion, prompt)
	if e.faults.get().Versions[j.modelVersion].Bad {
		tokens = append([]string{BadAnswerPrefix + " "}, tokens...)
	}
	for _, token := range tokens {
		e.faults.waitWhileStalled()
		if wait.For(ctx, e.currentTimePerToken(slowdown)) != nil {
			return
		}
		j.appendToken(token)
	}
	j.appendEnd(usage{
		PromptTokens:     promptTokens,
		CompletionTokens: len(tokens),
		Details:          promptDetails{CachedTokens: cached},
	})
	e.arrivals.record(j.requestID, func(a *Arrival) { a.Finished++ })
	e.scheduleRemoval(j)
}

// currentTimePerToken returns how long the next output token takes at the current
// batch size.
func (e *Engine) currentTimePerToken(slowdown float64) time.Duration {
	running, _ := e.slots.counts()
	factor := 1 + e.opts.BatchSlowdown*float64(running-1)
	return scale(e.opts.TimePerToken, factor*slowdown)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
