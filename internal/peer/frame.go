package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

const (
	// headerBytes is the size of the length that starts each frame.
	headerBytes = 4
	// tagBytes is the part of the HMAC-SHA256 that a frame carries.
	tagBytes = 16
)

// stream is a jsonrpc2.ObjectStream of authenticated frames:
//
//	length of the payload, 4 bytes, big-endian
//	tag, 16 bytes: HMAC-SHA256 over sequence number and payload, truncated
//	payload: one JSON-RPC message
//
// The sequence number is implicit, so a frame that is repeated, left out or
// moved gives a wrong tag.
type stream struct {
	conn   net.Conn
	limits Limits

	writing sync.Mutex
	send    frameMAC

	receive frameMAC
	// received is the size of the last frame read, of the reading goroutine.
	received int
	// lastRead is when the last frame was complete, as boottime.Elapsed in nanoseconds: a
	// jump of the time of day is no silence, and the time of a suspension is one.
	lastRead atomic.Int64

	failure atomic.Pointer[error]
	onWrite func(size int)
}

func newStream(conn net.Conn, s session, limits Limits) *stream {
	st := &stream{
		conn:    conn,
		limits:  limits,
		send:    newFrameMAC(s.sendKey),
		receive: newFrameMAC(s.receiveKey),
	}
	st.lastRead.Store(int64(boottime.Elapsed()))
	return st
}

// frameMAC computes the tags of one direction. It is used by one goroutine.
type frameMAC struct {
	mac hash.Hash
	seq uint64
}

func newFrameMAC(key []byte) frameMAC {
	return frameMAC{mac: hmac.New(sha256.New, key)}
}

func (m *frameMAC) next(payload []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], m.seq)
	m.seq++
	m.mac.Reset()
	m.mac.Write(seq[:])
	m.mac.Write(payload)
	return m.mac.Sum(nil)[:tagBytes]
}

// WriteObject implements jsonrpc2.ObjectStream. A message over the limit is
// refused before a byte is written, so the connection stays usable.
func (s *stream) WriteObject(object any) error {
	data, err := marshal(object)
	if err != nil {
		return fmt.Errorf("peer: encode message: %w", err)
	}
	if len(data) > s.limits.MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout)); err != nil {
		return s.fail(err)
	}
	if err := writeAll(s.conn, header(len(data)), s.send.next(data), data); err != nil {
		return s.fail(err)
	}
	if s.onWrite != nil {
		s.onWrite(headerBytes + tagBytes + len(data))
	}
	return nil
}

// fail closes the connection: after a partial frame it is of no use.
func (s *stream) fail(err error) error {
	s.failure.CompareAndSwap(nil, &err)
	s.conn.Close()
	return err
}

// err returns what ended the stream, or nil.
func (s *stream) err() error {
	if p := s.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if err := s.readObject(v); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *stream) readObject(v any) error {
	payload, err := s.readFrame()
	if err != nil {
		return err
	}
	if err := unmarshal(payload, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// readFrame waits up to the idle timeout for a frame's first byte and up to
// the frame timeout for the rest.
func (s *stream) readFrame() ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.IdleTimeout)); err != nil {
		return nil, err
	}
	var head [headerBytes + tagBytes]byte
	if _, err := io.ReadFull(s.conn, head[:1]); err != nil {
		return nil, err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(s.conn, head[1:]); err != nil {
		return nil, truncated(err)
	}
	size, err := checkSize(head[:headerBytes], s.limits.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(s.conn, payload); err != nil {
		return nil, truncated(err)
	}
	if !hmac.Equal(s.receive.next(payload), head[headerBytes:]) {
		return nil, fmt.Errorf("%w: wrong frame tag", ErrAuthentication)
	}
	s.received = len(head) + size
	s.lastRead.Store(int64(boottime.Elapsed()))
	return payload, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// marshal encodes a message. The messages of jsonrpc2 encode themselves, and
// encoding/json would go over the result once more.
func marshal(object any) ([]byte, error) {
	if m, ok := object.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(object)
}

// unmarshal decodes a message. One that decodes itself may take the text for
// valid, so that is checked first; encoding/json would then go over it again.
func unmarshal(data []byte, v any) error {
	u, ok := v.(json.Unmarshaler)
	if !ok || !json.Valid(data) {
		return json.Unmarshal(data, v)
	}
	return u.UnmarshalJSON(data)
}

func header(size int) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(size))
}

// writeAll writes the parts in one call, so that they share a segment.
func writeAll(w io.Writer, parts ...[]byte) error {
	var buffer []byte
	for _, part := range parts {
		buffer = append(buffer, part...)
	}
	_, err := w.Write(buffer)
	return err
}

// readSized reads a length and as many bytes.
func readSized(r io.Reader, limit int) ([]byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, truncated(err)
	}
	size, err := checkSize(head[:], limit)
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, truncated(err)
	}
	return data, nil
}

func checkSize(head []byte, limit int) (int, error) {
	size := binary.BigEndian.Uint32(head)
	if size == 0 {
		return 0, fmt.Errorf("%w: empty frame", ErrMalformed)
	}
	if uint64(size) > uint64(limit) {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	return int(size), nil
}

// truncated marks an end within a frame as malformed.
func truncated(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: frame cut short: %w", ErrMalformed, io.ErrUnexpectedEOF)
	}
	return err
}
