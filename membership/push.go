package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// push sends new records at once to a few hosts, which do the same with what
// is new to them. It waits a moment before, so that news that comes together
// goes together.
func (m *Membership) push(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(m.options.PushDelay):
	}
	m.pause()
	m.mu.Lock()
	records := m.takeUrgent()
	targets := m.pushTargets()
	m.mu.Unlock()
	m.pushTo(ctx, records, targets)
}

// takeUrgent returns the records that fit into one push, in the order of
// their keys, and leaves the rest for another.
func (m *Membership) takeUrgent() []*record {
	records := make([]*record, 0, len(m.urgent))
	for _, r := range m.urgent {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return compareKeys(a.key, b.key) })
	size := 0
	for i, r := range records {
		size += r.size()
		if size > m.options.MaxNewsBytes {
			m.wakePush()
			return records[:i]
		}
		delete(m.urgent, r.key)
	}
	return records
}

// wakePush tells Run that there is something to push.
func (m *Membership) wakePush() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// pushTargets returns live members, half of them in the zone: the successors on both
// rings, then random ones. The random ones are quick, but miss a host of 28 in one push
// of fifty; round the rings news comes to every host that no message is lost to.
func (m *Membership) pushTargets() []Member {
	fanout := m.options.PushFanout
	var chosen []Member
	chosen = appendNew(chosen, successors(m.rings.zone, 1), 1)
	chosen = appendNew(chosen, successors(m.rings.all, 1), 1)
	chosen = appendNew(chosen, m.shuffled(m.rings.zone), max(0, fanout/2-len(chosen)))
	chosen = appendNew(chosen, m.shuffled(m.rings.others), fanout-len(chosen))
	return appendNew(chosen, m.shuffled(m.rings.all), fanout-len(chosen))
}

func (m *Membership) shuffled(members []Member) []Member {
	members = slices.Clone(members)
	m.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// pushTo sends the records to all targets and returns how many got them.
func (m *Membership) pushTo(ctx context.Context, records []*record, targets []Member) int {
	if len(records) == 0 {
		return 0
	}
	var work sync.WaitGroup
	results := make(chan bool, len(targets))
	for _, target := range targets {
		work.Go(func() { results <- m.pushOne(ctx, target, records) })
	}
	work.Wait()
	close(results)
	told := 0
	for ok := range results {
		if ok {
			told++
		}
	}
	return told
}

func (m *Membership) pushOne(ctx context.Context, target Member, records []*record) bool {
	now := boottime.Now()
	m.mu.Lock()
	message := m.envelope(KindPush, target.ID)
	added := m.add(&message, records, target.ID, m.options.MaxNewsBytes, now)
	if len(added) > 0 {
		m.stats.Pushes++
	}
	m.mu.Unlock()
	if len(added) == 0 {
		return false
	}
	answer, err := m.exchange(ctx, target, message, m.options.ProbeTimeout)
	if err != nil {
		return false
	}
	m.sent(added)
	m.offer(answer.Want)
	return true
}

// offer puts the records that another host lacks on the hot list again.
func (m *Membership) offer(keys []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		if r := m.store.get(key); r != nil && !r.hot {
			m.store.heat(r, "")
		}
	}
}

// Leave announces that this host finishes its work, and removes its presence
// row. Run goes on, and is ended by its context when the work is done. The
// error is ErrNobodyTold if no other host answered.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.State = Leaving
	m.announce(m.self.Incarnation+1, boottime.Now())
	records := []*record{m.store.member(m.self.ID)}
	targets := m.pushTargets()
	m.mu.Unlock()
	m.notifier.flush()
	told := m.pushTo(ctx, records, targets)
	m.withdrawPresence(ctx)
	if told == 0 && len(targets) > 0 {
		return fmt.Errorf("%w: %d tried", ErrNobodyTold, len(targets))
	}
	return nil
}
