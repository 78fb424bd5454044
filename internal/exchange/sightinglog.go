package exchange

import (
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// sightingLog numbers the sightings that a hub has received; lastSeq is the number of the last
// entry. Another hub sends the sequence number of the last entry that it has, receives the
// entries after it, and drops those that it already received from elsewhere.
type sightingLog struct {
	entries []sighting
	lastSeq uint64
}

// sighting is a loss or, if answered is set, a survival. For a loss, at is when the upstream
// terminated, and ran is how long the request had been at the upstream by then.
type sighting struct {
	digest      quarantine.Digest
	incarnation quarantine.Incarnation
	at          time.Time
	ran         time.Duration
	answered    bool
	// from is the sender's key in the hub's reports: a host's name or, for another hub, hubKey
	// of its address.
	from string
}

// maxSightingLog bounds the sightings that a hub keeps for other hubs, in entries of about 60
// bytes.
const maxSightingLog = 4096

func (l *sightingLog) add(from string, s Sightings, now time.Time) {
	for _, loss := range s.Losses {
		l.entries = append(l.entries, sighting{digest: loss.Digest, incarnation: loss.Incarnation, at: now.Add(-loss.Age), ran: loss.Ran, from: from})
	}
	for _, d := range s.Answered {
		l.entries = append(l.entries, sighting{digest: d, answered: true, from: from})
	}
	l.lastSeq += uint64(len(s.Losses) + len(s.Answered))
	if surplus := len(l.entries) - maxSightingLog; surplus > 0 {
		l.entries = slices.Clone(l.entries[surplus:])
	}
}

// since returns the sightings after the sequence number, oldest first, except those that came
// from the requester. It reads at most maxSightings entries, and also returns the sequence
// number of the last entry read. A number above lastSeq refers to another hub, or to this one
// before a restart; all entries count as new then.
func (l *sightingLog) since(seq uint64, requester string, now time.Time) (Sightings, uint64) {
	count := len(l.entries)
	if seq <= l.lastSeq {
		count = int(min(uint64(count), l.lastSeq-seq))
	}
	unsent := l.entries[len(l.entries)-count:]
	lastReturned := l.lastSeq
	if len(unsent) > maxSightings {
		lastReturned -= uint64(len(unsent) - maxSightings)
		unsent = unsent[:maxSightings]
	}
	var s Sightings
	for _, e := range unsent {
		switch {
		case e.from == requester:
		case e.answered:
			s.Answered = append(s.Answered, e.digest)
		default:
			s.Losses = append(s.Losses, AgedLoss{Digest: e.digest, Incarnation: e.incarnation, Age: now.Sub(e.at), Ran: e.ran})
		}
	}
	return s, lastReturned
}
