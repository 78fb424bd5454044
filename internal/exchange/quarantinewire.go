package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Losses lists losses on the wire, in 24 bytes each: the digest, the upstream's incarnation,
// the age, and how long the request had been at the upstream.
type Losses []AgedLoss

// AgedLoss is a loss with its age, the time since the upstream terminated, in place of its
// time.
type AgedLoss struct {
	Digest      quarantine.Digest
	Incarnation quarantine.Incarnation
	Age         time.Duration
	// Ran is how long the request had been at the upstream when the upstream terminated.
	Ran time.Duration
}

const lossSize = 16 + 4 + 2 + 2

// MarshalJSON implements json.Marshaler.
func (l Losses) MarshalJSON() ([]byte, error) {
	return marshalList(l, lossSize, func(packed []byte, loss AgedLoss) []byte {
		packed = append(packed, loss.Digest[:]...)
		packed = binary.BigEndian.AppendUint32(packed, uint32(loss.Incarnation))
		packed = appendAge(packed, loss.Age)
		packed = appendAge(packed, loss.Ran)
		return packed
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Losses) UnmarshalJSON(data []byte) (err error) {
	*l, err = unmarshalList(data, lossSize, func(entry []byte) AgedLoss {
		return AgedLoss{
			Digest: quarantine.Digest(entry[:16]), Incarnation: quarantine.Incarnation(binary.BigEndian.Uint32(entry[16:])), Age: decodeAge(entry[20:]), Ran: decodeAge(entry[22:]),
		}
	})
	return err
}

// Digests lists request digests on the wire.
type Digests []quarantine.Digest

const digestSize = 16

// MarshalJSON implements json.Marshaler.
func (d Digests) MarshalJSON() ([]byte, error) {
	return marshalList(d, digestSize, func(packed []byte, digest quarantine.Digest) []byte {
		packed = append(packed, digest[:]...)
		return packed
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Digests) UnmarshalJSON(data []byte) (err error) {
	*d, err = unmarshalList(data, digestSize, func(entry []byte) quarantine.Digest {
		return quarantine.Digest(entry)
	})
	return err
}

// Terminations lists terminated upstreams on the wire.
type Terminations []Termination

// Termination is a terminated upstream: its incarnation, the time since it terminated, and whether
// a request with a verdict ran there, which explains the termination.
type Termination struct {
	Incarnation quarantine.Incarnation
	Age         time.Duration
	Explained   bool
}

const terminationSize = 4 + 2 + 1

// MarshalJSON implements json.Marshaler.
func (e Terminations) MarshalJSON() ([]byte, error) {
	return marshalList(e, terminationSize, func(packed []byte, termination Termination) []byte {
		packed = binary.BigEndian.AppendUint32(packed, uint32(termination.Incarnation))
		packed = appendAge(packed, termination.Age)
		explained := byte(0)
		if termination.Explained {
			explained = 1
		}
		packed = append(packed, explained)
		return packed
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Terminations) UnmarshalJSON(data []byte) (err error) {
	*e, err = unmarshalList(data, terminationSize, func(entry []byte) Termination {
		return Termination{Incarnation: quarantine.Incarnation(binary.BigEndian.Uint32(entry)), Age: decodeAge(entry[4:]), Explained: entry[6] != 0}
	})
	return err
}

// Suspects lists suspects on the wire.
type Suspects []AgedSuspect

// AgedSuspect is a suspect with ages in place of times.
type AgedSuspect struct {
	Digest quarantine.Digest
	Events int
	// Age is the time since the suspect was last reported by a host that has its losses; a host
	// that only passes the suspect on doesn't reset the age. FirstAge is the time since the
	// first upstream terminated with the request.
	Age, FirstAge time.Duration
}

const suspectSize = digestSize + 1 + 2 + 2

// MarshalJSON implements json.Marshaler.
func (s Suspects) MarshalJSON() ([]byte, error) {
	return marshalList(s, suspectSize, func(packed []byte, suspect AgedSuspect) []byte {
		packed = append(packed, suspect.Digest[:]...)
		packed = append(packed, byte(min(math.MaxUint8, suspect.Events)))
		packed = appendAge(packed, suspect.Age)
		packed = appendAge(packed, suspect.FirstAge)
		return packed
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Suspects) UnmarshalJSON(data []byte) (err error) {
	*s, err = unmarshalList(data, suspectSize, func(entry []byte) AgedSuspect {
		return AgedSuspect{
			Digest: quarantine.Digest(entry[:digestSize]), Events: int(entry[digestSize]),
			Age: decodeAge(entry[digestSize+1:]), FirstAge: decodeAge(entry[digestSize+3:]),
		}
	})
	return err
}

// appendAge appends an age in milliseconds, which is at most 65,535.
func appendAge(packed []byte, age time.Duration) []byte {
	return binary.BigEndian.AppendUint16(packed, uint16(min(math.MaxUint16, max(0, age.Milliseconds()))))
}

func decodeAge(entry []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(entry)) * time.Millisecond
}

// marshalList encodes a list as one JSON string of base64, with entries of size bytes each.
func marshalList[T any](list []T, size int, appendEntry func(packed []byte, entry T) []byte) ([]byte, error) {
	packed := make([]byte, 0, size*len(list))
	for _, entry := range list {
		packed = appendEntry(packed, entry)
	}
	return marshalPacked(packed)
}

// unmarshalList decodes the output of marshalList.
func unmarshalList[T any](data []byte, size int, decodeEntry func(entry []byte) T) ([]T, error) {
	packed, err := unmarshalPacked(data, size)
	if err != nil {
		return nil, err
	}
	list := make([]T, 0, len(packed)/size)
	for entry := range slices.Chunk(packed, size) {
		list = append(list, decodeEntry(entry))
	}
	return list, nil
}
