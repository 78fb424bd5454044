package gateway

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// maxLoggedRoutes bounds the number of lines that logEvidence writes.
const maxLoggedRoutes = 20

// logEvidence logs the answers on which the end of a roll-out is decided, one line a route: those that this
// host counted, and the sums over all hosts.
func (ro *rollouts) logEvidence(sr *serviceRollout, cause string) {
	ro.logSent(sr, cause)
	ro.logTimes(sr, cause, "first-event", sr.evidence.firstEvents(boottime.Now()), fullLoadWeight)
	ro.logTimes(sr, cause, "event-gap", sr.evidence.eventGaps(), 0)
	own, all := sr.evidence.ownCounts(), sr.evidence.allCounts()
	for i, route := range slices.Sorted(maps.Keys(all)) {
		if i == maxLoggedRoutes {
			return
		}
		line := ro.log.Info().Str("event", "rollout-evidence").Str("service", sr.order.Service).Str("version", sr.order.Version).
			Str("cause", cause).Str("route", route).Int("other_hosts", sr.evidence.remoteHosts)
		addTallies(line, "own_", own[route])
		addTallies(line, "", all[route])
		line.Msg("")
	}
}

// logTimes logs the numbers of answers on all hosts by their time as a multiple of the expected one, in buckets
// of half a doubling, and the logarithms of the likelihood ratios that decide.
func (ro *rollouts) logTimes(sr *serviceRollout, cause, kind string, times exchange.VersionTimes, weight float64) {
	newTimes, fullLoad := sumGroups(times.New), sumGroups(times.FullLoad)
	ro.log.Info().Str("event", "rollout-times").Str("service", sr.order.Service).Str("version", sr.order.Version).
		Str("cause", cause).Str("kind", kind).
		Float64("log_ratio", tenths(compareAll(times, weight).LogRatio())).
		Float64("full_load_log_ratio", tenths(compareFullLoad(times, weight).LogRatio())).
		Ints("old", times.Old.Answered[:]).Ints("old_unanswered", times.Old.Unanswered[:]).
		Ints("new", newTimes.Answered[:]).Ints("new_unanswered", newTimes.Unanswered[:]).
		Ints("full_load", fullLoad.Answered[:]).Ints("full_load_unanswered", fullLoad.Unanswered[:]).Msg("")
}

func tenths(x float64) float64 { return math.Round(10*x) / 10 }

func addTallies(line *zerolog.Event, prefix string, v exchange.VersionTallies) {
	for _, t := range []struct {
		name  string
		tally exchange.Tally
	}{{"old", v.Old}, {"new", v.New}, {"full_load", v.FullLoad}} {
		line.Str(prefix+t.name, fmt.Sprintf("answers:%d failed:%d slow:%d abandoned:%d", t.tally.Answers, t.tally.Failed, t.tally.Slow, t.tally.Abandoned))
	}
}
