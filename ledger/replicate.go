package ledger

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// minReplicateBackoff is the pause after the first failed message to a
	// peer; it doubles up to maxReplicateBackoff.
	minReplicateBackoff = 5 * time.Millisecond
	maxReplicateBackoff = time.Second
)

// replicateLoop copies new bills to peers until ctx ends. It sends one message
// at a time; bills that arrive meanwhile are sent in the next one.
func (l *Ledger) replicateLoop(ctx context.Context) {
	backoff := minReplicateBackoff
	for ctx.Err() == nil {
		attempted, err := l.replicateNext(ctx)
		switch {
		case err != nil:
			signal(l.earlyFlush)
			_ = wait.For(ctx, backoff)
			backoff = min(2*backoff, maxReplicateBackoff)
			continue
		case attempted:
			backoff = minReplicateBackoff
			continue
		}
		select {
		case <-l.newBills:
		case <-ctx.Done():
		}
	}
}

// replicateNext sends the next message to a peer. attempted is false if there
// was nothing to send. If the ledger has no peers, replicateNext requests an
// early flush instead.
func (l *Ledger) replicateNext(ctx context.Context) (attempted bool, err error) {
	entries, seq := l.nextUnreplicated()
	if len(entries) == 0 {
		return false, nil
	}
	if l.opts.Replicator == nil {
		signal(l.earlyFlush)
		return true, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, l.opts.ReplicateTimeout)
	defer cancel()
	holder, err := l.opts.Replicator.Replicate(callCtx, l.Owner(), seq, billsOf(entries))
	l.finishMessage(entries, seq, holder, err)
	return true, err
}

// nextUnreplicated removes the next unwritten bills from the queue and returns
// them with the number of their message.
func (l *Ledger) nextUnreplicated() ([]*entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainShards()
	var entries []*entry
	taken := 0
	for _, e := range l.unreplicated {
		if len(entries) == maxMessageBills {
			break
		}
		taken++
		if !e.flushed {
			entries = append(entries, e)
		}
	}
	l.unreplicated = l.unreplicated[taken:]
	if len(entries) > 0 {
		l.messageSeq++
	}
	return entries, l.messageSeq
}

// finishMessage records the outcome of a message. After an error its bills
// return to the front of the queue.
func (l *Ledger) finishMessage(entries []*entry, seq uint64, holder string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder != "" {
		l.holders[holder] = seq
	}
	if err != nil {
		l.unreplicated = append(entries, l.unreplicated...)
		return
	}
	for _, e := range entries {
		e.holder = holder
		l.markDurable(e)
	}
}

// PeerDown records that a peer is down and that the copies on it are lost. Bills
// whose copy was on that peer are sent to another peer, unless they are in the
// table.
func (l *Ledger) PeerDown(host string) {
	l.mu.Lock()
	l.drainShards()
	delete(l.holders, host)
	lostCopies := l.unwrittenCopiedTo(host)
	l.unreplicated = append(lostCopies, l.unreplicated...)
	l.mu.Unlock()
	signal(l.newBills)
}

// unwrittenCopiedTo returns the unwritten bills whose copy is on host. Ledger.mu
// is held.
func (l *Ledger) unwrittenCopiedTo(host string) []*entry {
	var list []*entry
	for _, e := range l.unsegmented {
		if e.holder == host {
			list = append(list, e)
		}
	}
	for _, f := range l.unwrittenSegments {
		for _, e := range f.entries {
			if e.holder == host && !e.flushed {
				list = append(list, e)
			}
		}
	}
	return list
}

func billsOf(entries []*entry) []Bill {
	list := make([]Bill, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.bill)
	}
	return list
}
