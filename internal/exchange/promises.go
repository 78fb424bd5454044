package exchange

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/returnschedule"
)

// Promise is a reservation for a rejected request whose caller returns in the time In. It isn't sent
// after that time.
type Promise struct {
	Key    returnschedule.Key
	In     time.Duration
	Second bool
}

// Promises is a list of reservations on the wire.
type Promises []Promise

const (
	// promiseEntrySize is the size of an encoded entry in bytes, before base64: the key, and two
	// bytes with the time in milliseconds and the flag for a second reservation in the highest bit.
	promiseEntrySize = returnschedule.KeyBits/8 + 2
	secondPromise    = 1 << 15
	// maxPromises bounds the entries in one message, so that a host receives at most 1.3 KB of them
	// a second.
	maxPromises = 16
	// maxLoggedPromises is the number of those that a hub keeps for later messages; it drops others
	// once there are twice as many. A receiver gets at most 107 a second, and all are due within
	// returnschedule.Horizon.
	maxLoggedPromises = 1024
	// maxUnsentPromises bounds those that a host keeps for its hub.
	maxUnsentPromises = 256
)

// MarshalJSON implements json.Marshaler.
func (l Promises) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, promiseEntrySize*len(l))
	for _, p := range l {
		in := uint16(min(secondPromise-1, max(0, p.In.Milliseconds())))
		if p.Second {
			in |= secondPromise
		}
		packed = binary.BigEndian.AppendUint64(packed, uint64(p.Key)<<16|uint64(in))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Promises) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, promiseEntrySize)
	if err != nil {
		return err
	}
	*l = make(Promises, 0, len(packed)/promiseEntrySize)
	for entry := range slices.Chunk(packed, promiseEntrySize) {
		v := binary.BigEndian.Uint64(entry)
		*l = append(*l, Promise{
			Key: returnschedule.Key(v >> 16), In: time.Duration(v&(secondPromise-1)) * time.Millisecond, Second: v&secondPromise != 0,
		})
	}
	return nil
}

// promisesIn returns the reservations with the times until they are due.
func promisesIn(list []returnschedule.Promise, now time.Time) Promises {
	in := make(Promises, len(list))
	for i, p := range list {
		in[i] = Promise{Key: p.Key, In: p.Due.Sub(now), Second: p.Second}
	}
	return in
}

// at returns the reservations with the times at which they are due.
func (l Promises) at(now time.Time) []returnschedule.Promise {
	at := make([]returnschedule.Promise, len(l))
	for i, p := range l {
		at[i] = returnschedule.Promise{Key: p.Key, Due: now.Add(p.In), Second: p.Second}
	}
	return at
}

// promiseLog holds the reservations that hosts and other hubs reported.
type promiseLog struct{ relayLog[loggedPromise] }

// loggedPromise is a reservation. from is the host that reported it or, if fromHub is set, the
// address of the hub that passed it on.
type loggedPromise struct {
	promise returnschedule.Promise
	from    string
	fromHub bool
}

// add appends the reservations that a host or another hub sent, at most as many as a message may
// hold.
func (l *promiseLog) add(from string, fromHub bool, list Promises, now time.Time) {
	for _, p := range list[:min(maxPromises, len(list))].at(now) {
		l.relayLog.add(loggedPromise{promise: p, from: from, fromHub: fromHub})
	}
	if len(l.entries) >= 2*maxLoggedPromises {
		l.trim(maxLoggedPromises) // rarely, since it copies the log
	}
}

// since returns the entries after the sequence number that came from hosts other than self, oldest
// first and at most maxPromises, and the number of the last entry that it considered. It leaves out
// those that are due: if hosts make more reservations than messages hold, the entries would
// otherwise all arrive after their callers.
func (l *promiseLog) since(seq uint64, self string, to audience, now time.Time) (Promises, uint64) {
	entries, last := l.relayLog.since(seq, maxPromises, func(e loggedPromise) bool {
		return e.from != self && (to != toHub || !e.fromHub) && e.promise.Due.After(now)
	})
	list := make([]returnschedule.Promise, len(entries))
	for i, e := range entries {
		list[i] = e.promise
	}
	return promisesIn(list, now), last
}

// recordPromises stores the reservations that a host or another hub reported.
func (h *hub) recordPromises(from string, fromHub bool, list Promises) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.promises.add(from, fromHub, list, boottime.Now())
}

// promisesSince returns the reservations after the sequence number for a receiver, and the sequence
// number from which the next message continues.
func (h *hub) promisesSince(seq uint64, self string, to audience) (Promises, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.promises.since(seq, self, to, boottime.Now())
}

// nextPromises returns the reservations that the hub hasn't received yet, at most maxPromises. It
// drops those that are due before other hosts can receive them.
func (m *Member) nextPromises() Promises {
	if m.options.Promises == nil {
		return nil
	}
	now := boottime.Now()
	unsent := append(m.unsentPromises, m.options.Promises()...)
	unsent = slices.DeleteFunc(unsent, func(p returnschedule.Promise) bool { return !p.Due.After(now) })
	m.unsentPromises = unsent[max(0, len(unsent)-maxUnsentPromises):]
	return promisesIn(m.unsentPromises[:min(maxPromises, len(m.unsentPromises))], now)
}

// deliverPromises passes reservations of other hosts to OnPromises.
func (m *Member) deliverPromises(list Promises) {
	if m.options.OnPromises != nil && len(list) > 0 {
		m.options.OnPromises(list[:min(maxPromises, len(list))].at(boottime.Now()))
	}
}

// deliverOwnHubPromises passes the new entries of the log of this host's own hub to OnPromises.
func (m *Member) deliverOwnHubPromises() {
	var list Promises
	list, m.ownHubPromiseSeq = m.ownHub.promisesSince(m.ownHubPromiseSeq, m.options.Host, toHost)
	m.deliverPromises(list)
}

var (
	_ json.Marshaler   = Promises{}
	_ json.Unmarshaler = (*Promises)(nil)
)
