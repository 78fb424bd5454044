package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// parseLimit reads the limits that an answer names, in requests a second. Of several the
// lowest holds. ok is false if none is a decimal number.
func parseLimit(values []string) (rate float64, ok bool) {
	for _, value := range values {
		value = strings.TrimSpace(value)
		if strings.Trim(value, "0123456789.") != "" {
			continue // a sign, an exponent or a unit
		}
		// A number out of range is read as infinite.
		named, _ := strconv.ParseFloat(value, 64)
		if strings.ContainsAny(value, "0123456789") && strings.Count(value, ".") <= 1 && (!ok || named < rate) {
			rate, ok = named, true
		}
	}
	return rate, ok
}

// namedLimit is the limit that an upstream's answers name.
type namedLimit struct {
	// rate is in requests a second.
	rate float64
	// since is when the limit was first named, at when it was last; zero without a limit.
	since time.Time
	at    time.Time
}

// named says whether the upstream has a limit.
func (l *namedLimit) named() bool { return !l.at.IsZero() }

// observeLimit takes in what an answer's head says of its upstream's limit.
func (f *Fleet) observeLimit(c *choice, values []string) {
	s := f.shard(c.upstream.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.chosen(c); m != nil {
		m.observeLimit(values, boottime.Now(), f.log)
	}
}

// observeLimit takes in what an answer of the upstream says of its limit.
func (m *member) observeLimit(values []string, now time.Time, log zerolog.Logger) {
	rate, ok := parseLimit(values)
	line := func(event string) *zerolog.Event {
		return log.Warn().Str("event", event).Str("upstream", m.ID).Str("service", m.Service).Str("zone", m.Zone)
	}
	switch {
	case len(values) > 0 && !ok:
		line("limit-unreadable").Strs("values", values).Msg("")
	case ok && (!m.limit.named() || rate != m.limit.rate):
		line("upstream-limited").Float64("limit", rate).Bool("first", !m.limit.named()).Msg("")
		if !m.limit.named() {
			m.limit.since = now
		}
		m.limit.rate, m.limit.at = rate, now
	case ok:
		m.limit.at = now
	case m.limit.named():
		line("upstream-unlimited").Float64("limit", m.limit.rate).Int64("for_ms", now.Sub(m.limit.since).Milliseconds()).Msg("")
		m.limit = namedLimit{}
	}
}
