// Package membership implements decentralized group membership: it discovers
// the hosts of a system, detects their failures, and replicates small facts to
// all of them, without a coordinator.
//
// Hosts exchange messages directly, at a fixed rate that doesn't depend on the
// size of the system: with neighbours in their availability zone, which probe
// each other, and with hosts in other zones. Messages carry updates and a
// digest that shows whether two hosts store the same records. Hosts use the
// platform's table for two purposes: to discover the first other hosts to
// exchange messages with, and, while they are isolated, to detect failures by
// expired leases. Nothing else in the package depends on the table.
//
// Records of members and facts have versions that only increase, so delayed and
// repeated messages have no effect.
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
	// ErrOptions is returned for invalid options.
	ErrOptions = errors.New("membership: invalid options")
	// ErrSuperseded is returned if another process that started later runs with
	// this host's id.
	ErrSuperseded = errors.New("membership: superseded by another process with this id")
	// ErrWrongMember is returned for a message to a host other than this one, for
	// example a host that previously had this address.
	ErrWrongMember = errors.New("membership: message for another member")
	// ErrLeaveNotDelivered is returned if no other host received the
	// announcement that this host leaves.
	ErrLeaveNotDelivered = errors.New("membership: no other host received the leave announcement")
)

// Membership holds one host's records of all members and facts. It is safe for
// concurrent use.
type Membership struct {
	options  Options
	presence *presence
	// pushSignal signals Run that there are records to push.
	pushSignal chan struct{}
	// blockHook is called in each iteration of this host's loops. Tests set it to
	// suspend them.
	blockHook func()

	// snapshot holds the members that Members and Lookup return.
	snapshot atomic.Pointer[[]Member]

	mu    sync.Mutex
	self  Member
	store *store
	rng   *rand.Rand
	stats Stats
	// membersChanged reports whether member records have changed since the
	// snapshot and the rings were updated.
	membersChanged bool
	rings          rings
	// pendingPush holds the records of the next push by key.
	pendingPush map[string]*record
	// probing holds the ids of the members with a probe in progress.
	probing map[string]bool
	// pauseEpoch increases after each pause of this process; the results of
	// probes that started in an earlier epoch are ignored.
	pauseEpoch uint64
	// lastContact is when the last message from any other host arrived.
	lastContact time.Time
	// nextSyncAt is when the next exchange requests a sync.
	nextSyncAt time.Time
	// joined reports whether a sync with another host has been completed.
	joined bool

	notifier notifier
}

// New returns a Membership with its own host as the only member.
func New(options Options) (*Membership, error) {
	if options.Transport == nil {
		return nil, fmt.Errorf("%w: Transport is required", ErrOptions)
	}
	options.Self.State = Up
	options.Self.Incarnation = 0
	if !options.Self.valid() {
		return nil, fmt.Errorf("%w: Self requires an ID, and fields of at most %d bytes", ErrOptions, maxFieldBytes)
	}
	options = options.withDefaults()
	now := boottime.Now()
	m := &Membership{
		options:     options,
		presence:    newPresence(),
		pushSignal:  make(chan struct{}, 1),
		blockHook:   func() {},
		self:        options.Self,
		store:       newStore(),
		rng:         rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(options.Self.ID))),
		pendingPush: make(map[string]*record),
		probing:     make(map[string]bool),
		lastContact: now,
	}
	// Hosts have no disks to store the incarnations of earlier processes. The
	// current time in Unix milliseconds exceeds them unless the clock has been
	// set back. In that case another host sends the record of the earlier
	// process, and this host refutes it with an incarnation that is higher
	// still.
	m.announce(uint64(max(time.Now().UnixMilli(), 1)), now)
	return m, nil
}

// Run exchanges messages with other hosts until ctx ends, and then returns nil. Its
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

// Self returns the member of this host.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members returns all members in the order of their ids, including this host and
// those that are Down. The slice is shared and must not be changed.
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

// Isolated reports whether no message from another host arrived recently although
// there are other live members. An isolated host declares no member Suspect or
// Down because of failed probes, only because of expired leases in the table.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated(boottime.Now())
}

// Put stores a fact and replicates it to all hosts. It returns ErrStale if an
// equal or higher version is stored.
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
	case !m.mergeFact(fact, localOrigin, boottime.Now()):
		err = fmt.Errorf("%w: %d", ErrFull, m.options.MaxFacts)
	}
	m.mu.Unlock()
	m.notifier.flush()
	return err
}

// Get returns the fact with a key unless it has expired. It takes a lock; on the
// path of requests, use the values delivered by Watch instead.
func (m *Membership) Get(key string) (Fact, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	r := m.store.fact(key)
	if r == nil || r.fact.Expired() {
		return Fact{}, false
	}
	if !r.expiresAt.IsZero() && !now.Before(r.expiresAt) {
		return Fact{}, false
	}
	return r.factAt(now), true
}

// Facts returns the facts that haven't expired and whose keys have the prefix, in
// the order of their keys.
func (m *Membership) Facts(prefix string) []Fact {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.factsWithPrefix(prefix, boottime.Now())
}

func (m *Membership) factsWithPrefix(prefix string, now time.Time) []Fact {
	var facts []Fact
	for _, r := range m.store.records {
		if !r.isMember && !r.fact.Expired() && strings.HasPrefix(r.fact.Key, prefix) {
			facts = append(facts, r.factAt(now))
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int { return strings.Compare(a.Key, b.Key) })
	return facts
}

// publish updates the snapshot and the rings if member records have changed.
func (m *Membership) publish() {
	if !m.membersChanged {
		return
	}
	m.membersChanged = false
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
