package returnschedule

import (
	"hash/fnv"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Key identifies the requests with one digest at one service, in its lower KeyBits bits. Among
// 4,096 reservations and 14,000 requests a second, two different requests have the same key about
// once in two months; one of them is then served early.
type Key uint64

// KeyBits is the number of bits of a key.
const KeyBits = 48

// KeyOf returns the key of the requests with the digest at the service.
func KeyOf(service string, digest quarantine.Digest) Key {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service)) // never fails
	_, _ = h.Write(digest[:])
	sum := h.Sum64()
	return Key((sum ^ sum>>KeyBits) & (1<<KeyBits - 1))
}

// Promise is a reservation as hosts exchange it.
type Promise struct {
	Key Key
	// Due is the time for which the caller was told to return.
	Due time.Time
	// Second is set if the request had returned for an earlier reservation and was rejected again.
	Second bool
}

// Return is the relation of an arriving request to the reservations with its key.
type Return int

const (
	// NoReturn means that there is no reservation for the request.
	NoReturn Return = iota
	// Early means that the request arrived before the window of its reservation, which remains.
	Early
	// InWindow means that the request arrived in the window of its reservation, which ends.
	InWindow
	// Late means that the request arrived after the window of its reservation, which ends.
	Late
)

// String returns the name that logs and metrics use.
func (r Return) String() string {
	return [...]string{"none", "early", "in-window", "late"}[r]
}

const (
	// EarlyWindow and LateWindow are how long before and after its time a request has precedence. A
	// caller's timer and connection take some milliseconds, and hosts under load some tens. The
	// window is wider at its end, since a caller that a busy host accepts late has waited longer. It
	// begins at the earliest after half of the time that the caller was given, so that an immediate
	// repeat isn't in it.
	EarlyWindow = 150 * time.Millisecond
	LateWindow  = 500 * time.Millisecond
	// retention is how long after its time a reservation remains in the table. A caller that
	// returns later has probably no time left for another reservation.
	retention = 2 * time.Second
	// returnedRetention is how long it is known that a request returned. A queued request is
	// rejected after at most an eighth of its route's target, which is at most 0.5 s.
	returnedRetention = time.Second
)

// reservation is an entry of the table.
type reservation struct {
	due time.Time
	// early is the length of the window before the due time.
	early  time.Duration
	second bool
	// own is set if this host made the reservation.
	own bool
	// earlyArrivals counts the requests that arrived before the window and weren't rejected yet.
	// stated counts how often callers were given the time.
	earlyArrivals, stated int
	// returned is the relation of the request that ended the reservation; NoReturn until then.
	// returnedAt is when it arrived.
	returned   Return
	returnedAt time.Time
}

// expired reports whether the reservation is no longer needed.
func (r *reservation) expired(now time.Time) bool {
	if r.returned != NoReturn {
		return now.Sub(r.returnedAt) > returnedRetention
	}
	return now.Sub(r.due) > retention
}

// relation returns the relation of a request that arrives now to the open reservation.
func (r *reservation) relation(now time.Time) Return {
	switch ahead := r.due.Sub(now); {
	case ahead > r.early:
		return Early
	case ahead >= -LateWindow:
		return InWindow
	default:
		return Late
	}
}
