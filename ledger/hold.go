package ledger

import (
	"context"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/wait"
)

const (
	// holdBackoff is the pause after the first failed message to a peer; it
	// doubles up to maxHoldBackoff.
	holdBackoff    = 5 * time.Millisecond
	maxHoldBackoff = time.Second
)

// holdLoop gives new bills to peers until ctx ends. One message is under way
// at a time; what comes meanwhile goes into the next.
func (l *Ledger) holdLoop(ctx context.Context) {
	backoff := holdBackoff
	for ctx.Err() == nil {
		more, err := l.holdOnce(ctx)
		switch {
		case err != nil:
			signal(l.urgent)
			_ = wait.For(ctx, backoff)
			backoff = min(2*backoff, maxHoldBackoff)
			continue
		case more:
			backoff = holdBackoff
			continue
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
		}
	}
}

// holdOnce sends one message; more says that there was something to send.
func (l *Ledger) holdOnce(ctx context.Context) (more bool, err error) {
	entries, seq := l.nextUnheld()
	if len(entries) == 0 {
		return false, nil
	}
	if l.opts.Holders == nil {
		signal(l.urgent)
		return true, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, l.opts.HoldTimeout)
	defer cancel()
	holder, err := l.opts.Holders.Hold(callCtx, l.Owner(), seq, bills(entries))
	l.holdDone(entries, seq, holder, err)
	return true, err
}

// nextUnheld takes the next bills that no peer holds and a number for them.
func (l *Ledger) nextUnheld() ([]*entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collect()
	var entries []*entry
	taken := 0
	for _, e := range l.unheld {
		if len(entries) == maxHoldBatch {
			break
		}
		taken++
		if !e.flushed {
			entries = append(entries, e)
		}
	}
	l.unheld = l.unheld[taken:]
	if len(entries) > 0 {
		l.holdSeq++
	}
	return entries, l.holdSeq
}

// holdDone notes the outcome of a message.
func (l *Ledger) holdDone(entries []*entry, seq uint64, holder string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder != "" {
		l.holders[holder] = seq
	}
	if err != nil {
		l.unheld = append(entries, l.unheld...)
		return
	}
	for _, e := range entries {
		e.holder = holder
		l.protect(e)
	}
}

// HolderDown says that a peer is lost, and with it the copies that it held.
// The bills that aren't in the table yet are given to another peer.
func (l *Ledger) HolderDown(host string) {
	l.mu.Lock()
	l.collect()
	delete(l.holders, host)
	again := l.heldBy(host)
	l.unheld = append(again, l.unheld...)
	l.mu.Unlock()
	signal(l.wake)
}

// heldBy returns the unwritten bills whose copy is with host. Ledger.mu is
// held.
func (l *Ledger) heldBy(host string) []*entry {
	var list []*entry
	for _, e := range l.unflushed {
		if e.holder == host {
			list = append(list, e)
		}
	}
	for _, f := range l.frozen {
		for _, e := range f.entries {
			if e.holder == host && !e.flushed {
				list = append(list, e)
			}
		}
	}
	return list
}

func bills(entries []*entry) []Bill {
	list := make([]Bill, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.bill)
	}
	return list
}
