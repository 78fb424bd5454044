package exchange

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// sightingLog numbers the sightings that a hub has received. Another hub sends the last number
// that it has and receives the rest; it drops those that reached it another way.
type sightingLog struct {
	entries []sighting
	last    uint64
}

// sighting is a loss, or a suspect that was answered.
type sighting struct {
	digest      quarantine.Digest
	incarnation quarantine.Incarnation
	at          time.Time
	ran         time.Duration
	answered    bool
	// from is the host or hub that sent it.
	from string
}

// maxSightingLog bounds the sightings that a hub keeps for other hubs, in entries of some 60
// bytes.
const maxSightingLog = 4096

func (l *sightingLog) add(from string, s Sightings, now time.Time) {
	for _, loss := range s.Losses {
		l.entries = append(l.entries, sighting{digest: loss.Digest, incarnation: loss.Incarnation, at: now.Add(-loss.Age), ran: loss.Ran, from: from})
	}
	for _, d := range s.Answered {
		l.entries = append(l.entries, sighting{digest: d, answered: true, from: from})
	}
	l.last += uint64(len(s.Losses) + len(s.Answered))
	if surplus := len(l.entries) - maxSightingLog; surplus > 0 {
		l.entries = slices.Clone(l.entries[surplus:])
	}
}

// since returns the sightings after the number that didn't come from the asker, the oldest
// first and at most maxSightings, and the number of the last of them. A number above the last
// one comes from another hub, or from this one before a restart; all sightings are returned
// then.
func (l *sightingLog) since(number uint64, asker string, now time.Time) (Sightings, uint64) {
	n := len(l.entries)
	if number <= l.last {
		n = int(min(uint64(n), l.last-number))
	}
	unsent := l.entries[len(l.entries)-n:]
	last := l.last
	if len(unsent) > maxSightings {
		last -= uint64(len(unsent) - maxSightings)
		unsent = unsent[:maxSightings]
	}
	var s Sightings
	for _, e := range unsent {
		switch {
		case e.from == asker:
		case e.answered:
			s.Answered = append(s.Answered, e.digest)
		default:
			s.Losses = append(s.Losses, AgedLoss{Digest: e.digest, Incarnation: e.incarnation, Age: now.Sub(e.at), Ran: e.ran})
		}
	}
	return s, last
}
