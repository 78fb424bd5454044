package membership

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

const (
	// sweepInterval is how often timeouts are looked at.
	sweepInterval = 250 * time.Millisecond
	// thawAfter is the gap between sweeps that shows that this host was
	// frozen or starved: others may have declared it Down.
	thawAfter = 2 * time.Second
	// reconnectRounds is how often a member that is Down is contacted, so that
	// the two sides of a cut find each other again.
	reconnectRounds = 5
	// jitterPart is the part of an interval that varies.
	jitterPart = 0.1
	// fewMembers is the number of live others up to which silence of all of
	// them isn't taken for a fault of this host.
	fewMembers = 2
	// silentIntervals is the number of intervals without any message after
	// which a host takes itself for isolated.
	silentIntervals = 2
)

// gossipLoop holds the rounds, the pushes and the timeouts.
func (m *Membership) gossipLoop(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	round := time.NewTimer(m.jitter(m.options.Interval) / 4)
	defer round.Stop()
	last := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			work.Go(func() { m.push(ctx) })
		case <-sweep.C:
			m.pause()
			now := boottime.Now()
			if now.Sub(last) > thawAfter {
				m.thaw(now)
			}
			last = now
			m.sweep(now)
		case <-round.C:
			m.pause()
			m.round(ctx, &work)
			round.Reset(m.jitter(m.options.Interval))
		}
	}
}

// jitter returns a duration that differs by up to a tenth.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return jittered(m.rng, d)
}

func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration((rng.Float64()*2-1)*jitterPart*float64(d))
}

// round starts one exchange with each target.
func (m *Membership) round(ctx context.Context, work *sync.WaitGroup) {
	m.mu.Lock()
	m.stats.Rounds++
	number := m.stats.Rounds
	targets := m.rings.targets(m.self, number, m.options)
	epoch := m.epoch
	reconnect, contact := m.reconnectTarget(number)
	var started []Member
	for _, target := range targets {
		if m.probing[target.ID] {
			continue
		}
		m.probing[target.ID] = true
		started = append(started, target)
	}
	m.mu.Unlock()
	for _, target := range started {
		work.Go(func() { m.probe(ctx, target, epoch) })
	}
	if contact {
		work.Go(func() { m.gossip(ctx, reconnect) })
	}
}

// reconnectTarget returns a member that is Down, in some rounds, or a seed
// while no other member is alive.
func (m *Membership) reconnectTarget(round uint64) (Member, bool) {
	if len(m.rings.all) == 0 && len(m.options.Seeds) > 0 {
		return Member{PeerAddr: m.options.Seeds[m.rng.IntN(len(m.options.Seeds))]}, true
	}
	if round%reconnectRounds != 0 || len(m.rings.down) == 0 {
		return Member{}, false
	}
	return m.rings.down[m.rng.IntN(len(m.rings.down))], true
}

// gossip holds one regular exchange, and a comparison if it shows a need.
func (m *Membership) gossip(ctx context.Context, to Member) error {
	now := boottime.Now()
	m.mu.Lock()
	message, sent := m.compose(KindGossip, to.ID, now)
	message.Ask = !now.Before(m.nextSync)
	if message.Ask && m.joined {
		m.nextSync = now.Add(jittered(m.rng, m.options.SyncInterval))
	}
	m.mu.Unlock()
	answer, err := m.exchange(ctx, to, message, m.options.ProbeTimeout)
	if err != nil {
		return err
	}
	m.sent(sent)
	m.offer(answer.Want)
	switch {
	case len(answer.Buckets) > 0:
		m.sync(ctx, to, answer.Buckets)
	case message.Ask:
		m.setJoined()
	}
	return nil
}

// setJoined notes that this host knows what another one knows.
func (m *Membership) setJoined() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joined = true
}

// exchange sends a message and takes in the answer.
func (m *Membership) exchange(ctx context.Context, to Member, message Message, timeout time.Duration) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message.To = to.ID
	answer, err := m.options.Transport.Exchange(ctx, to, message)
	now := boottime.Now()
	m.mu.Lock()
	m.stats.Exchanges++
	if err != nil {
		m.stats.Failures++
		m.mu.Unlock()
		return Message{}, err
	}
	m.heard(answer, now)
	m.merge(answer, now)
	m.mu.Unlock()
	m.notifier.flush()
	return answer, nil
}

// HandleExchange answers a message of another host.
func (m *Membership) HandleExchange(ctx context.Context, message Message) (Message, error) {
	now := boottime.Now()
	m.mu.Lock()
	if message.To != "" && message.To != m.self.ID {
		m.mu.Unlock()
		return Message{}, ErrWrongMember
	}
	m.heard(message, now)
	m.merge(message, now)
	answer := m.answer(message, now)
	m.mu.Unlock()
	m.notifier.flush()
	if message.Kind == KindProbe && message.Target != nil {
		answer.Reached = m.ping(ctx, *message.Target)
	}
	return answer, nil
}

// heard notes that a host is alive.
func (m *Membership) heard(message Message, now time.Time) {
	m.lastHeard = now
	if r := m.store.member(message.From); r != nil {
		r.heard = now
	}
}

// answer composes the answer to a message. The caller holds the lock.
func (m *Membership) answer(message Message, now time.Time) Message {
	var answer Message
	switch message.Kind {
	case KindGossip:
		var sent []*record
		answer, sent = m.compose(KindGossip, message.From, now)
		countSent(sent)
		if message.Ask && answer.Sum != message.Sum {
			answer.Buckets = m.store.bucketSums()
		}
	case KindSync:
		answer = m.envelope(KindSync, message.From)
		m.compare(&answer, message.Listing, now)
	default:
		answer = m.envelope(message.Kind, message.From)
	}
	if m.knownVersion(message.From) < message.Version {
		answer.Want = append(answer.Want, memberPrefix+message.From)
	}
	return answer
}

func (m *Membership) knownVersion(id string) uint64 {
	if r := m.store.member(id); r != nil {
		return r.version
	}
	return 0
}

// envelope returns a message without news, except that a receiver who is
// believed to have failed is told so, to refute it.
func (m *Membership) envelope(kind Kind, to string) Message {
	message := Message{Kind: kind, From: m.self.ID, Version: m.self.version()}
	if r := m.store.member(to); r != nil && r.member.State >= Suspect {
		message.Members = append(message.Members, r.member)
	}
	return message
}

// compose returns a message with the digest and the hot records that fit, the
// least sent first.
func (m *Membership) compose(kind Kind, to string, now time.Time) (Message, []*record) {
	message := m.envelope(kind, to)
	message.Sum = m.store.sum()
	m.store.cool(sendLimit(len(m.rings.all) + 1))
	slices.SortStableFunc(m.store.hot, func(a, b *record) int { return cmp.Compare(a.sends, b.sends) })
	sent := m.add(&message, m.store.hot, to, m.options.MaxNewsBytes, now)
	return message, sent
}

// add adds records to a message up to a bound in bytes and returns those
// added. It leaves out what the receiver brought itself.
func (m *Membership) add(message *Message, records []*record, to string, bound int, now time.Time) []*record {
	var added []*record
	size := 0
	for _, r := range records {
		if to != "" && r.source == to {
			continue
		}
		size += r.size()
		if size > bound {
			message.More = true
			break
		}
		added = append(added, r)
		if r.isMember {
			message.Members = append(message.Members, r.member)
		} else {
			message.Facts = append(message.Facts, r.current(now))
		}
	}
	return added
}

// sent counts records that arrived.
func (m *Membership) sent(records []*record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	countSent(records)
}

func countSent(records []*record) {
	for _, r := range records {
		r.sends++
	}
}
