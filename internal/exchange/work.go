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

// Name stands for an upstream's id in messages, in four bytes. Two of 12,000 upstreams have
// the same one in one installation of sixty; each is then believed to have both's work.
type Name uint32

// NameOf is the name of an upstream.
func NameOf(upstream string) Name { return Name(hash(upstream)) }

// Work is work in flight by upstream: milliseconds of an engine, or requests. In messages
// it takes eight bytes an upstream; written out with their ids 90 upstreams would take
// twice a host's 7 KB a second.
type Work map[Name]float64

// workEntry is the size of an entry: a name, and the work up to maxWork.
const (
	workEntry = 6
	maxWork   = math.MaxUint16
)

// MarshalJSON implements json.Marshaler.
func (w Work) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, workEntry*len(w))
	for _, name := range slices.Sorted(maps.Keys(w)) {
		packed = binary.BigEndian.AppendUint32(packed, uint32(name))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(maxWork, max(0, math.Round(w[name])))))
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Work) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, workEntry)
	if err != nil {
		return err
	}
	*w = make(Work, len(packed)/workEntry)
	for entry := range slices.Chunk(packed, workEntry) {
		(*w)[Name(binary.BigEndian.Uint32(entry))] = float64(binary.BigEndian.Uint16(entry[4:]))
	}
	return nil
}

// Reads are the shared parts of prompts that upstreams were sent for the first time.
type Reads map[Name][]placement.Key

// readSize is the size of a read in messages, before it is written as text.
const readSize = 8

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
	packed, err := unmarshalPacked(data, readSize)
	if err != nil {
		return err
	}
	*r = make(Reads)
	for entry := range slices.Chunk(packed, readSize) {
		name := Name(binary.BigEndian.Uint32(entry))
		(*r)[name] = append((*r)[name], placement.Key(binary.BigEndian.Uint32(entry[4:])))
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

// unmarshalPacked returns the bytes of a text, whole entries of a size.
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
