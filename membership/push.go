package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// push sends new records to a few hosts, which in turn push those records that are
// new to them. It first waits for PushDelay, so that updates that arrive together
// are sent in one message.
func (m *Membership) push(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(m.options.PushDelay):
	}
	m.blockHook()
	m.mu.Lock()
	records := m.takePending()
	targets := m.pushTargets()
	m.mu.Unlock()
	m.pushTo(ctx, records, targets)
}

// takePending returns the records that fit into one push, in the order of their
// keys, and leaves the rest for the next one.
func (m *Membership) takePending() []*record {
	records := make([]*record, 0, len(m.pendingPush))
	for _, r := range m.pendingPush {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return compareKeys(a.key, b.key) })
	size := 0
	for i, r := range records {
		size += r.size()
		if size > m.options.MaxUpdateBytes {
			m.signalPush()
			return records[:i]
		}
		delete(m.pendingPush, r.key)
	}
	return records
}

// signalPush signals Run that there are records to push.
func (m *Membership) signalPush() {
	select {
	case m.pushSignal <- struct{}{}:
	default:
	}
}

// pushTargets returns live members, about half of them in this host's zone: the
// successors on both rings, then random ones. Pushes to random targets alone are
// fast, but one update in fifty didn't reach one of 28 hosts. Along the rings an
// update reaches every host if no message is lost.
func (m *Membership) pushTargets() []Member {
	fanout := m.options.PushFanout
	var chosen []Member
	chosen = appendDistinct(chosen, successors(m.rings.zone, 1), 1)
	chosen = appendDistinct(chosen, successors(m.rings.global, 1), 1)
	chosen = appendDistinct(chosen, m.shuffled(m.rings.zone), max(0, fanout/2-len(chosen)))
	chosen = appendDistinct(chosen, m.shuffled(m.rings.otherZones), fanout-len(chosen))
	return appendDistinct(chosen, m.shuffled(m.rings.global), fanout-len(chosen))
}

func (m *Membership) shuffled(members []Member) []Member {
	members = slices.Clone(members)
	m.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// pushTo sends the records to all targets and returns how many targets answered.
func (m *Membership) pushTo(ctx context.Context, records []*record, targets []Member) int {
	if len(records) == 0 {
		return 0
	}
	var workers sync.WaitGroup
	results := make(chan bool, len(targets))
	for _, target := range targets {
		workers.Go(func() { results <- m.pushToOne(ctx, target, records) })
	}
	workers.Wait()
	close(results)
	delivered := 0
	for ok := range results {
		if ok {
			delivered++
		}
	}
	return delivered
}

func (m *Membership) pushToOne(ctx context.Context, target Member, records []*record) bool {
	now := boottime.Now()
	m.mu.Lock()
	message := m.newMessage(KindPush, target.ID)
	added := m.addRecords(&message, records, target.ID, m.options.MaxUpdateBytes, now)
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
	m.countTransmissions(added)
	m.requeue(answer.Wanted)
	return true
}

// requeue adds the records with the keys, which another host requested, to the
// broadcast queue again.
func (m *Membership) requeue(keys []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		if r := m.store.get(key); r != nil && !r.queued {
			m.store.enqueue(r, "")
		}
	}
}

// Leave announces that this host is finishing its work, and removes its presence
// row. Run continues; the caller cancels its context when the work is done. Leave
// returns ErrLeaveNotDelivered if there are other hosts and none answered.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.self.State = Leaving
	m.announce(m.self.Incarnation+1, boottime.Now())
	records := []*record{m.store.member(m.self.ID)}
	targets := m.pushTargets()
	m.mu.Unlock()
	m.notifier.flush()
	delivered := m.pushTo(ctx, records, targets)
	m.withdrawPresence(ctx)
	if delivered == 0 && len(targets) > 0 {
		return fmt.Errorf("%w: sent to %d hosts", ErrLeaveNotDelivered, len(targets))
	}
	return nil
}
