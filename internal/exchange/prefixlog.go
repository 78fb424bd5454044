package exchange

import "github.com/quetzalweir/quetzalweir/placement"

// maxLoggedPrefixes bounds the entries that a hub keeps for hosts that report late, and those
// in one reply. A large installation produces as many in a few seconds. Each takes 11 bytes in
// a message.
const maxLoggedPrefixes = 512

// prefixLog numbers the shared prompt prefixes that hosts reported as sent to an upstream for
// the first time; lastSeq is the number of the last entry. A host reports the sequence number
// of the last entry that it has, and receives the entries after it.
type prefixLog struct {
	entries []loggedPrefix
	lastSeq uint64
}

// loggedPrefix is a prefix that was sent to an upstream. from is the host that reported it or,
// if fromHub is set, the address of the hub that passed it on.
type loggedPrefix struct {
	upstream IDHash
	key      placement.PrefixKey
	from     string
	fromHub  bool
}

// add appends the prefixes that a host or another hub sent.
func (l *prefixLog) add(from string, fromHub bool, prefixes SentPrefixes) {
	for upstream, keys := range prefixes {
		for _, key := range keys {
			l.entries = append(l.entries, loggedPrefix{upstream: upstream, key: key, from: from, fromHub: fromHub})
			l.lastSeq++
		}
	}
	if surplus := len(l.entries) - maxLoggedPrefixes; surplus > 0 {
		l.entries = append([]loggedPrefix(nil), l.entries[surplus:]...)
	}
}

// since returns the entries after the sequence number that came from hosts other than self. A
// number above the last one refers to another hub, or to this one before a restart; all entries
// are returned then.
func (l *prefixLog) since(seq uint64, self string, to audience) SentPrefixes {
	count := len(l.entries)
	if seq <= l.lastSeq {
		count = int(min(uint64(count), l.lastSeq-seq))
	}
	prefixes := make(SentPrefixes)
	for _, e := range l.entries[len(l.entries)-count:] {
		if e.from == self || to == toHub && e.fromHub {
			continue
		}
		prefixes[e.upstream] = append(prefixes[e.upstream], e.key)
	}
	return prefixes
}
