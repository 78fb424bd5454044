package exchange

import "github.com/quetzalweir/quetzalweir/placement"

// maxReads bounds the reads that a hub keeps for hosts that ask late, and what it tells
// at once: some seconds of a large installation's, of 11 bytes each.
const maxReads = 512

// readLog numbers the reads that a hub was told. A host names the last number that it
// knows and is told the rest.
type readLog struct {
	entries []readEntry
	last    uint64
}

type readEntry struct {
	upstream Name
	key      placement.Key
	from     string
	fromHub  bool
}

// add takes what a host or another hub told.
func (l *readLog) add(from string, fromHub bool, reads Reads) {
	for upstream, keys := range reads {
		for _, key := range keys {
			l.entries = append(l.entries, readEntry{upstream: upstream, key: key, from: from, fromHub: fromHub})
			l.last++
		}
	}
	if surplus := len(l.entries) - maxReads; surplus > 0 {
		l.entries = append([]readEntry(nil), l.entries[surplus:]...)
	}
}

// since is what others than the host told after a number. A number of another hub, or of
// this one before it started anew, names nothing: all that is known is told.
func (l *readLog) since(number uint64, self string, who audience) Reads {
	n := len(l.entries)
	if number <= l.last {
		n = int(min(uint64(n), l.last-number))
	}
	reads := make(Reads)
	for _, e := range l.entries[len(l.entries)-n:] {
		if e.from == self || who == toHub && e.fromHub {
			continue
		}
		reads[e.upstream] = append(reads[e.upstream], e.key)
	}
	return reads
}
