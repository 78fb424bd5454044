package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of parts that the records are compared in.
	bucketCount = 64
	// bucketBytes is the size of a bucket's sum in a message.
	bucketBytes = 4
	// Prefixes keep the keys of members and facts apart.
	memberPrefix = "m/"
	factPrefix   = "f/"
)

// record is one member or fact with what is needed to spread it.
type record struct {
	key    string
	bucket uint8
	// sum is what the record adds to its bucket's sum; zero if it is left out.
	sum uint64
	// version and hash are what an Entry says of it.
	version uint64
	hash    uint32

	isMember bool
	member   Member
	fact     Fact

	// since is when the present version was learnt.
	since time.Time
	// expires is the end of a fact's lifetime or of its tombstone; zero if
	// none.
	expires time.Time
	// heard is when a message of the member last came.
	heard time.Time

	// hot says that the record is in the store's hot list; sends counts the
	// messages that carried this version.
	hot   bool
	sends int
	// source is the host that brought this version; it isn't told again.
	source string
}

// lists says whether the record takes part in digests: members that are Down
// and expired facts don't, because hosts drop them at different times.
func (r *record) lists() bool {
	if r.isMember {
		return r.member.alive()
	}
	return !r.fact.Expired()
}

// size estimates the record's size in a message, in bytes.
func (r *record) size() int {
	const overhead = 64
	if r.isMember {
		m := r.member
		return overhead + len(m.ID) + len(m.Zone) + len(m.PeerAddr) + len(m.CallerAddr) + len(m.OperatorAddr)
	}
	return overhead + len(r.fact.Key) + len(r.fact.Value)*4/3
}

// store holds all records, their sums by bucket, and the hot list: the ones
// that still have to be sent.
type store struct {
	records map[string]*record
	sums    [bucketCount]uint64
	buckets [bucketCount]map[string]*record
	hot     []*record
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

// ensure returns the record of a key, made if it is absent.
func (s *store) ensure(key string, isMember bool) *record {
	if r, ok := s.records[key]; ok {
		return r
	}
	r := &record{key: key, isMember: isMember, bucket: uint8(xxhash.Sum64String(key) % bucketCount)}
	s.records[key] = r
	s.buckets[r.bucket][key] = r
	s.count(isMember, 1)
	return r
}

// updated takes a record's new content into the sums.
func (s *store) updated(r *record) {
	r.version, r.hash = r.member.version(), 0
	if !r.isMember {
		r.version, r.hash = r.fact.Version, uint32(xxhash.Sum64(r.fact.Value))
	}
	s.sums[r.bucket] ^= r.sum
	r.sum = 0
	if r.lists() {
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

// heat puts a record on the hot list, as not sent yet.
func (s *store) heat(r *record, source string) {
	r.sends = 0
	r.source = source
	if r.hot {
		return
	}
	r.hot = true
	s.hot = append(s.hot, r)
}

// cool drops the records that were sent limit times.
func (s *store) cool(limit int) {
	kept := s.hot[:0]
	for _, r := range s.hot {
		if r.sends < limit && s.records[r.key] == r {
			kept = append(kept, r)
			continue
		}
		r.hot = false
	}
	clear(s.hot[len(kept):])
	s.hot = kept
}

// remove forgets a record.
func (s *store) remove(r *record) {
	s.sums[r.bucket] ^= r.sum
	delete(s.records, r.key)
	delete(s.buckets[r.bucket], r.key)
	s.count(r.isMember, -1)
}

func (s *store) count(isMember bool, change int) {
	if isMember {
		s.members += change
		return
	}
	s.facts += change
}

// sum returns the digest of all records.
func (s *store) sum() uint64 {
	var total uint64
	for _, sum := range s.sums {
		total ^= sum
	}
	return total
}

// bucketSums returns the sums as a message carries them.
func (s *store) bucketSums() []byte {
	data := make([]byte, 0, bucketCount*bucketBytes)
	for _, sum := range s.sums {
		data = binary.BigEndian.AppendUint32(data, uint32(sum))
	}
	return data
}

// differing returns the buckets whose sums aren't those of another host.
func (s *store) differing(theirs []byte) []byte {
	if len(theirs) != bucketCount*bucketBytes {
		return nil
	}
	var buckets []byte
	for i, sum := range s.sums {
		if uint32(sum) != binary.BigEndian.Uint32(theirs[i*bucketBytes:]) {
			buckets = append(buckets, byte(i))
		}
	}
	return buckets
}
