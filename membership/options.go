package membership

import (
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Defaults of Options.
const (
	DefaultRoundInterval      = time.Second
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
	DefaultIndirectProbes     = 3
	DefaultPushFanout         = 4
	DefaultMaxFacts           = 4096
	DefaultMaxUpdateBytes     = 4 << 10
	DefaultMaxSyncBytes       = 16 << 10
)

// Options configures a Membership. Zero values take the defaults.
type Options struct {
	// Self is this host; State and Incarnation are set by New.
	Self Member
	// Table holds the presence rows; nil disables them.
	Table storage.Table
	// Seeds are peer addresses to contact while there is no other live member.
	Seeds []string
	// Transport sends the messages.
	Transport Transport

	// RoundInterval is the time between rounds; default 1 s, jittered by a tenth.
	RoundInterval time.Duration
	// ProbeTimeout is the timeout of one exchange; default 500 ms.
	ProbeTimeout time.Duration
	// IndirectTimeout is the timeout of an indirect probe; default 900 ms.
	IndirectTimeout time.Duration
	// SuspicionTimeout is how long a member is Suspect before it is Down;
	// default 2.5 s.
	SuspicionTimeout time.Duration
	// SyncInterval is the minimum time between syncs; default 5 s, jittered by a
	// tenth.
	SyncInterval time.Duration
	// PushDelay is the delay before a push, during which further updates are
	// added to it; default 10 ms.
	PushDelay time.Duration

	// PresenceTTL is the duration of the lease that the presence row stands for;
	// default 30 s. The row is renewed every RenewInterval; default 10 s.
	PresenceTTL   time.Duration
	RenewInterval time.Duration
	// DiscoverInterval is the minimum time between listings of the presence
	// rows while there are other live members; default 30 s.
	DiscoverInterval time.Duration
	// TableTimeout is the timeout of one call of the table; default 5 s.
	TableTimeout time.Duration

	// DownRetention is how long a member that is Down is retained; default
	// 10 min.
	DownRetention time.Duration
	// TombstoneRetention is how long the version of an expired fact is
	// retained; default 10 min.
	TombstoneRetention time.Duration

	// ZoneTargets and GlobalTargets are the numbers of neighbours that this host
	// probes, on the ring of its zone and on the ring of all hosts; defaults 2
	// and 1.
	ZoneTargets   int
	GlobalTargets int
	// Delegates is the number of hosts in other zones with which this host
	// exchanges messages in each round; default 1.
	Delegates int
	// IndirectProbes is the maximum number of hosts that are asked to probe a
	// member indirectly; default 3.
	IndirectProbes int
	// PushFanout is the number of hosts that updates are pushed to; default 4.
	PushFanout int
	// MaxFacts is the maximum number of facts, including expired ones; default
	// 4096.
	MaxFacts int
	// MaxUpdateBytes is the maximum size of the records in a message of a regular
	// exchange or push; default 4 KiB. Further records are sent with the next
	// message.
	MaxUpdateBytes int
	// MaxSyncBytes is the maximum size of the records in a message of a sync;
	// default 16 KiB.
	MaxSyncBytes int

	// Seed seeds the random choices, which makes them reproducible; zero means a
	// random seed.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.RoundInterval, DefaultRoundInterval)
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
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.PushFanout, DefaultPushFanout)
	setDefault(&o.MaxFacts, DefaultMaxFacts)
	setDefault(&o.MaxUpdateBytes, DefaultMaxUpdateBytes)
	setDefault(&o.MaxSyncBytes, DefaultMaxSyncBytes)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// setDefault sets a value that isn't positive to the default.
func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
