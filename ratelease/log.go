package ratelease

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxLimits is the maximum number of limits that a hub stores, at about 100 bytes each.
	maxLimits = 16_384
	// endedRetention is how long a hub keeps the update that a limit has ended. All other hosts
	// have received it by then.
	endedRetention = time.Minute
	// A log is compacted once its replaced entries outnumber the current ones by more than
	// minReplacedEntries.
	minReplacedEntries = 256
)

// LogCursor is a position in a hub's log. Epoch identifies the run of the hub, LastSeq is the
// sequence number of the last update received.
type LogCursor struct {
	Epoch   uint64 `json:"epoch,omitempty"`
	LastSeq uint64 `json:"last,omitempty"`
}

// LimitBatch is a batch of updates from a hub's log.
type LimitBatch struct {
	Updates []LimitUpdate
	Cursor  LogCursor
	// Complete says that the batch reaches the end of the log, and that the hub has received the
	// updates of the other hubs: a limit that isn't in the log has ended.
	Complete bool
}

// LimitLog is a hub's record of the limits of upstreams: the latest update of each limit, numbered
// in the order of arrival. It isn't safe for concurrent use.
type LimitLog struct {
	epoch   uint64
	current map[UpstreamID]*logEntry
	// entries holds the entries in the order of their sequence numbers, including those that were
	// replaced by newer ones since the log was last compacted.
	entries []*logEntry
	lastSeq uint64
}

// logEntry is an update of an upstream's limit in a log.
type logEntry struct {
	update     LimitUpdate
	observedAt time.Time
	seq        uint64
	// fromHub says that the update came from another hub.
	fromHub bool
}

// NewLimitLog returns an empty log. The epoch must differ for each run of a hub.
func NewLimitLog(epoch uint64) *LimitLog {
	return &LimitLog{epoch: epoch, current: make(map[UpstreamID]*logEntry)}
}

// Add adds updates from a host or from another hub. If an update is older than the current entry
// of its upstream and contradicts it, the current entry is sent again.
func (l *LimitLog) Add(fromHub bool, updates []LimitUpdate, now time.Time) {
	for _, update := range updates {
		observedAt, current := now.Add(-update.Age), l.current[update.Upstream]
		unchanged := current != nil && current.update.Ended == update.Ended && current.update.Limit == update.Limit
		switch {
		case current == nil && update.Ended:
		case unchanged:
			if observedAt.After(current.observedAt) {
				current.observedAt = observedAt
			}
		case current == nil || observedAt.After(current.observedAt):
			l.addEntry(logEntry{update: update, observedAt: observedAt, fromHub: fromHub})
		default:
			l.addEntry(*current)
		}
	}
	if len(l.entries) > 2*len(l.current)+minReplacedEntries {
		l.compact(now)
	}
}

// addEntry appends the entry as the current one of its upstream.
func (l *LimitLog) addEntry(entry logEntry) {
	l.lastSeq++
	entry.seq = l.lastSeq
	l.current[entry.update.Upstream] = &entry
	l.entries = append(l.entries, &entry)
	if len(l.current) > maxLimits {
		delete(l.current, l.trimToOldest().update.Upstream)
	}
}

// trimToOldest drops the replaced entries before the oldest current one, and returns the latter,
// which is the current entry with the lowest sequence number. The log must not be empty.
func (l *LimitLog) trimToOldest() *logEntry {
	i := slices.IndexFunc(l.entries, l.isCurrent)
	l.entries = l.entries[i:]
	return l.entries[0]
}

// isCurrent reports whether the entry hasn't been replaced by a newer one.
func (l *LimitLog) isCurrent(e *logEntry) bool { return l.current[e.update.Upstream] == e }

// compact drops replaced entries, and limits that ended more than endedRetention ago.
func (l *LimitLog) compact(now time.Time) {
	maps.DeleteFunc(l.current, func(_ UpstreamID, e *logEntry) bool { return e.update.Ended && now.Sub(e.observedAt) > endedRetention })
	l.entries = slices.DeleteFunc(l.entries, func(e *logEntry) bool { return !l.isCurrent(e) })
}

// Since returns at most the given number of updates after the cursor, oldest first. If toHub is
// set, the receiver is another hub, and updates that came from hubs are left out: the receiver
// gets these from the hubs themselves.
func (l *LimitLog) Since(cursor LogCursor, limit int, toHub bool, now time.Time) LimitBatch {
	if cursor.Epoch != l.epoch {
		cursor.LastSeq = 0
	}
	batch := LimitBatch{Cursor: LogCursor{Epoch: l.epoch, LastSeq: l.lastSeq}, Complete: true}
	first, _ := slices.BinarySearchFunc(l.entries, cursor.LastSeq+1, func(e *logEntry, seq uint64) int {
		return int(int64(e.seq) - int64(seq))
	})
	for _, e := range l.entries[first:] {
		if !l.isCurrent(e) || toHub && e.fromHub {
			continue
		}
		if len(batch.Updates) == limit {
			batch.Complete = false
			return batch
		}
		update := e.update
		update.Age = now.Sub(e.observedAt)
		batch.Updates = append(batch.Updates, update)
		batch.Cursor.LastSeq = e.seq
	}
	batch.Cursor.LastSeq = l.lastSeq
	return batch
}

// EndMissing ends the limits that came from other hubs and that aren't among the updates, which are
// the whole log of the hub that this host reports to.
func (l *LimitLog) EndMissing(updates []LimitUpdate, now time.Time) {
	listed := make(map[UpstreamID]bool, len(updates))
	for _, update := range updates {
		listed[update.Upstream] = true
	}
	for u, e := range maps.Clone(l.current) {
		if e.fromHub && !e.update.Ended && !listed[u] {
			l.addEntry(logEntry{update: LimitUpdate{Upstream: u, Ended: true}, observedAt: now, fromHub: true})
		}
	}
}

// LogReader reads a hub's log batch by batch.
type LogReader struct {
	cursor LogCursor
	// complete says that the end of the hub's log was reached since its start; pending holds the
	// updates received until then.
	complete bool
	pending  []LimitUpdate
}

// Apply processes a batch and returns its updates. If hubChanged is true, the hub is another one
// than before, or has restarted. If complete is true, the batch reaches the end of the hub's log
// for the first time, and the returned updates are the whole log.
func (r *LogReader) Apply(batch LimitBatch) (updates []LimitUpdate, hubChanged, complete bool) {
	if hubChanged = batch.Cursor.Epoch != r.cursor.Epoch; hubChanged {
		*r = LogReader{} // such a hub sends its log from the start
	}
	r.cursor = batch.Cursor
	if r.complete {
		return batch.Updates, false, false
	}
	r.pending = append(r.pending, batch.Updates...)
	if !batch.Complete {
		return batch.Updates, hubChanged, false
	}
	updates, r.pending, r.complete = r.pending, nil, true
	return updates, hubChanged, true
}

// Cursor returns the position up to which the hub's log was read.
func (r *LogReader) Cursor() LogCursor { return r.cursor }

// Complete reports whether the end of the hub's log was reached since its start.
func (r *LogReader) Complete() bool { return r.complete }
