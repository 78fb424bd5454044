// Package membership lets the hosts of one system know each other, find out
// which of them have failed, and share small facts, without a coordinator.
//
// Hosts exchange messages directly, a fixed number a second whatever the size
// of the system: with neighbours in their availability zone, which watch over
// each other, and with others across zones. Messages carry what is new, and a
// digest that shows whether two hosts know the same. The table serves only to
// find the first hosts to talk to; nothing else depends on it.
//
// What is known of a member or a fact is ordered by a version and only ever
// moves up, so late and repeated messages do no harm.
package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// Errors of New, Run and HandleExchange.
var (
	// ErrOptions means that the options are invalid.
	ErrOptions = errors.New("membership: invalid options")
	// ErrSuperseded means that another process runs under this host's id and
	// started later.
	ErrSuperseded = errors.New("membership: superseded by another process with this id")
	// ErrWrongMember means that a message was meant for another host, which
	// had this address before.
	ErrWrongMember = errors.New("membership: message for another member")
	// ErrNobodyTold means that no other host could be told of the leaving.
	ErrNobodyTold = errors.New("membership: no other host was told")
)

// Membership is one host's view of the others. It is safe for concurrent use.
type Membership struct {
	options  Options
	presence *presence
	// wake tells Run of news to push.
	wake chan struct{}
	// pause is a hook of the tests, which stops this host's loops.
	pause func()

	// snapshot is what Members and Lookup read.
	snapshot atomic.Pointer[[]Member]

	mu    sync.Mutex
	self  Member
	store *store
	rng   *rand.Rand
	stats Stats
	// changed says that the snapshot and the rings are out of date.
	changed bool
	rings   rings
	// urgent holds the records of the next push by their keys.
	urgent map[string]*record
	// probing holds the ids of the members with a probe in progress.
	probing map[string]bool
	// epoch rises when this host wakes from a freeze; the outcome of a probe
	// of an earlier epoch doesn't count.
	epoch uint64
	// lastHeard is when a message of any other host last came.
	lastHeard time.Time
	// nextSync is when to compare again.
	nextSync time.Time
	// joined says that a comparison with another host was completed.
	joined bool

	notifier notifier
}

// New returns a Membership that knows only its own host.
func New(options Options) (*Membership, error) {
	if options.Transport == nil {
		return nil, fmt.Errorf("%w: Transport is needed", ErrOptions)
	}
	options.Self.State = Up
	options.Self.Incarnation = 0
	if !options.Self.valid() {
		return nil, fmt.Errorf("%w: Self needs an ID, and fields of at most %d bytes", ErrOptions, maxField)
	}
	options = options.withDefaults()
	now := boottime.Now()
	m := &Membership{
		options:   options,
		presence:  newPresence(),
		wake:      make(chan struct{}, 1),
		pause:     func() {},
		self:      options.Self,
		store:     newStore(),
		rng:       rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(options.Self.ID))),
		urgent:    make(map[string]*record),
		probing:   make(map[string]bool),
		lastHeard: now,
	}
	// A host without disks doesn't know its earlier incarnations. The time
	// is above them unless the clock stepped back; then it refutes.
	m.announce(uint64(max(time.Now().UnixMilli(), 1)), now)
	return m, nil
}

// Run takes part in the exchanges until ctx ends, and then returns nil. Its
// only error is ErrSuperseded.
func (m *Membership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var loops sync.WaitGroup
	loops.Go(func() { m.gossipLoop(ctx) })
	if m.options.Table != nil {
		loops.Go(func() { m.renewLoop(ctx, cancel) })
		loops.Go(func() { m.discoverLoop(ctx) })
	}
	loops.Wait()
	if err := context.Cause(ctx); errors.Is(err, ErrSuperseded) {
		return err
	}
	return nil
}

// Self returns this host.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members returns all known members in the order of their ids, this host and
// those that are Down included. The slice is shared and must not be changed.
func (m *Membership) Members() []Member {
	return *m.snapshot.Load()
}

// Lookup returns a member by its id.
func (m *Membership) Lookup(id string) (Member, bool) {
	members := m.Members()
	i, ok := slices.BinarySearchFunc(members, id, func(member Member, id string) int {
		return strings.Compare(member.ID, id)
	})
	if !ok {
		return Member{}, false
	}
	return members[i], true
}

// Isolated says that no other host was heard lately, though some are known.
// An isolated host declares no member Suspect or Down.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated(boottime.Now())
}

// Put makes a fact known. It returns ErrStale if an equal or higher version
// is known here.
func (m *Membership) Put(fact Fact) error {
	if err := fact.check(); err != nil {
		return err
	}
	if fact.Expired() {
		return fmt.Errorf("%w: negative TTL", ErrInvalidFact)
	}
	m.mu.Lock()
	r := m.store.fact(fact.Key)
	var err error
	switch {
	case r != nil && r.fact.Version >= fact.Version:
		err = fmt.Errorf("%w: %s: have version %d, got %d", ErrStale, fact.Key, r.fact.Version, fact.Version)
	case !m.mergeFact(fact, own, boottime.Now()):
		err = fmt.Errorf("%w: %d", ErrFull, m.options.MaxFacts)
	}
	m.mu.Unlock()
	m.notifier.flush()
	return err
}

// Get returns a fact that hasn't expired. On the path of requests, keep the
// value that Watch brings instead.
func (m *Membership) Get(key string) (Fact, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	r := m.store.fact(key)
	if r == nil || r.fact.Expired() {
		return Fact{}, false
	}
	if !r.expires.IsZero() && !now.Before(r.expires) {
		return Fact{}, false
	}
	return r.current(now), true
}

// Facts returns the facts with a prefix that haven't expired, in the order of
// their keys.
func (m *Membership) Facts(prefix string) []Fact {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.factsWith(prefix, boottime.Now())
}

func (m *Membership) factsWith(prefix string, now time.Time) []Fact {
	var facts []Fact
	for _, r := range m.store.records {
		if !r.isMember && !r.fact.Expired() && strings.HasPrefix(r.fact.Key, prefix) {
			facts = append(facts, r.current(now))
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return strings.Compare(a.Key, b.Key) })
	return facts
}

// publish renews the snapshot after a change.
func (m *Membership) publish() {
	if !m.changed {
		return
	}
	m.changed = false
	var members []Member
	for _, r := range m.store.records {
		if r.isMember {
			members = append(members, r.member)
		}
	}
	slices.SortFunc(members, compareID)
	m.snapshot.Store(&members)
	m.rings = newRings(m.self, members)
}
