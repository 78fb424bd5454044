package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets in which a sync compares records.
	bucketCount = 64
	// bucketBytes is the size of a bucket's sum in a message.
	bucketBytes = 4
	// memberPrefix and factPrefix separate the keys of members and facts.
	memberPrefix = "m/"
	factPrefix   = "f/"
)

// record is one member or fact with the state of its dissemination.
type record struct {
	key    string
	bucket uint8
	// sum is the record's contribution to its bucket's sum. It is zero if the
	// digest excludes the record.
	sum uint64
	// version and hash are the record's Entry.Version and Entry.Hash in listings.
	version uint64
	hash    uint32

	isMember bool
	member   Member
	fact     Fact

	// updatedAt is when the current version was stored.
	updatedAt time.Time
	// expiresAt is the end of a fact's lifetime, or of the retention of its
	// tombstone. It is zero if the lifetime is unlimited.
	expiresAt time.Time
	// lastContact is when the last message from the member arrived.
	lastContact time.Time

	// queued reports whether the record is in the broadcast queue; transmissions
	// counts the messages with this version that were sent since the record was
	// queued.
	queued        bool
	transmissions int
	// sourceHost is the host that sent this version, to which it isn't sent
	// back. It is empty if there is none, or if another host has requested the
	// record.
	sourceHost string
}

// inDigest reports whether digests include the record. They exclude members
// that are Down and expired facts, because hosts remove these at different
// times and their digests would otherwise differ in the meantime.
func (r *record) inDigest() bool {
	if r.isMember {
		return r.member.alive()
	}
	return !r.fact.Expired()
}

// size returns the estimated size of the record in a message, in bytes.
func (r *record) size() int {
	const overhead = 64
	if r.isMember {
		m := r.member
		return overhead + len(m.ID) + len(m.Zone) + len(m.PeerAddr) + len(m.CallerAddr) + len(m.OperatorAddr)
	}
	return overhead + len(r.fact.Key) + len(r.fact.Value)*4/3
}

// store holds all records, their sums by bucket, and the broadcast queue: the
// records to send with the next exchanges.
type store struct {
	records    map[string]*record
	sums       [bucketCount]uint64
	buckets    [bucketCount]map[string]*record
	broadcasts []*record
	// members and facts count the records of each kind.
	members, facts int
}

func newStore() *store {
	s := &store{records: make(map[string]*record)}
	for i := range s.buckets {
		s.buckets[i] = make(map[string]*record)
	}
	return s
}

// get returns the record of a key, or nil.
func (s *store) get(key string) *record { return s.records[key] }

func (s *store) member(id string) *record { return s.records[memberPrefix+id] }

func (s *store) fact(key string) *record { return s.records[factPrefix+key] }

// ensure returns the record of a key and creates it if necessary.
func (s *store) ensure(key string, isMember bool) *record {
	if r, ok := s.records[key]; ok {
		return r
	}
	r := &record{key: key, isMember: isMember, bucket: uint8(xxhash.Sum64String(key) % bucketCount)}
	s.records[key] = r
	s.buckets[r.bucket][key] = r
	s.adjustCount(isMember, 1)
	return r
}

// refresh updates the record's version and hash, and the sums, after a change of
// its member or fact.
func (s *store) refresh(r *record) {
	r.version, r.hash = r.member.version(), 0
	if !r.isMember {
		r.version, r.hash = r.fact.Version, uint32(xxhash.Sum64(r.fact.Value))
	}
	s.sums[r.bucket] ^= r.sum
	r.sum = 0
	if r.inDigest() {
		r.sum = recordSum(r)
	}
	s.sums[r.bucket] ^= r.sum
}

func recordSum(r *record) uint64 {
	data := append(make([]byte, 0, MaxFactKey+16), r.key...)
	data = binary.BigEndian.AppendUint64(data, r.version)
	data = binary.BigEndian.AppendUint32(data, r.hash)
	return xxhash.Sum64(data)
}

// enqueue adds a record to the broadcast queue, sets the host that sent it, and
// resets the number of its transmissions.
func (s *store) enqueue(r *record, sourceHost string) {
	r.transmissions = 0
	r.sourceHost = sourceHost
	if r.queued {
		return
	}
	r.queued = true
	s.broadcasts = append(s.broadcasts, r)
}

// pruneSent removes from the broadcast queue the records that were sent limit times
// and those that are no longer stored.
func (s *store) pruneSent(limit int) {
	remaining := s.broadcasts[:0]
	for _, r := range s.broadcasts {
		if r.transmissions < limit && s.records[r.key] == r {
			remaining = append(remaining, r)
			continue
		}
		r.queued = false
	}
	clear(s.broadcasts[len(remaining):])
	s.broadcasts = remaining
}

// remove removes a record.
func (s *store) remove(r *record) {
	s.sums[r.bucket] ^= r.sum
	delete(s.records, r.key)
	delete(s.buckets[r.bucket], r.key)
	s.adjustCount(r.isMember, -1)
}

func (s *store) adjustCount(isMember bool, change int) {
	if isMember {
		s.members += change
		return
	}
	s.facts += change
}

// digest returns the digest of all records.
func (s *store) digest() uint64 {
	var total uint64
	for _, sum := range s.sums {
		total ^= sum
	}
	return total
}

// bucketSums returns the sums in the encoding of Message.Buckets.
func (s *store) bucketSums() []byte {
	data := make([]byte, 0, bucketCount*bucketBytes)
	for _, sum := range s.sums {
		data = binary.BigEndian.AppendUint32(data, uint32(sum))
	}
	return data
}

// differingBuckets returns the buckets whose sums differ from another host's.
func (s *store) differingBuckets(remote []byte) []byte {
	if len(remote) != bucketCount*bucketBytes {
		return nil
	}
	var buckets []byte
	for i, sum := range s.sums {
		if uint32(sum) != binary.BigEndian.Uint32(remote[i*bucketBytes:]) {
			buckets = append(buckets, byte(i))
		}
	}
	return buckets
}
