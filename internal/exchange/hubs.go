package exchange

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/ratelease"
)

// question is what a hub knows of asking another one.
type question struct {
	// underWay says that an answer is waited for, next is when the next question may go
	// out, readsSince the number up to which the other hub's reads are known.
	underWay   bool
	next       time.Time
	readsSince uint64
	// sightingsSince is the same for its sightings, answered says that the last question
	// was answered.
	sightingsSince uint64
	answered       bool
	// limits is the same for its words of limits.
	limits ratelease.Mark
}

// askHubs asks the other hubs for the sums of their followers, each by itself, so that a
// dead one delays nothing.
func (m *Member) askHubs(ctx context.Context, net network) {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			continue
		}
		known, ok := m.begin(seed)
		if !ok {
			continue
		}
		report := Report{
			Zone: m.options.Zone, Address: m.options.Listen, Hub: true, ReadsSince: known.readsSince, SightingsSince: known.sightingsSince, LimitsKnown: known.limits, Revisions: m.revisions(),
			WantTimings: m.exchanges%timingsEvery == 1,
		}
		asked := boottime.Now()
		go func() {
			reply, err := ask(ctx, net, seed, report)
			if err != nil {
				net.forget(seed)
				m.end(seed, question{next: boottime.Now().Add(retryHub), readsSince: known.readsSince, sightingsSince: known.sightingsSince, limits: known.limits})
				return
			}
			m.hub.takeHub(seed, reply, reply.Hosts)
			m.hub.takeLimits(true, reply.Limits.Words, false)
			m.takeStanding(reply.Standing)
			m.offerIfLost(reply, asked)
			m.end(seed, question{readsSince: reply.ReadsLast, sightingsSince: reply.SightingsLast, limits: reply.Limits.Mark, answered: true})
		}()
	}
}

// offerIfLost passes another hub's word of the store on to the watchers that can't hear
// the store themselves: the store may turn single hosts away.
func (m *Member) offerIfLost(reply Reply, asked time.Time) {
	for name, w := range m.options.Tables {
		if news, ok := reply.Tables[name]; ok {
			w.OfferIfLost(news.news(), asked)
		}
	}
}

// begin says whether a hub may be asked, and what is known of it: no question is under way,
// and the last one didn't fail just now.
func (m *Member) begin(hub string) (known question, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.others[hub]
	if q == nil {
		q = &question{}
		m.others[hub] = q
	}
	if q.underWay || boottime.Now().Before(q.next) {
		return question{}, false
	}
	q.underWay = true
	return *q, true
}

// end notes that a question to a hub is over, and what is known of it then.
func (m *Member) end(hub string, known question) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.others[hub] = known
	m.noteSeeds()
}
