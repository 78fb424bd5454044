package entry

import (
	"errors"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/upstream"
)

// bufferedAnswer is the complete answer of one step of a cascade. It hasn't been sent
// to the caller.
type bufferedAnswer struct {
	sink    *bufferSink
	score   float64
	policy  *manifest.Policy
	model   string
	version manifest.Version
	target  upstream.Target
	usage   upstream.Usage
}

// newBufferedAnswer returns the answer with the policy, model, version, upstream and
// usage of the step that just ended.
func newBufferedAnswer(r *Request, sink *bufferSink, score float64) *bufferedAnswer {
	return &bufferedAnswer{
		sink:    sink,
		score:   score,
		policy:  r.Policy,
		model:   r.Model,
		version: r.Version,
		target:  r.Target,
		usage:   r.Usage,
	}
}

// higherScored returns the answer with the higher score. Either may be nil.
func higherScored(a, b *bufferedAnswer) *bufferedAnswer {
	if a == nil || (b != nil && b.score > a.score) {
		return b
	}
	return a
}

// deliver writes the answer to the caller's sink. It sets the request's policy, model,
// version, upstream and usage to those of the step.
func (a *bufferedAnswer) deliver(r *Request, caller Sink) error {
	r.Policy = a.policy
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

// errBufferFull means that an answer exceeds maxBufferedBytes.
var errBufferFull = errors.New("the answer exceeds the buffer size")

// maxBufferedBytes is the maximum size of a buffered answer.
const maxBufferedBytes = 4 << 20

// bufferSink buffers the frames of an answer until it is accepted.
type bufferSink struct {
	frames []upstream.Frame
	text   []byte
	size   int
}

// Frame implements Sink.
func (s *bufferSink) Frame(_ *Request, f upstream.Frame) error {
	s.size += len(f.Data)
	if s.size > maxBufferedBytes {
		return errBufferFull
	}
	f.Data = append([]byte(nil), f.Data...)
	s.frames = append(s.frames, f)
	s.text = append(s.text, f.Text...)
	return nil
}

// Service implements Sink. It does nothing: cascades don't call services.
func (s *bufferSink) Service(*Request, upstream.ServiceResponse) {}

// Started implements Sink.
func (s *bufferSink) Started() bool { return false }

// Reset implements Sink.
func (s *bufferSink) Reset() { *s = bufferSink{} }

// Text implements Sink.
func (s *bufferSink) Text() string { return string(s.text) }

// Answer implements Sink. It returns the zero value. Answer is called only to store the
// answer in a claim, and by then the request's sink is the caller's sink.
func (s *bufferSink) Answer(*Request) upstream.ServiceResponse { return upstream.ServiceResponse{} }

// Replay implements Sink. It does nothing: replays go to the caller's sink.
func (s *bufferSink) Replay(*Request, upstream.ServiceResponse) {}
