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
	// sweepInterval is the interval between sweeps, which apply the timeouts.
	sweepInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two sweeps above which this process
	// counts as having been paused or starved. Other hosts may have declared it
	// Down in that time.
	pauseThreshold = 2 * time.Second
	// reconnectRounds is the number of rounds between exchanges with a member
	// that is Down, by which the two sides of a network partition reconnect.
	reconnectRounds = 5
	// jitterFraction is the maximum random deviation from an interval, as a
	// fraction of it.
	jitterFraction = 0.1
	// maxPeersWithoutIsolation is the number of other live members up to which
	// a host never counts as isolated, because it is plausible that all of so
	// few members have failed at the same time.
	maxPeersWithoutIsolation = 2
	// isolationIntervals is the number of intervals between rounds without a
	// message from another host after which a host counts as isolated.
	isolationIntervals = 2
)

// gossipLoop runs the rounds, the pushes and the sweeps.
func (m *Membership) gossipLoop(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	round := time.NewTimer(m.jitter(m.options.RoundInterval) / 4)
	defer round.Stop()
	lastSweep := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.pushSignal:
			workers.Go(func() { m.push(ctx) })
		case <-sweep.C:
			m.blockHook()
			now := boottime.Now()
			if now.Sub(lastSweep) > pauseThreshold {
				m.resumeAfterPause(now)
			}
			lastSweep = now
			m.sweep(now)
		case <-round.C:
			m.blockHook()
			m.round(ctx, &workers)
			round.Reset(m.jitter(m.options.RoundInterval))
		}
	}
}

// jitter returns d changed at random by up to jitterFraction.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return jittered(m.rng, d)
}

func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration((rng.Float64()*2-1)*jitterFraction*float64(d))
}

// round starts one exchange with each target of this round that isn't being
// probed, and with the reconnect target if there is one.
func (m *Membership) round(ctx context.Context, workers *sync.WaitGroup) {
	m.mu.Lock()
	m.stats.Rounds++
	round := m.stats.Rounds
	targets := m.rings.targets(m.self, round, m.options)
	epoch := m.pauseEpoch
	reconnect, reconnecting := m.reconnectTarget(round)
	var probed []Member
	for _, target := range targets {
		if m.probing[target.ID] {
			continue
		}
		m.probing[target.ID] = true
		probed = append(probed, target)
	}
	m.mu.Unlock()
	for _, target := range probed {
		workers.Go(func() { m.probe(ctx, target, epoch) })
	}
	if reconnecting {
		workers.Go(func() { m.gossip(ctx, reconnect) })
	}
}

// reconnectTarget returns a random seed while no other member is alive. Otherwise,
// in every reconnectRounds-th round, it returns a random member that is Down.
func (m *Membership) reconnectTarget(round uint64) (Member, bool) {
	if len(m.rings.global) == 0 && len(m.options.Seeds) > 0 {
		return Member{PeerAddr: m.options.Seeds[m.rng.IntN(len(m.options.Seeds))]}, true
	}
	if round%reconnectRounds != 0 || len(m.rings.down) == 0 {
		return Member{}, false
	}
	return m.rings.down[m.rng.IntN(len(m.rings.down))], true
}

// gossip performs one regular exchange, and a sync if the digests differ.
func (m *Membership) gossip(ctx context.Context, to Member) error {
	now := boottime.Now()
	m.mu.Lock()
	message, sent := m.newGossip(KindGossip, to.ID, now)
	message.RequestBuckets = !now.Before(m.nextSyncAt)
	if message.RequestBuckets && m.joined {
		m.nextSyncAt = now.Add(jittered(m.rng, m.options.SyncInterval))
	}
	m.mu.Unlock()
	answer, err := m.exchange(ctx, to, message, m.options.ProbeTimeout)
	if err != nil {
		return err
	}
	m.countTransmissions(sent)
	m.requeue(answer.Wanted)
	switch {
	case len(answer.Buckets) > 0:
		m.sync(ctx, to, answer.Buckets)
	case message.RequestBuckets:
		m.setJoined()
	}
	return nil
}

// setJoined records that this host has completed a sync with another host.
func (m *Membership) setJoined() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joined = true
}

// exchange sends a message and merges the answer.
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
	m.recordContact(answer, now)
	m.merge(answer, now)
	m.mu.Unlock()
	m.notifier.flush()
	return answer, nil
}

// HandleExchange answers a message from another host.
func (m *Membership) HandleExchange(ctx context.Context, message Message) (Message, error) {
	now := boottime.Now()
	m.mu.Lock()
	if message.To != "" && message.To != m.self.ID {
		m.mu.Unlock()
		return Message{}, ErrWrongMember
	}
	m.recordContact(message, now)
	m.merge(message, now)
	answer := m.answer(message, now)
	m.mu.Unlock()
	m.notifier.flush()
	if message.Kind == KindProbe && message.Target != nil {
		answer.Reached = m.ping(ctx, *message.Target)
	}
	return answer, nil
}

// recordContact records that a message from another host has arrived.
func (m *Membership) recordContact(message Message, now time.Time) {
	m.lastContact = now
	if r := m.store.member(message.From); r != nil {
		r.lastContact = now
	}
}

// answer composes the answer to a message. The caller holds the lock.
func (m *Membership) answer(message Message, now time.Time) Message {
	var answer Message
	switch message.Kind {
	case KindGossip:
		var sent []*record
		answer, sent = m.newGossip(KindGossip, message.From, now)
		countSent(sent)
		if message.RequestBuckets && answer.Digest != message.Digest {
			answer.Buckets = m.store.bucketSums()
		}
	case KindSync:
		answer = m.newMessage(KindSync, message.From)
		m.answerListing(&answer, message.Listing, now)
	default:
		answer = m.newMessage(message.Kind, message.From)
	}
	if m.storedVersion(message.From) < message.Version {
		answer.Wanted = append(answer.Wanted, memberPrefix+message.From)
	}
	return answer
}

func (m *Membership) storedVersion(id string) uint64 {
	if r := m.store.member(id); r != nil {
		return r.version
	}
	return 0
}

// newMessage returns a message without updates. If the receiver is stored as
// Suspect or Down, the message contains its record, so that the receiver can refute
// it.
func (m *Membership) newMessage(kind Kind, to string) Message {
	message := Message{Kind: kind, From: m.self.ID, Version: m.self.version()}
	if r := m.store.member(to); r != nil && r.member.State >= Suspect {
		message.Members = append(message.Members, r.member)
	}
	return message
}

// newGossip returns a message with the digest and with records of the broadcast
// queue, those with the fewest transmissions first, up to MaxUpdateBytes. It also
// returns these records.
func (m *Membership) newGossip(kind Kind, to string, now time.Time) (Message, []*record) {
	message := m.newMessage(kind, to)
	message.Digest = m.store.digest()
	m.store.pruneSent(maxTransmissions(len(m.rings.global) + 1))
	slices.SortStableFunc(m.store.broadcasts, func(a, b *record) int { return cmp.Compare(a.transmissions, b.transmissions) })
	sent := m.addRecords(&message, m.store.broadcasts, to, m.options.MaxUpdateBytes, now)
	return message, sent
}

// addRecords adds records to a message, up to limit bytes, and returns those
// added. It omits records whose current version the receiver sent.
func (m *Membership) addRecords(message *Message, records []*record, to string, limit int, now time.Time) []*record {
	var added []*record
	size := 0
	for _, r := range records {
		if to != "" && r.sourceHost == to {
			continue
		}
		size += r.size()
		if size > limit {
			message.Truncated = true
			break
		}
		added = append(added, r)
		if r.isMember {
			message.Members = append(message.Members, r.member)
		} else {
			message.Facts = append(message.Facts, r.factAt(now))
		}
	}
	return added
}

// countTransmissions counts a transmission of each record after the receiver has answered.
func (m *Membership) countTransmissions(records []*record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	countSent(records)
}

func countSent(records []*record) {
	for _, r := range records {
		r.transmissions++
	}
}
