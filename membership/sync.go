package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// maxListingEntries is the number of entries from which no further bucket is
// added to a listing.
const maxListingEntries = 256

func compareKeys(a, b string) int { return cmp.Compare(a, b) }

// sync reconciles the records with another host whose bucket sums differ: it
// sends a listing of the differing buckets, merges the records that are newer on
// the other host, and sends the records that the other host lacks.
func (m *Membership) sync(ctx context.Context, to Member, buckets []byte) {
	m.mu.Lock()
	listing, complete := m.newListing(m.store.differingBuckets(buckets))
	request := m.newMessage(KindSync, to.ID)
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
	m.sendWanted(ctx, to, answer.Wanted)
	if answer.Truncated || !complete {
		m.syncSoon()
		return
	}
	m.setJoined()
}

// syncSoon makes the next exchange request another sync, because the last one
// didn't transfer all differing records.
func (m *Membership) syncSoon() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextSyncAt = boottime.Now()
}

// newListing lists the records of the buckets, beginning with a random bucket, and
// reports whether it listed all buckets. It stops after the bucket with which the
// listing reaches maxListingEntries.
func (m *Membership) newListing(buckets []byte) (Listing, bool) {
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
		if len(listing.Entries) >= maxListingEntries {
			return listing, false
		}
		listing.Buckets = append(listing.Buckets, bucket)
		for _, r := range m.bucketRecords(bucket) {
			if r.inDigest() {
				listing.Entries = append(listing.Entries, Entry{Key: r.key, Version: r.version, Hash: r.hash})
			}
		}
	}
	return listing, true
}

// bucketRecords returns the records of a bucket in the order of their keys.
func (m *Membership) bucketRecords(bucket byte) []*record {
	var records []*record
	for _, r := range m.store.buckets[bucket] {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return compareKeys(a.key, b.key) })
	return records
}

// answerListing adds to the answer the records of the listed buckets that are
// newer on this host than in the listing, and the keys of the records that may
// be newer on the sender of the listing.
func (m *Membership) answerListing(answer *Message, listing *Listing, now time.Time) {
	if listing == nil {
		return
	}
	listed := make(map[string]Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[entry.Key] = entry
		if m.entryMayBeNewer(entry) {
			answer.Wanted = append(answer.Wanted, entry.Key)
		}
	}
	var newer []*record
	for _, bucket := range listing.Buckets {
		if bucket >= bucketCount {
			continue
		}
		for _, r := range m.bucketRecords(bucket) {
			entry, ok := listed[r.key]
			if ok && r.newerThan(entry) || !ok && r.inDigest() {
				newer = append(newer, r)
			}
		}
	}
	m.addRecords(answer, newer, "", m.options.MaxSyncBytes, now)
}

// entryMayBeNewer reports whether the record of an entry may be newer than the
// one that this host stores. If two values have the same version, each host
// requests the other's value.
func (m *Membership) entryMayBeNewer(entry Entry) bool {
	r := m.store.get(entry.Key)
	if r == nil {
		return true
	}
	return entry.Version > r.version || entry.Version == r.version && entry.Hash != r.hash && r.inDigest()
}

func (r *record) newerThan(entry Entry) bool {
	return r.version > entry.Version || r.version == entry.Version && (r.hash != entry.Hash || !r.inDigest())
}

// sendWanted sends the records with the keys that another host requested.
func (m *Membership) sendWanted(ctx context.Context, to Member, keys []string) {
	now := boottime.Now()
	m.mu.Lock()
	var wanted []*record
	for _, key := range keys {
		if r := m.store.get(key); r != nil {
			wanted = append(wanted, r)
		}
	}
	message := m.newMessage(KindPush, to.ID)
	added := m.addRecords(&message, wanted, "", m.options.MaxSyncBytes, now)
	m.mu.Unlock()
	if len(added) == 0 {
		return
	}
	if _, err := m.exchange(ctx, to, message, m.options.ProbeTimeout); err != nil || message.Truncated {
		m.syncSoon()
	}
}
