package engine

import (
	"context"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

// run makes the job's answer. The caller holds a slot for it.
func (e *Engine) run(ctx context.Context, j *job, prompt string) {
	defer e.slots.release()
	cached := e.cache.use(j.versioned, prompt)
	promptTokens := len(strings.Fields(prompt))
	slow := e.faults.slow(j.versioned)
	if wait.For(ctx, scale(e.opts.PrefillPerToken, float64(promptTokens-cached)*slow)) != nil {
		return
	}
	tokens := answerTokens(j.versioned, prompt)
	if e.faults.get().Versions[j.versioned].Bad {
		tokens = append([]string{BadMark + " "}, tokens...)
	}
	for _, token := range tokens {
		e.faults.waitStall()
		if wait.For(ctx, e.tokenTime(slow)) != nil {
			return
		}
		j.appendToken(token)
	}
	j.appendEnd(usage{
		PromptTokens:     promptTokens,
		CompletionTokens: len(tokens),
		Details:          promptDetails{CachedTokens: cached},
	})
	e.arrivals.note(j.requestID, func(a *Arrival) { a.Finished++ })
	e.forgetLater(j)
}

// tokenTime is the time for the next token at the present batch size.
func (e *Engine) tokenTime(slow float64) time.Duration {
	running, _ := e.slots.counts()
	factor := 1 + e.opts.BatchSlowdown*float64(running-1)
	return scale(e.opts.TimePerToken, factor*slow)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
