package gateway

import (
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// returnRequest describes a rejected request for which a time to return is chosen.
type returnRequest struct {
	service string
	digest  quarantine.Digest
	rank    int
	// overShare is set if the client account uses more than its share.
	overShare bool
	// work is the engine time that the request needs. earliest is when the requests that wait now
	// are expected to be served. remaining is the time until the deadline.
	work      time.Duration
	earliest  time.Duration
	remaining time.Duration
}

// returnTimes chooses the times at which rejected requests return, and recognizes those that do.
type returnTimes struct{}

// reserve returns the Retry-After of a rejection for lack of capacity; 0 for the default.
func (t *returnTimes) reserve(r returnRequest, now time.Time) time.Duration { return 0 }

// redeem reports whether the request returned at the time that was reserved for it. It ends the
// reservation.
func (t *returnTimes) redeem(service string, digest quarantine.Digest, now time.Time) bool {
	return false
}
