package exchange

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// sightingLog numbers what a hub was told. Another hub names the last number that it knows
// and is told the rest; what it knows by another way it drops.
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
	// from is who told it.
	from string
}

// maxSightingLog bounds what a hub keeps for other hubs, in entries of some 60 bytes.
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

// since is what others than the asker told after a number, the oldest first and of
// maxSightings at most, and the number of the last of these. A number of another hub, or of this one before it
// started anew, names nothing: all that is known is told.
func (l *sightingLog) since(number uint64, asker string, now time.Time) (Sightings, uint64) {
	n := len(l.entries)
	if number <= l.last {
		n = int(min(uint64(n), l.last-number))
	}
	told := l.entries[len(l.entries)-n:]
	last := l.last
	if len(told) > maxSightings {
		last -= uint64(len(told) - maxSightings)
		told = told[:maxSightings]
	}
	var s Sightings
	for _, e := range told {
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
