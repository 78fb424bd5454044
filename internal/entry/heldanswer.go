package entry

import (
	"errors"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// heldAnswer is a whole answer of a cascade's step, held back from the caller.
type heldAnswer struct {
	sink    *heldSink
	score   float64
	model   string
	version manifest.Version
	target  upstream.Target
	usage   upstream.Usage
}

// newHeldAnswer keeps what the step that just ended decided.
func newHeldAnswer(r *Request, sink *heldSink, score float64) *heldAnswer {
	return &heldAnswer{
		sink:    sink,
		score:   score,
		model:   r.Model,
		version: r.Version,
		target:  r.Target,
		usage:   r.Usage,
	}
}

// better is the answer with the higher score; either may be nil.
func better(a, b *heldAnswer) *heldAnswer {
	if a == nil || (b != nil && b.score > a.score) {
		return b
	}
	return a
}

// release hands the answer to the caller as the request's own.
func (a *heldAnswer) release(r *Request, caller Sink) error {
	r.Model = a.model
	r.Version = a.version
	r.Target = a.target
	r.Usage = a.usage
	for _, frame := range a.sink.frames {
		if err := caller.Frame(r, frame); err != nil {
			return resultcode.Wrap(resultcode.CallerGone, err, "the caller left")
		}
	}
	return nil
}

// errHeldTooLarge bounds what is held back.
var errHeldTooLarge = errors.New("the held answer is too large")

// maxHeld is the most that a held answer may have, in bytes.
const maxHeld = 4 << 20

// heldSink keeps the frames of an answer until it is accepted.
type heldSink struct {
	frames []upstream.Frame
	text   []byte
	size   int
}

// Frame implements Sink.
func (s *heldSink) Frame(_ *Request, f upstream.Frame) error {
	s.size += len(f.Data)
	if s.size > maxHeld {
		return errHeldTooLarge
	}
	f.Data = append([]byte(nil), f.Data...)
	s.frames = append(s.frames, f)
	s.text = append(s.text, f.Text...)
	return nil
}

// Service implements Sink; a cascade has no services.
func (s *heldSink) Service(*Request, upstream.ServiceAnswer) {}

// Started implements Sink.
func (s *heldSink) Started() bool { return false }

// Reset implements Sink.
func (s *heldSink) Reset() { *s = heldSink{} }

// Text implements Sink.
func (s *heldSink) Text() string { return string(s.text) }

// Answer implements Sink; only the caller's sink has a whole answer.
func (s *heldSink) Answer(*Request) upstream.ServiceAnswer { return upstream.ServiceAnswer{} }

// Replay implements Sink; replays go to the caller's sink.
func (s *heldSink) Replay(*Request, upstream.ServiceAnswer) {}
