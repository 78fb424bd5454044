package quota

import (
	"time"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/internal/defaults"
	"github.com/quetzalweir/quetzalweir/storage"
)

// Slots is the number of equal slots of each account's limit. It is part of
// the row format: hosts that disagree on it would overspend.
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
	// Burst is how many requests may come at once; below 1 counts as 1.
	Burst float64
}

// Options sets up a Limiter. Zero values take the defaults.
type Options struct {
	Table storage.Table
	// Host names this host; holdings are under this name and a random suffix.
	Host string
	// Peers reaches other hosts for loans; nil means that there are none.
	Peers Peers
	// Clock gives the time; default boottime.Now. It must not stand still while
	// the process is stopped.
	Clock storage.Clock
	// TTL is the lease on all holdings of the host; default 10 min. A host
	// can spend for up to TTL without the table, and the slots of a host that
	// died stay unused for a little more than TTL.
	TTL time.Duration
	// Interval is the time between passes over the rows; default 5 s.
	Interval time.Duration
	// Timeout bounds each call of the table or a peer; default 2 s.
	Timeout time.Duration
	// LoanTerm is how long a loan lasts; default 5 s.
	LoanTerm time.Duration
	// Floor is the part of each limit, from 0 to 1, that the host spends
	// while it holds no lease; default 0. Each host without a lease can add
	// this much to the limit.
	Floor float64
	// NewID makes the random suffix of the holder's name, without dots;
	// default a UUID.
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

// renewEvery is how old a lease is when it is renewed.
func (o Options) renewEvery() time.Duration {
	return o.TTL / 4
}

// withMargin lengthens a time that another host's clock measures, since clocks
// run at unlike speeds: 2% and a second.
func withMargin(d time.Duration) time.Duration {
	return d + d/50 + time.Second
}
