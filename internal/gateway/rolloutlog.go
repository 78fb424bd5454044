package gateway

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/exchange"
)

// maxLoggedRoutes bounds the number of lines that logEvidence writes.
const maxLoggedRoutes = 20

// logEvidence logs the answers on which the end of a roll-out is decided, one line a route: those that this
// host counted, and the sums over all hosts.
func (ro *rollouts) logEvidence(sr *serviceRollout, cause string) {
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

func addTallies(line *zerolog.Event, prefix string, v exchange.VersionTallies) {
	for _, t := range []struct {
		name  string
		tally exchange.Tally
	}{{"old", v.Old}, {"new", v.New}, {"full_load", v.FullLoad}} {
		line.Str(prefix+t.name, fmt.Sprintf("answers:%d failed:%d slow:%d abandoned:%d", t.tally.Answers, t.tally.Failed, t.tally.Slow, t.tally.Abandoned))
	}
}
