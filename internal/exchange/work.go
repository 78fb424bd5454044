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

// IDHash is a four-byte hash that stands for an upstream's ID in messages. Two of 12,000
// upstreams collide in about one installation of sixty; the sum of both's work then counts for
// each of them.
type IDHash uint32

// HashID returns the name of an upstream.
func HashID(upstream string) IDHash { return IDHash(hash(upstream)) }

// Work holds the work in flight by upstream: milliseconds of engine time, or requests. An entry
// takes eight bytes in a message. With upstream IDs written out, 90 upstreams would take twice
// a host's 7 KB a second.
type Work map[IDHash]float64

// workEntrySize is the size of an encoded entry in bytes: a name, and the work up to maxWork.
const (
	workEntrySize = 6
	maxWork       = math.MaxUint16
)

// MarshalJSON implements json.Marshaler.
func (w Work) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, workEntrySize*len(w))
	for _, name := range slices.Sorted(maps.Keys(w)) {
		packed = binary.BigEndian.AppendUint32(packed, uint32(name))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(maxWork, max(0, math.Round(w[name])))))
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

// Reads lists the shared prompt prefixes that were sent to upstreams for the first time, by
// upstream.
type Reads map[IDHash][]placement.PrefixKey

// readEntrySize is the size of an encoded read in bytes, before base64.
const readEntrySize = 8

// MarshalJSON implements json.Marshaler.
func (r Reads) MarshalJSON() ([]byte, error) {
	var packed []byte
	for name, keys := range r {
		for _, key := range keys {
			packed = binary.BigEndian.AppendUint32(packed, uint32(name))
			packed = binary.BigEndian.AppendUint32(packed, uint32(key))
		}
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Reads) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, readEntrySize)
	if err != nil {
		return err
	}
	*r = make(Reads)
	for entry := range slices.Chunk(packed, readEntrySize) {
		name := IDHash(binary.BigEndian.Uint32(entry))
		(*r)[name] = append((*r)[name], placement.PrefixKey(binary.BigEndian.Uint32(entry[4:])))
	}
	return nil
}

// add adds other reads.
func (r Reads) add(o Reads) {
	for upstream, keys := range o {
		r[upstream] = append(r[upstream], keys...)
	}
}

func marshalPacked(packed []byte) ([]byte, error) {
	return json.Marshal(base64.RawStdEncoding.EncodeToString(packed))
}

// unmarshalPacked decodes a JSON string of base64 to entries of the given size in bytes.
func unmarshalPacked(data []byte, entry int) ([]byte, error) {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	packed, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if len(packed)%entry != 0 {
		return nil, fmt.Errorf("exchange: %d bytes aren't whole entries of %d", len(packed), entry)
	}
	return packed, nil
}
