package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Losses are losses in messages: a digest, an upstream and the age, how long the request had been there, in 24 bytes each.
type Losses []AgedLoss

// AgedLoss is a loss and how long ago it was.
type AgedLoss struct {
	Digest      quarantine.Digest
	Incarnation quarantine.Incarnation
	Age         time.Duration
	// Ran is for how long the request had been there at the end.
	Ran time.Duration
}

const lossSize = 16 + 4 + 2 + 2

// MarshalJSON implements json.Marshaler.
func (l Losses) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, lossSize*len(l))
	for _, loss := range l {
		packed = append(packed, loss.Digest[:]...)
		packed = binary.BigEndian.AppendUint32(packed, uint32(loss.Incarnation))
		packed = appendAge(packed, loss.Age)
		packed = appendAge(packed, loss.Ran)
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Losses) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, lossSize)
	if err != nil {
		return err
	}
	*l = make(Losses, 0, len(packed)/lossSize)
	for entry := range slices.Chunk(packed, lossSize) {
		*l = append(*l, AgedLoss{
			Digest: quarantine.Digest(entry[:16]), Incarnation: quarantine.Incarnation(binary.BigEndian.Uint32(entry[16:])), Age: age(entry[20:]), Ran: age(entry[22:]),
		})
	}
	return nil
}

// Digests are digests in messages.
type Digests []quarantine.Digest

const digestSize = 16

// MarshalJSON implements json.Marshaler.
func (d Digests) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, digestSize*len(d))
	for _, digest := range d {
		packed = append(packed, digest[:]...)
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Digests) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, digestSize)
	if err != nil {
		return err
	}
	*d = make(Digests, 0, len(packed)/digestSize)
	for entry := range slices.Chunk(packed, digestSize) {
		*d = append(*d, quarantine.Digest(entry))
	}
	return nil
}

// Endings are upstreams that ended.
type Endings []Ending

// Ending is an upstream that ended, how long ago, and whether a judged request explains it.
type Ending struct {
	Incarnation quarantine.Incarnation
	Age         time.Duration
	Explained   bool
}

const endingSize = 4 + 2 + 1

// MarshalJSON implements json.Marshaler.
func (e Endings) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, endingSize*len(e))
	for _, ending := range e {
		packed = binary.BigEndian.AppendUint32(packed, uint32(ending.Incarnation))
		packed = appendAge(packed, ending.Age)
		explained := byte(0)
		if ending.Explained {
			explained = 1
		}
		packed = append(packed, explained)
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Endings) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, endingSize)
	if err != nil {
		return err
	}
	*e = make(Endings, 0, len(packed)/endingSize)
	for entry := range slices.Chunk(packed, endingSize) {
		*e = append(*e, Ending{Incarnation: quarantine.Incarnation(binary.BigEndian.Uint32(entry)), Age: age(entry[4:]), Explained: entry[6] != 0})
	}
	return nil
}

// Suspects are suspicions in messages.
type Suspects []AgedSuspicion

// AgedSuspicion is a suspicion that hosts pass on.
type AgedSuspicion struct {
	Digest quarantine.Digest
	Events int
	// Age is how long ago the host said so that knows of it itself, so that it doesn't go
	// round; FirstAge how long ago the first upstream ended with it.
	Age, FirstAge time.Duration
}

const suspectSize = digestSize + 1 + 2 + 2

// MarshalJSON implements json.Marshaler.
func (s Suspects) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, suspectSize*len(s))
	for _, suspect := range s {
		packed = append(packed, suspect.Digest[:]...)
		packed = append(packed, byte(min(math.MaxUint8, suspect.Events)))
		packed = appendAge(packed, suspect.Age)
		packed = appendAge(packed, suspect.FirstAge)
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Suspects) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, suspectSize)
	if err != nil {
		return err
	}
	*s = make(Suspects, 0, len(packed)/suspectSize)
	for entry := range slices.Chunk(packed, suspectSize) {
		*s = append(*s, AgedSuspicion{
			Digest: quarantine.Digest(entry[:digestSize]), Events: int(entry[digestSize]),
			Age: age(entry[digestSize+1:]), FirstAge: age(entry[digestSize+3:]),
		})
	}
	return nil
}

// appendAge appends an age in milliseconds, up to a minute.
func appendAge(packed []byte, age time.Duration) []byte {
	return binary.BigEndian.AppendUint16(packed, uint16(min(math.MaxUint16, max(0, age.Milliseconds()))))
}

func age(entry []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(entry)) * time.Millisecond
}
