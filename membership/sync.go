package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// maxListing is the number of entries of a listing after which no further
// bucket is listed.
const maxListing = 256

func compareKeys(a, b string) int { return cmp.Compare(a, b) }

// sync compares records with another host, whose bucket sums differ: it lists
// its own records of those buckets, takes in what the other host has newer,
// and sends what that one wants.
func (m *Membership) sync(ctx context.Context, to Member, buckets []byte) {
	m.mu.Lock()
	listing, whole := m.list(m.store.differing(buckets))
	request := m.envelope(KindSync, to.ID)
	m.stats.Syncs++
	m.mu.Unlock()
	if len(listing.Buckets) == 0 {
		return
	}
	request.Listing = &listing
	answer, err := m.exchange(ctx, to, request, m.options.ProbeTimeout)
	if err != nil {
		return
	}
	m.sendWanted(ctx, to, answer.Want)
	if answer.More || !whole {
		m.syncSoon()
		return
	}
	m.setJoined()
}

// syncSoon makes the next exchange compare again, where one comparison wasn't
// enough.
func (m *Membership) syncSoon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextSync = boottime.Now()
}

// list lists whole buckets, from a random one on, and reports whether it
// listed all.
func (m *Membership) list(buckets []byte) (Listing, bool) {
	var listing Listing
	if len(buckets) == 0 {
		return listing, true
	}
	start := m.rng.IntN(len(buckets))
	for i := range buckets {
		bucket := buckets[(start+i)%len(buckets)]
		if bucket >= bucketCount {
			continue
		}
		if len(listing.Entries) >= maxListing {
			return listing, false
		}
		listing.Buckets = append(listing.Buckets, bucket)
		for _, r := range m.inBucket(bucket) {
			if r.lists() {
				listing.Entries = append(listing.Entries, Entry{Key: r.key, Version: r.version, Hash: r.hash})
			}
		}
	}
	return listing, true
}

// inBucket returns a bucket's records in the order of their keys.
func (m *Membership) inBucket(bucket byte) []*record {
	var records []*record
	for _, r := range m.store.buckets[bucket] {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return compareKeys(a.key, b.key) })
	return records
}

// compare answers a listing with the records that are newer here and the keys
// of those that are newer there.
func (m *Membership) compare(answer *Message, listing *Listing, now time.Time) {
	if listing == nil {
		return
	}
	listed := make(map[string]Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[entry.Key] = entry
		if m.lacks(entry) {
			answer.Want = append(answer.Want, entry.Key)
		}
	}
	var newer []*record
	for _, bucket := range listing.Buckets {
		if bucket >= bucketCount {
			continue
		}
		for _, r := range m.inBucket(bucket) {
			entry, ok := listed[r.key]
			if ok && r.newerThan(entry) || !ok && r.lists() {
				newer = append(newer, r)
			}
		}
	}
	m.add(answer, newer, "", m.options.MaxSyncBytes, now)
}

// lacks says that an entry names a record that may be newer than the one
// here. Of one version with two values, each side asks for the other's.
func (m *Membership) lacks(entry Entry) bool {
	r := m.store.get(entry.Key)
	if r == nil {
		return true
	}
	return entry.Version > r.version || entry.Version == r.version && entry.Hash != r.hash && r.lists()
}

func (r *record) newerThan(entry Entry) bool {
	return r.version > entry.Version || r.version == entry.Version && (r.hash != entry.Hash || !r.lists())
}

// sendWanted sends the records that another host asked for.
func (m *Membership) sendWanted(ctx context.Context, to Member, keys []string) {
	now := boottime.Now()
	m.mu.Lock()
	var wanted []*record
	for _, key := range keys {
		if r := m.store.get(key); r != nil {
			wanted = append(wanted, r)
		}
	}
	message := m.envelope(KindPush, to.ID)
	added := m.add(&message, wanted, "", m.options.MaxSyncBytes, now)
	m.mu.Unlock()
	if len(added) == 0 {
		return
	}
	if _, err := m.exchange(ctx, to, message, m.options.ProbeTimeout); err != nil || message.More {
		m.syncSoon()
	}
}
