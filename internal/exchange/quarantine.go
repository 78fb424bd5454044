package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
)

// Quarantine is what a host keeps of requests that end upstreams. Hosts tell their hub
// what they saw, and hubs tell each other; those hubs that are seeds judge. Back come the
// upstreams that ended, the suspects and the verdicts.
type Quarantine interface {
	// Sightings are what this host saw since the last call, Recent what it saw lately:
	// a new hub is told that.
	Sightings() Sightings
	Recent() Sightings
	// Take takes what others saw and returns what of it was new.
	Take(Sightings) Sightings
	// Standing is what this host's followers are told, TakeStanding takes the hub's.
	Standing() Standing
	TakeStanding(Standing)
	// Judges says whether this host judges by what it knows: it hears from all others, or
	// from none.
	Judges(bool)
}

// Sightings are losses, and suspects that were answered.
type Sightings struct {
	Losses   Losses  `json:"losses,omitempty"`
	Answered Digests `json:"answered,omitempty"`
}

// IsZero says whether there are none; such are left out of messages.
func (s Sightings) IsZero() bool { return len(s.Losses)+len(s.Answered) == 0 }

func (s *Sightings) add(o Sightings) {
	s.Losses = append(s.Losses, o.Losses...)
	s.Answered = append(s.Answered, o.Answered...)
}

// maxSightings bounds the sightings in one report and what a host keeps for its hub: the
// oldest go first. When a third of 12,000 upstreams is lost, a host of 440 has about a
// hundred.
const maxSightings = 256

// bounded keeps the newest.
func (s Sightings) bounded() Sightings {
	s.Losses = s.Losses[max(0, len(s.Losses)-maxSightings):]
	s.Answered = s.Answered[max(0, len(s.Answered)-maxSightings):]
	return s
}

// Standing is what is known of upstreams that ended and of the requests to blame.
type Standing struct {
	Ended    Endings              `json:"ended,omitempty"`
	Suspects Suspects             `json:"suspects,omitempty"`
	Verdicts []quarantine.Verdict `json:"verdicts,omitempty"`
}

// IsZero says whether there is nothing to tell.
func (s Standing) IsZero() bool { return len(s.Ended)+len(s.Suspects)+len(s.Verdicts) == 0 }

// Losses are losses in messages: a digest, an upstream and the age, in 22 bytes each.
type Losses []AgedLoss

// AgedLoss is a loss and how long ago it was.
type AgedLoss struct {
	Digest quarantine.Digest
	Life   quarantine.Life
	Age    time.Duration
}

const lossSize = 16 + 4 + 2

// MarshalJSON implements json.Marshaler.
func (l Losses) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, lossSize*len(l))
	for _, loss := range l {
		packed = append(packed, loss.Digest[:]...)
		packed = binary.BigEndian.AppendUint32(packed, uint32(loss.Life))
		packed = appendAge(packed, loss.Age)
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
			Digest: quarantine.Digest(entry[:16]), Life: quarantine.Life(binary.BigEndian.Uint32(entry[16:])), Age: age(entry[20:]),
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
	Life      quarantine.Life
	Age       time.Duration
	Explained bool
}

const endingSize = 4 + 2 + 1

// MarshalJSON implements json.Marshaler.
func (e Endings) MarshalJSON() ([]byte, error) {
	packed := make([]byte, 0, endingSize*len(e))
	for _, ending := range e {
		packed = binary.BigEndian.AppendUint32(packed, uint32(ending.Life))
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
		*e = append(*e, Ending{Life: quarantine.Life(binary.BigEndian.Uint32(entry)), Age: age(entry[4:]), Explained: entry[6] != 0})
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

// sightingLog numbers what a hub was told. Another hub names the last number that it knows
// and is told the rest; what it knows by another way it drops.
type sightingLog struct {
	entries []sighting
	last    uint64
}

// sighting is a loss, or a suspect that was answered.
type sighting struct {
	digest   quarantine.Digest
	life     quarantine.Life
	at       time.Time
	answered bool
	// from is who told it.
	from string
}

// maxSightingLog bounds what a hub keeps for other hubs, in entries of some 60 bytes.
const maxSightingLog = 4096

func (l *sightingLog) add(from string, s Sightings, now time.Time) {
	for _, loss := range s.Losses {
		l.entries = append(l.entries, sighting{digest: loss.Digest, life: loss.Life, at: now.Add(-loss.Age), from: from})
	}
	for _, d := range s.Answered {
		l.entries = append(l.entries, sighting{digest: d, answered: true, from: from})
	}
	l.last += uint64(len(s.Losses) + len(s.Answered))
	if surplus := len(l.entries) - maxSightingLog; surplus > 0 {
		l.entries = slices.Clone(l.entries[surplus:])
	}
}

// since is what others than the asker told after a number, the oldest first and of
// maxSightings at most, and the number of the last of these. A number of another hub, or of this one before it
// started anew, names nothing: all that is known is told.
func (l *sightingLog) since(number uint64, asker string, now time.Time) (Sightings, uint64) {
	n := len(l.entries)
	if number <= l.last {
		n = int(min(uint64(n), l.last-number))
	}
	told := l.entries[len(l.entries)-n:]
	last := l.last
	if len(told) > maxSightings {
		last -= uint64(len(told) - maxSightings)
		told = told[:maxSightings]
	}
	var s Sightings
	for _, e := range told {
		switch {
		case e.from == asker:
		case e.answered:
			s.Answered = append(s.Answered, e.digest)
		default:
			s.Losses = append(s.Losses, AgedLoss{Digest: e.digest, Life: e.life, Age: now.Sub(e.at)})
		}
	}
	return s, last
}

// takeSightings keeps what a host or another hub told, as far as it was new.
func (h *hub) takeSightings(from string, s Sightings) {
	if h.quarantine == nil || s.IsZero() {
		return
	}
	if from != h.self { // this host knows its own
		s = h.quarantine.Take(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings.add(from, s, boottime.Now())
}

// sightingsSince is what this hub was told after a number by others than the hub at the
// address.
func (h *hub) sightingsSince(number uint64, address string) (Sightings, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sightings.since(number, hubKey(address), boottime.Now())
}

// standing is what a follower is told, or another hub, which knows all but the verdicts
// by itself.
func (h *hub) standing(who audience) Standing {
	if h.quarantine == nil {
		return Standing{}
	}
	s := h.quarantine.Standing()
	if who == toHub {
		return Standing{Verdicts: s.Verdicts}
	}
	return s
}

// takeStanding takes what a hub told.
func (m *Member) takeStanding(s Standing) {
	if m.options.Quarantine != nil && !s.IsZero() {
		m.options.Quarantine.TakeStanding(s)
	}
}

// noteSightings adds what this host saw since the last report to what its hub wasn't told.
func (m *Member) noteSightings() {
	if m.options.Quarantine != nil {
		m.unseen.add(m.options.Quarantine.Sightings())
		m.unseen = m.unseen.bounded()
	}
}

// tellAnew has the next report tell a new hub all that this host saw lately.
func (m *Member) tellAnew() {
	m.toldSightings = 0
	if m.options.Quarantine != nil {
		m.unseen = m.options.Quarantine.Recent().bounded()
	}
}

// noteRole tells the quarantine whether this host judges. Hosts with a hub leave that to
// it: they don't know what else ran at the upstreams that ended.
func (m *Member) noteRole() {
	if m.options.Quarantine != nil {
		m.options.Quarantine.Judges(m.current == "" || m.current == m.options.Listen)
	}
}

// Told says whether the verdicts of all others reach this host over its hub, or over the
// other seeds if it is one.
func (m *Member) Told() bool {
	if m.Hub() != m.options.Listen {
		return m.Heard()
	}
	return m.seedsAnswer.Load()
}

// noteSeeds notes whether all other seeds answered this host's last question. The lock is
// held.
func (m *Member) noteSeeds() {
	answer := true
	for _, seed := range m.options.Seeds {
		if q := m.others[seed]; seed != m.options.Listen && (q == nil || !q.answered) {
			answer = false
		}
	}
	m.seedsAnswer.Store(answer)
}
