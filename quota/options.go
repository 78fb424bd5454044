package quota

import (
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Slots is the number of equal slots of each account's limit. It is part of
// the row format: hosts with different values would exceed the limit.
const Slots = 4096

// Defaults of Options.
const (
	DefaultTTL      = 10 * time.Minute
	DefaultInterval = 5 * time.Second
	DefaultTimeout  = 2 * time.Second
	DefaultLoanTerm = 5 * time.Second
)

// Limit is the limit of one client account over all hosts.
type Limit struct {
	Account string
	// Rate is in requests per second; 0 or less means no limit.
	Rate float64
	// Burst is the number of requests allowed at once; below 1 counts as 1.
	Burst float64
}

// Options configures a Limiter. Zero values mean the defaults.
type Options struct {
	Table storage.Table
	// Host is this host's name; its holdings are recorded under this name and a
	// random suffix.
	Host string
	// Peers requests loans from other hosts; nil disables loans.
	Peers Peers
	// Clock is the source of time; default boottime.Now. It must advance while
	// the process is stopped or the machine is suspended.
	Clock storage.Clock
	// TTL is the duration of the lease on all holdings of the host; default
	// 10 min. A host can use its slots for up to TTL while the table is
	// unreachable, and the slots of a host that crashed stay unused for a
	// little more than TTL.
	TTL time.Duration
	// Interval is the time between reconciliations with the rows; default 5 s.
	Interval time.Duration
	// Timeout bounds each call of the table or a peer; default 2 s.
	Timeout time.Duration
	// LoanTerm is the duration of a loan; default 5 s.
	LoanTerm time.Duration
	// UnleasedShare is the part of each limit, from 0 to 1, that the host allows
	// while it holds no lease; default 0. Each host without a lease can add this
	// part to what all hosts together allow, beyond the limit.
	UnleasedShare float64
	// NewID returns the random suffix of the holder ID, without dots; default
	// a UUID.
	NewID func() string
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	defaults.Positive(&o.TTL, DefaultTTL)
	defaults.Positive(&o.Interval, DefaultInterval)
	defaults.Positive(&o.Timeout, DefaultTimeout)
	defaults.Positive(&o.LoanTerm, DefaultLoanTerm)
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return o
}

// renewalAge returns the age at which a lease is renewed.
func (o Options) renewalAge() time.Duration {
	return o.TTL / 4
}

// withClockMargin lengthens a duration by 2% and a second, because another host
// measures it too and clocks run at different speeds.
func withClockMargin(d time.Duration) time.Duration {
	return d + d/50 + time.Second
}
