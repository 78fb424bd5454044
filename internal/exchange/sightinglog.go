package exchange

import (
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// sightingLog holds the sightings that a hub has received. Another hub that reads it drops those
// that it already received from elsewhere.
type sightingLog struct{ relayLog[sighting] }

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
		l.relayLog.add(sighting{digest: loss.Digest, incarnation: loss.Incarnation, at: now.Add(-loss.Age), ran: loss.Ran, from: from})
	}
	for _, d := range s.Answered {
		l.relayLog.add(sighting{digest: d, answered: true, from: from})
	}
	l.trim(maxSightingLog)
}

// since returns the sightings after the sequence number, oldest first and at most maxSightings,
// except those that came from the requester, and the number of the last entry that it considered.
func (l *sightingLog) since(seq uint64, requester string, now time.Time) (Sightings, uint64) {
	list, last := l.relayLog.since(seq, maxSightings, func(e sighting) bool { return e.from != requester })
	var s Sightings
	for _, e := range list {
		if e.answered {
			s.Answered = append(s.Answered, e.digest)
		} else {
			s.Losses = append(s.Losses, AgedLoss{Digest: e.digest, Incarnation: e.incarnation, Age: now.Sub(e.at), Ran: e.ran})
		}
	}
	return s, last
}
