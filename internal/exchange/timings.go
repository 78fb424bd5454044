package exchange

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/quetzalweir/quetzalweir/placement"
)

// Timings holds sums over the measured speeds of models, by the hash of service and model. The
// sums change slowly and are sent only in one of exchangesPerTimings exchanges.
type Timings map[IDHash]placement.Timings

// exchangesPerTimings is the number of exchanges of which one carries timings. That many
// exchanges take about one second.
const exchangesPerTimings = 7

// timingsEntrySize is the size of an encoded entry in bytes: a hash and six numbers.
const timingsEntrySize = 4 + 6*4

// MarshalJSON implements json.Marshaler.
func (t Timings) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, timingsEntrySize*len(t))
	for id, sums := range t {
		packed = binary.BigEndian.AppendUint32(packed, uint32(id))
		for _, v := range []float64{sums.Answers, sums.Weight, sums.Tokens, sums.Squares, sums.Times, sums.Products} {
			packed = binary.BigEndian.AppendUint32(packed, math.Float32bits(float32(v)))
		}
	}
	return marshalPacked(packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Timings) UnmarshalJSON(data []byte) error {
	packed, err := unmarshalPacked(data, timingsEntrySize)
	if err != nil {
		return err
	}
	*t = make(Timings, len(packed)/timingsEntrySize)
	for len(packed) > 0 {
		var v [6]float64
		for i := range v {
			v[i] = float64(math.Float32frombits(binary.BigEndian.Uint32(packed[4+4*i:])))
		}
		(*t)[IDHash(binary.BigEndian.Uint32(packed))] = placement.Timings{
			Answers: v[0], Weight: v[1], Tokens: v[2], Squares: v[3], Times: v[4], Products: v[5],
		}
		packed = packed[timingsEntrySize:]
	}
	return nil
}

// add adds the sums of other hosts.
func (t Timings) add(o Timings) {
	for id, sums := range o {
		sum := t[id]
		sum.Add(sums)
		t[id] = sum
	}
}

// recordTimings stores the timings of a host or another hub under its key in the reports, in
// place of its previous timings. The caller holds the lock.
func (h *hub) recordTimings(key string, t Timings) {
	if t != nil {
		h.timings[key] = t
	}
}

// otherTimings returns the sums over the timings of all hosts except self.
func (h *hub) otherTimings(self string, to audience) Timings {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := make(Timings)
	for key, t := range h.timings {
		received, ok := h.reports[key]
		if !ok {
			delete(h.timings, key)
			continue
		}
		if key != self && to.includes(received) {
			sum.add(t)
		}
	}
	return sum
}

var (
	_ json.Marshaler   = Timings{}
	_ json.Unmarshaler = (*Timings)(nil)
)
