package exchange

import "github.com/quetzalweir/quetzalweir/placement"

// maxReads bounds the reads that a hub keeps for hosts that report late, and those that it
// sends at once: a few seconds of a large installation's reads, of 11 bytes each.
const maxReads = 512

// readLog numbers the reads that a hub has received. A host sends the last number that it has
// and receives the rest.
type readLog struct {
	entries []loggedRead
	last    uint64
}

type loggedRead struct {
	upstream IDHash
	key      placement.PrefixKey
	from     string
	fromHub  bool
}

// add appends the reads of a host or another hub.
func (l *readLog) add(from string, fromHub bool, reads Reads) {
	for upstream, keys := range reads {
		for _, key := range keys {
			l.entries = append(l.entries, loggedRead{upstream: upstream, key: key, from: from, fromHub: fromHub})
			l.last++
		}
	}
	if surplus := len(l.entries) - maxReads; surplus > 0 {
		l.entries = append([]loggedRead(nil), l.entries[surplus:]...)
	}
}

// since returns the reads of hosts other than self after the number. A number above the last
// one comes from another hub, or from this one before a restart; all reads are returned then.
func (l *readLog) since(number uint64, self string, to audience) Reads {
	n := len(l.entries)
	if number <= l.last {
		n = int(min(uint64(n), l.last-number))
	}
	reads := make(Reads)
	for _, e := range l.entries[len(l.entries)-n:] {
		if e.from == self || to == toHub && e.fromHub {
			continue
		}
		reads[e.upstream] = append(reads[e.upstream], e.key)
	}
	return reads
}
