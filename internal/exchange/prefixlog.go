package exchange

import "github.com/quetzalweir/quetzalweir/placement"

// maxLoggedPrefixes bounds the entries that a hub keeps for hosts that report late, and those
// in one reply. A large installation produces as many in a few seconds. Each takes 11 bytes in
// a message.
const maxLoggedPrefixes = 512

// prefixLog holds the shared prompt prefixes that hosts reported as sent to an upstream for the
// first time.
type prefixLog struct{ relayLog[loggedPrefix] }

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
			l.relayLog.add(loggedPrefix{upstream: upstream, key: key, from: from, fromHub: fromHub})
		}
	}
	l.trim(maxLoggedPrefixes)
}

// since returns the entries after the sequence number that came from hosts other than self, and
// the number of the last entry.
func (l *prefixLog) since(seq uint64, self string, to audience) (SentPrefixes, uint64) {
	list, last := l.relayLog.since(seq, maxLoggedPrefixes, func(e loggedPrefix) bool { return e.from != self && (to != toHub || !e.fromHub) })
	prefixes := make(SentPrefixes)
	for _, e := range list {
		prefixes[e.upstream] = append(prefixes[e.upstream], e.key)
	}
	return prefixes, last
}
