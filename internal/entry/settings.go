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

// Settings are the static settings of an entry host. What the operators
// declare is in the manifest, not here.
type Settings struct {
	// ID names the host; it must differ from all others.
	ID string
	// Zone is the host's availability zone.
	Zone string
	// Callers, Operators and Peers are the listeners' addresses, IP and port.
	// Port 0 takes a free one.
	Callers   string
	Operators string
	Peers     string
	// AdvertisePeers is the address under which other hosts reach Peers; empty
	// means Peers itself.
	AdvertisePeers string
	// Seeds are peer addresses of other hosts, to start by while the table is
	// down. They may be empty.
	Seeds []string
	// MaxBody bounds a request's body, in bytes. Default 8 MiB.
	MaxBody int64
	// Capacity is how many requests the host runs at once. Default 1024.
	Capacity int
	// MaxQueue is how many requests wait at most. Default 4096.
	MaxQueue int
	// QueueFactor is how many requests all hosts together let into a pool for
	// each one that it runs at once. Default 2.
	QueueFactor int
	// Selector chooses upstreams. Default nil: the chain of
	// balance.NewSelector. Measurements set others to compare with.
	Selector *balance.Selector
	// SessionKeys sign the session tokens; the first signs, all verify.
	SessionKeys []session.Key
	// PeerKeys authenticate the hosts to each other; the first is offered.
	PeerKeys []peer.Key
	// OperatorKeys are the bearer tokens of the operators' address.
	OperatorKeys []string
	// FreshnessBound is how old the word of the manifest's head may be before
	// the host asks whether it is cut off. Default 5 s.
	FreshnessBound time.Duration
	// PollHead is how often the head is read from the table. Default 1 s.
	PollHead time.Duration
	// PollHosts is how often the platform's host list is read. Default 1 s.
	PollHosts time.Duration
	// PollLoad is how often each upstream in reach is asked for its load.
	// Default 500 ms.
	PollLoad time.Duration
	// CallerWriteTimeout bounds one write to a caller that reads slowly.
	// Default 30 s.
	CallerWriteTimeout time.Duration
	// BalancerLag is how long the balancer may go on sending after the host
	// said that it isn't ready. Default 3 s.
	BalancerLag time.Duration
	// StopTimeout bounds a planned stop; requests still running after it are
	// cut. Default 10 min.
	StopTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultMaxBody        = 8 << 20
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

// Provision fills in the defaults of fields that are zero.
func (s *Settings) Provision() {
	setDefault(&s.MaxBody, DefaultMaxBody)
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

// Validate returns all faults of the settings, joined.
func (s *Settings) Validate() error {
	return errors.Join(
		required("id", s.ID),
		required("zone", s.Zone),
		address("callers", s.Callers),
		address("operators", s.Operators),
		address("peers", s.Peers),
		s.validateAdvertised(),
		positive("max-body", s.MaxBody),
		positive("capacity", int64(s.Capacity)),
		positive("max-queue", int64(s.MaxQueue)),
		positive("freshness-bound", int64(s.FreshnessBound)),
		positive("poll-head", int64(s.PollHead)),
		positive("poll-hosts", int64(s.PollHosts)),
		positive("poll-load", int64(s.PollLoad)),
		positive("caller-write-timeout", int64(s.CallerWriteTimeout)),
		positive("stop-timeout", int64(s.StopTimeout)),
		present("session-keys", len(s.SessionKeys)),
		present("peer-keys", len(s.PeerKeys)),
		present("operator-keys", len(s.OperatorKeys)),
	)
}

func (s *Settings) validateAdvertised() error {
	if s.AdvertisePeers == "" {
		return nil
	}
	return address("advertise-peers", s.AdvertisePeers)
}

// SettingError names the flag and the environment variable of a fault.
func SettingError(flag, format string, args ...any) error {
	variable := "QUETZALWEIR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	return fmt.Errorf("--%s (%s): %s", flag, variable, fmt.Sprintf(format, args...))
}

func required(flag, value string) error {
	if value == "" {
		return SettingError(flag, "must be set")
	}
	return nil
}

func address(flag, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return SettingError(flag, "must be an IP and a port, like 10.0.0.7:8080, not %q", value)
	}
	return nil
}

func positive(flag string, value int64) error {
	if value <= 0 {
		return SettingError(flag, "must be above zero")
	}
	return nil
}

func present(flag string, n int) error {
	if n == 0 {
		return SettingError(flag, "needs at least one key")
	}
	return nil
}
