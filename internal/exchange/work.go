package exchange

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/quetzalweir/quetzalweir/placement"
)

// IDHash is a four-byte hash that stands for an upstream's ID in messages. Among 12,000
// upstreams, two have the same hash in about one installation of sixty; each of them then
// counts with the sum of their work.
type IDHash uint32

// HashID returns the hash of an upstream's ID, or of another name.
func HashID(id string) IDHash { return IDHash(hash(id)) }

// Work holds the work in flight by upstream: milliseconds of engine time, or the number of
// requests. An entry takes eight bytes in a message. With the upstreams' IDs written out, 90
// upstreams would take twice a host's budget of 7 KB a second.
type Work map[IDHash]float64

// workEntrySize is the size of an encoded entry in bytes: a hash, and the work up to maxWork.
const (
	workEntrySize = 6
	maxWork       = math.MaxUint16
)

// MarshalJSON implements json.Marshaler.
func (w Work) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, workEntrySize*len(w))
	for _, id := range slices.Sorted(maps.Keys(w)) {
		packed = binary.BigEndian.AppendUint32(packed, uint32(id))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(maxWork, max(0, math.Round(w[id])))))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Work) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, workEntrySize)
	if err != nil {
		return err
	}
	*w = make(Work, len(packed)/workEntrySize)
	for entry := range slices.Chunk(packed, workEntrySize) {
		(*w)[IDHash(binary.BigEndian.Uint32(entry))] = float64(binary.BigEndian.Uint16(entry[4:]))
	}
	return nil
}

// SentPrefixes lists, by upstream, the shared prompt prefixes that hosts sent to the upstream for
// the first time.
type SentPrefixes map[IDHash][]placement.PrefixKey

// prefixEntrySize is the size of an encoded entry of SentPrefixes in bytes, before base64: two
// hashes, of the upstream and of the prefix.
const prefixEntrySize = 8

// MarshalJSON implements json.Marshaler.
func (r SentPrefixes) MarshalJSON() ([]byte, error) {
	var packed []byte
	for id, keys := range r {
		for _, key := range keys {
			packed = binary.BigEndian.AppendUint32(packed, uint32(id))
			packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		}
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *SentPrefixes) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, prefixEntrySize)
	if err != nil {
		return err
	}
	*r = make(SentPrefixes)
	for entry := range slices.Chunk(packed, prefixEntrySize) {
		id := IDHash(binary.BigEndian.Uint32(entry))
		(*r)[id] = append((*r)[id], placement.PrefixKey(binary.BigEndian.Uint32(entry[4:])))
	}
	return nil
}

// add adds the prefixes in o.
func (r SentPrefixes) add(o SentPrefixes) {
	for upstream, keys := range o {
		r[upstream] = append(r[upstream], keys...)
	}
}

func marshalPacked(packed []byte) ([]byte, error) {
	return json.Marshal(base64.RawStdEncoding.EncodeToString(packed))
}

// unmarshalPacked decodes a JSON string of base64. The result must consist of entries of
// entrySize bytes.
func unmarshalPacked(data []byte, entrySize int) ([]byte, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if len(packed)%entrySize != 0 {
		return nil, fmt.Errorf("exchange: %d bytes aren't whole entries of %d", len(packed), entrySize)
	}
	return packed, nil
}
