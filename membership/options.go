package membership

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Default intervals and bounds.
const (
	DefaultInterval           = time.Second
	DefaultProbeTimeout       = 500 * time.Millisecond
	DefaultIndirectTimeout    = 900 * time.Millisecond
	DefaultSuspicionTimeout   = 2500 * time.Millisecond
	DefaultSyncInterval       = 5 * time.Second
	DefaultPushDelay          = 10 * time.Millisecond
	DefaultPresenceTTL        = 30 * time.Second
	DefaultRenewInterval      = 10 * time.Second
	DefaultDiscoverInterval   = 30 * time.Second
	DefaultTableTimeout       = 5 * time.Second
	DefaultDownRetention      = 10 * time.Minute
	DefaultTombstoneRetention = 10 * time.Minute
	DefaultZoneTargets        = 2
	DefaultGlobalTargets      = 1
	DefaultDelegates          = 1
	DefaultHelpers            = 3
	DefaultPushFanout         = 4
	DefaultMaxFacts           = 4096
	DefaultMaxNewsBytes       = 4 << 10
	DefaultMaxSyncBytes       = 16 << 10
)

// Options configures a Membership. Zero values take the defaults.
type Options struct {
	// Self is this host; State and Incarnation are set by New.
	Self Member
	// Table holds the presence rows; nil does without.
	Table storage.Table
	// Seeds are peer addresses to talk to while no other member is known.
	Seeds []string
	// Transport carries the exchanges.
	Transport Transport

	// Interval is the time between rounds; default 1 s, jittered by a tenth.
	Interval time.Duration
	// ProbeTimeout bounds one exchange; default 500 ms.
	ProbeTimeout time.Duration
	// IndirectTimeout bounds a probe through another host; default 900 ms.
	IndirectTimeout time.Duration
	// SuspicionTimeout is how long a member stays Suspect; default 2.5 s.
	SuspicionTimeout time.Duration
	// SyncInterval is the least time between comparisons; default 5 s.
	SyncInterval time.Duration
	// PushDelay is how long news waits for more to join it; default 10 ms.
	PushDelay time.Duration

	// PresenceTTL is the lease of the presence row; default 30 s. It is
	// renewed each RenewInterval; default 10 s.
	PresenceTTL   time.Duration
	RenewInterval time.Duration
	// DiscoverInterval is the least time between listings of the presence
	// rows; default 30 s.
	DiscoverInterval time.Duration
	// TableTimeout bounds one call of the table; default 5 s.
	TableTimeout time.Duration

	// DownRetention is how long a member that is Down stays known; default
	// 10 min.
	DownRetention time.Duration
	// TombstoneRetention is how long the version of an expired fact stays
	// known; default 10 min.
	TombstoneRetention time.Duration

	// ZoneTargets and GlobalTargets are the neighbours that this host watches
	// over, in its zone and in the whole; defaults 2 and 1.
	ZoneTargets   int
	GlobalTargets int
	// Delegates are the hosts of other zones that it talks to in a round;
	// default 1.
	Delegates int
	// Helpers is the number of hosts that are asked to probe; default 3.
	Helpers int
	// PushFanout is the number of hosts that news is pushed to; default 4.
	PushFanout int
	// MaxFacts bounds the number of facts, expired ones included; default
	// 4096.
	MaxFacts int
	// MaxNewsBytes bounds the records of an exchange or push; default 4 KiB.
	// What doesn't fit goes with the next.
	MaxNewsBytes int
	// MaxSyncBytes bounds the records of a comparison; default 16 KiB.
	MaxSyncBytes int

	// Seed makes the random choices repeatable; zero takes a random one.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&o.IndirectTimeout, DefaultIndirectTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.SyncInterval, DefaultSyncInterval)
	setDefault(&o.PushDelay, DefaultPushDelay)
	setDefault(&o.PresenceTTL, DefaultPresenceTTL)
	setDefault(&o.RenewInterval, DefaultRenewInterval)
	setDefault(&o.DiscoverInterval, DefaultDiscoverInterval)
	setDefault(&o.TableTimeout, DefaultTableTimeout)
	setDefault(&o.DownRetention, DefaultDownRetention)
	setDefault(&o.TombstoneRetention, DefaultTombstoneRetention)
	setDefault(&o.ZoneTargets, DefaultZoneTargets)
	setDefault(&o.GlobalTargets, DefaultGlobalTargets)
	setDefault(&o.Delegates, DefaultDelegates)
	setDefault(&o.Helpers, DefaultHelpers)
	setDefault(&o.PushFanout, DefaultPushFanout)
	setDefault(&o.MaxFacts, DefaultMaxFacts)
	setDefault(&o.MaxNewsBytes, DefaultMaxNewsBytes)
	setDefault(&o.MaxSyncBytes, DefaultMaxSyncBytes)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// setDefault replaces a value that isn't positive.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
