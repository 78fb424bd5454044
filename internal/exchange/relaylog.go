package exchange

import "slices"

// relayLog numbers the entries that a hub received from hosts and other hubs and relays to others;
// lastSeq is the number of the last entry. A receiver sends the number of the last entry that it
// has, and receives the entries after it.
type relayLog[T any] struct {
	entries []relayed[T]
	lastSeq uint64
}

// relayed is an entry of a relayLog.
type relayed[T any] struct {
	value T
	seq   uint64
}

func (l *relayLog[T]) add(value T) {
	l.lastSeq++
	l.entries = append(l.entries, relayed[T]{value: value, seq: l.lastSeq})
}

// trim drops the oldest entries until the given number is left.
func (l *relayLog[T]) trim(keep int) {
	if surplus := len(l.entries) - keep; surplus > 0 {
		l.entries = slices.Clone(l.entries[surplus:])
	}
}

// since returns the entries after the sequence number that suit the receiver, oldest first and at
// most the given number of them, and the number of the last entry that it considered. A number
// above lastSeq refers to another hub, or to this one before a restart; all entries are considered
// then.
func (l *relayLog[T]) since(seq uint64, most int, suits func(T) bool) ([]T, uint64) {
	if seq > l.lastSeq {
		seq = 0
	}
	var list []T
	for _, e := range l.entries {
		if e.seq <= seq || !suits(e.value) {
			continue
		}
		if len(list) == most {
			return list, seq
		}
		list, seq = append(list, e.value), e.seq
	}
	return list, l.lastSeq
}
