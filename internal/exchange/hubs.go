package exchange

import (
	"context"
	"time"
)

// question is what a hub knows of asking another one.
type question struct {
	// underWay says that an answer is waited for, next is when the next question may go
	// out, readsSince the number up to which the other hub's reads are known.
	underWay   bool
	next       time.Time
	readsSince uint64
}

// askHubs asks the other hubs for the sums of their followers, each by itself, so that a
// dead one delays nothing.
func (m *Member) askHubs(ctx context.Context, net network) {
	for _, seed := range m.options.Seeds {
		if seed == m.options.Listen {
			continue
		}
		since, ok := m.begin(seed)
		if !ok {
			continue
		}
		question := Report{
			Zone: m.options.Zone, Hub: true, ReadsSince: since, Revisions: m.revisions(),
			WantTimings: m.exchanges%timingsEvery == 1,
		}
		asked := time.Now()
		go func() {
			reply, err := ask(ctx, net, seed, question)
			if err != nil {
				net.forget(seed)
				m.end(seed, since, retryHub)
				return
			}
			m.hub.takeHub(seed, reply, reply.Hosts)
			m.offerIfLost(reply, asked)
			m.end(seed, reply.ReadsLast, 0)
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

// begin says whether a hub may be asked, and since which number for its reads: no question
// is under way, and the last one didn't fail just now.
func (m *Member) begin(hub string) (since uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.others[hub]
	if q == nil {
		q = &question{}
		m.others[hub] = q
	}
	if q.underWay || time.Now().Before(q.next) {
		return 0, false
	}
	q.underWay = true
	return q.readsSince, true
}

// end notes that a question to a hub is over, up to which number its reads are known and
// how long the next question waits.
func (m *Member) end(hub string, readsSince uint64, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*m.others[hub] = question{next: time.Now().Add(pause), readsSince: readsSince}
}
