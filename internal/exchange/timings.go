package exchange

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/quetzalweir/quetzalweir/placement"
)

// Timings are what answers told of the paces of models, by service and model. They are
// told once in timingsEvery exchanges: they change slowly.
type Timings map[Name]placement.Timings

// timingsEvery is the number of exchanges between two that tell timings: about a second.
const timingsEvery = 7

// timingsSize is the size of an entry in messages: a name and six numbers.
const timingsSize = 4 + 6*4

// MarshalJSON implements json.Marshaler.
func (t Timings) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, timingsSize*len(t))
	for name, sums := range t {
		packed = binary.BigEndian.AppendUint32(packed, uint32(name))
		for _, v := range []float64{sums.Answers, sums.Weight, sums.Tokens, sums.Squares, sums.Times, sums.Products} {
			packed = binary.BigEndian.AppendUint32(packed, math.Float32bits(float32(v)))
		}
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Timings) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, timingsSize)
	if err != nil {
		return err
	}
	*t = make(Timings, len(packed)/timingsSize)
	for len(packed) > 0 {
		var v [6]float64
		for i := range v {
			v[i] = float64(math.Float32frombits(binary.BigEndian.Uint32(packed[4+4*i:])))
		}
		(*t)[Name(binary.BigEndian.Uint32(packed))] = placement.Timings{
			Answers: v[0], Weight: v[1], Tokens: v[2], Squares: v[3], Times: v[4], Products: v[5],
		}
		packed = packed[timingsSize:]
	}
	return nil
}

// add adds other hosts' timings.
func (t Timings) add(o Timings) {
	for name, sums := range o {
		all := t[name]
		all.Add(sums)
		t[name] = all
	}
}

// takeTimings keeps a host's timings, or what another hub told, until newer ones come. The
// lock is held.
func (h *hub) takeTimings(key string, t Timings) {
	if t != nil {
		h.timings[key] = t
	}
}

// toldTimings is what all hosts but one told.
func (h *hub) toldTimings(self string, who audience) Timings {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := make(Timings)
	for key, t := range h.timings {
		got, reports := h.reports[key]
		if !reports {
			delete(h.timings, key)
			continue
		}
		if key != self && who.hears(got) {
			sum.add(t)
		}
	}
	return sum
}

var (
	_ json.Marshaler   = Timings{}
	_ json.Unmarshaler = (*Timings)(nil)
)
