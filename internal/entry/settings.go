package entry

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/balance"
	"github.com/quetzalweir/quetzalweir/internal/peer"
	"github.com/quetzalweir/quetzalweir/session"
)

// Settings are the static settings of an entry host. Settings that operators change
// at run time are in the manifest.
type Settings struct {
	// ID is the host's unique ID.
	ID string
	// Zone is the host's availability zone.
	Zone string
	// Callers, Operators and Peers are the listeners' addresses, an IP and a port
	// each. Port 0 selects a free port.
	Callers   string
	Operators string
	Peers     string
	// AdvertisePeers is the address at which other hosts reach the Peers listener.
	// Empty means the listener's own address.
	AdvertisePeers string
	// Seeds are peer addresses of other hosts, used to join while the table isn't
	// available. They may be empty.
	Seeds []string
	// MaxBody is the maximum size of a request's body, in bytes. Default 8 MiB.
	MaxBody int64
	// MemoryBytes is the memory that the process may use. A part of it bounds what callers
	// take (package intake). Default 1 GiB.
	MemoryBytes int64
	// Capacity is the maximum number of requests that the host runs at once in one
	// pool. Default 1024.
	Capacity int
	// MaxQueue is the maximum number of requests that wait in one pool's queue.
	// Default 4096.
	MaxQueue int
	// QueueFactor is the ratio of the number of requests that all hosts together
	// admit to a pool at once to the number that the pool runs at once. Default 2.
	QueueFactor int
	// Selector chooses upstreams. Nil, the default, means the selector that
	// balance.NewSelector returns. Benchmarks set other selectors for comparison.
	Selector *balance.Selector
	// SessionKeys sign the session tokens. The first key signs new tokens; tokens
	// signed with any of the keys are accepted.
	SessionKeys []session.Key
	// PeerKeys authenticate the hosts to each other. A calling host offers them in
	// this order.
	PeerKeys []peer.Key
	// OperatorKeys are the bearer tokens accepted at the operators' address.
	OperatorKeys []string
	// FreshnessBound is the maximum age of the last confirmation of the manifest's
	// head. When it is exceeded, the host checks with its peers whether it is
	// isolated. Default 5 s.
	FreshnessBound time.Duration
	// PollHead is the interval at which the head is read from the table. Default 1 s.
	PollHead time.Duration
	// PollHosts is the interval at which the platform's host list is read. Default
	// 1 s.
	PollHosts time.Duration
	// PollLoad is the interval at which the load of each upstream that this host
	// sends to is requested. Default 500 ms.
	PollLoad time.Duration
	// CallerWriteTimeout is the timeout of one write to a slow caller. Default 30 s.
	CallerWriteTimeout time.Duration
	// BalancerLag is how long the balancer may still send new connections to the host
	// after the readiness check began to fail. Zero is a valid value, so Provision
	// doesn't replace it by DefaultBalancerLag, 3 s.
	BalancerLag time.Duration
	// StopTimeout is the maximum time for which a planned stop waits for requests in
	// flight. Requests that still run at its end are aborted. Default 10 min.
	StopTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultMaxBody        = 8 << 20
	DefaultMemoryBytes    = 1 << 30
	DefaultCapacity       = 1024
	DefaultMaxQueue       = 4096
	DefaultQueueFactor    = 2
	DefaultFreshnessBound = 5 * time.Second
	DefaultPollHead       = time.Second
	DefaultPollHosts      = time.Second
	DefaultPollLoad       = 500 * time.Millisecond
	DefaultBalancerLag    = 3 * time.Second
	DefaultStopTimeout    = 10 * time.Minute

	DefaultCallerWriteTimeout = 30 * time.Second
)

// Provision sets fields that are zero to their defaults, except BalancerLag.
func (s *Settings) Provision() {
	setDefault(&s.MaxBody, DefaultMaxBody)
	setDefault(&s.MemoryBytes, DefaultMemoryBytes)
	setDefault(&s.Capacity, DefaultCapacity)
	setDefault(&s.MaxQueue, DefaultMaxQueue)
	setDefault(&s.QueueFactor, DefaultQueueFactor)
	setDefault(&s.FreshnessBound, DefaultFreshnessBound)
	setDefault(&s.PollHead, DefaultPollHead)
	setDefault(&s.PollHosts, DefaultPollHosts)
	setDefault(&s.PollLoad, DefaultPollLoad)
	setDefault(&s.StopTimeout, DefaultStopTimeout)
	setDefault(&s.CallerWriteTimeout, DefaultCallerWriteTimeout)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns all errors in the settings, joined.
func (s *Settings) Validate() error {
	return errors.Join(
		checkRequired("id", s.ID),
		checkRequired("zone", s.Zone),
		checkAddress("callers", s.Callers),
		checkAddress("operators", s.Operators),
		checkAddress("peers", s.Peers),
		s.validateAdvertised(),
		checkPositive("max-body", s.MaxBody),
		checkPositive("memory-mb", s.MemoryBytes),
		checkPositive("capacity", int64(s.Capacity)),
		checkPositive("max-queue", int64(s.MaxQueue)),
		checkPositive("freshness-bound", int64(s.FreshnessBound)),
		checkPositive("poll-head", int64(s.PollHead)),
		checkPositive("poll-hosts", int64(s.PollHosts)),
		checkPositive("poll-load", int64(s.PollLoad)),
		checkPositive("caller-write-timeout", int64(s.CallerWriteTimeout)),
		checkPositive("stop-timeout", int64(s.StopTimeout)),
		checkKeyCount("session-keys", len(s.SessionKeys)),
		checkKeyCount("peer-keys", len(s.PeerKeys)),
		checkKeyCount("operator-keys", len(s.OperatorKeys)),
	)
}

func (s *Settings) validateAdvertised() error {
	if s.AdvertisePeers == "" {
		return nil
	}
	return checkAddress("advertise-peers", s.AdvertisePeers)
}

// SettingError returns an error that names the flag and the environment variable of
// a setting.
func SettingError(flag, format string, args ...any) error {
	variable := "QUETZALWEIR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	return fmt.Errorf("--%s (%s): %s", flag, variable, fmt.Sprintf(format, args...))
}

func checkRequired(flag, value string) error {
	if value == "" {
		return SettingError(flag, "must be set")
	}
	return nil
}

func checkAddress(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return SettingError(flag, "must be an IP and a port, like 10.0.0.7:8080, not %q", value)
	}
	return nil
}

func checkPositive(flag string, value int64) error {
	if value <= 0 {
		return SettingError(flag, "must be above zero")
	}
	return nil
}

func checkKeyCount(flag string, n int) error {
	if n == 0 {
		return SettingError(flag, "needs at least one key")
	}
	return nil
}
