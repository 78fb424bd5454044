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
	// lengthBytes is the size of the length field at the start of each frame.
	lengthBytes = 4
	// tagBytes is the size of the truncated HMAC-SHA256 in a frame.
	tagBytes = 16
)

// stream is a jsonrpc2.ObjectStream of authenticated frames:
//
//	length of the payload, 4 bytes, big-endian
//	tag, 16 bytes: HMAC-SHA256 over sequence number and payload, truncated
//	payload: one JSON-RPC message
//
// Each side counts the frames itself, and the sequence number isn't transmitted. If a
// frame is repeated, reordered or omitted, the receiver computes the tag with another
// sequence number than the sender, and the tag doesn't verify.
//
// If onWrite is set, it is called after each frame is written, with the frame's
// size in bytes.
type stream struct {
	conn   net.Conn
	limits Limits

	writeMu sync.Mutex
	sendMAC frameMAC

	receiveMAC frameMAC
	// lastFrameBytes is the size of the last frame read. Only the reading
	// goroutine accesses it.
	lastFrameBytes int
	// lastRead is the value of boottime.Elapsed, in nanoseconds, when the last frame
	// was completely read. That clock ignores changes of the wall clock and includes
	// the time that the system is suspended.
	lastRead atomic.Int64

	firstErr atomic.Pointer[error]
	onWrite  func(size int)
}

func newStream(conn net.Conn, s session, limits Limits) *stream {
	st := &stream{
		conn:       conn,
		limits:     limits,
		sendMAC:    newFrameMAC(s.sendKey),
		receiveMAC: newFrameMAC(s.receiveKey),
	}
	st.lastRead.Store(int64(boottime.Elapsed()))
	return st
}

// frameMAC computes the tags of the frames in one direction of a connection. It
// isn't safe for concurrent use.
type frameMAC struct {
	mac hash.Hash
	seq uint64
}

func newFrameMAC(key []byte) frameMAC {
	return frameMAC{mac: hmac.New(sha256.New, key)}
}

func (m *frameMAC) nextTag(payload []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], m.seq)
	m.seq++
	m.mac.Reset()
	m.mac.Write(seq[:])
	m.mac.Write(payload)
	return m.mac.Sum(nil)[:tagBytes]
}

// WriteObject implements jsonrpc2.ObjectStream. A message over the limit is
// rejected before any byte is written, so the connection stays usable.
func (s *stream) WriteObject(object any) error {
	data, err := marshal(object)
	if err != nil {
		return fmt.Errorf("peer: encode message: %w", err)
	}
	if len(data) > s.limits.MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	return s.writeFrame(data)
}

// writeFrame writes one frame. Its size must be within the limit.
func (s *stream) writeFrame(data []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.WriteTimeout)); err != nil {
		return s.closeWithError(err)
	}
	if err := writeAll(s.conn, encodeLength(len(data)), s.sendMAC.nextTag(data), data); err != nil {
		return s.closeWithError(err)
	}
	if s.onWrite != nil {
		s.onWrite(lengthBytes + tagBytes + len(data))
	}
	return nil
}

// closeWithError records the first error and closes the connection, which can't be
// used after a partial frame.
func (s *stream) closeWithError(err error) error {
	s.firstErr.CompareAndSwap(nil, &err)
	s.conn.Close()
	return err
}

// err returns the error that ended the stream, or nil.
func (s *stream) err() error {
	if p := s.firstErr.Load(); p != nil {
		return *p
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	if err := s.readObject(v); err != nil {
		return s.closeWithError(err)
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

// readFrame reads one frame and returns its payload. It waits up to IdleTimeout
// for the first byte and up to FrameTimeout for the rest.
func (s *stream) readFrame() ([]byte, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.IdleTimeout)); err != nil {
		return nil, err
	}
	var header [lengthBytes + tagBytes]byte
	if _, err := io.ReadFull(s.conn, header[:1]); err != nil {
		return nil, err
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(s.limits.FrameTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(s.conn, header[1:]); err != nil {
		return nil, truncatedError(err)
	}
	size, err := decodeLength(header[:lengthBytes], s.limits.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(s.conn, payload); err != nil {
		return nil, truncatedError(err)
	}
	if !hmac.Equal(s.receiveMAC.nextTag(payload), header[lengthBytes:]) {
		return nil, fmt.Errorf("%w: wrong frame tag", ErrAuthentication)
	}
	s.lastFrameBytes = len(header) + size
	s.lastRead.Store(int64(boottime.Elapsed()))
	return payload, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// marshal encodes a message. The message types of jsonrpc2 implement
// json.Marshaler and are called directly, because encoding/json would validate and
// compact the result again.
func marshal(object any) ([]byte, error) {
	if m, ok := object.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(object)
}

// unmarshal decodes a message. A json.Unmarshaler may assume valid JSON, so data is
// validated first. It is then called directly, because encoding/json would
// validate the data again.
func unmarshal(data []byte, v any) error {
	u, ok := v.(json.Unmarshaler)
	if !ok || !json.Valid(data) {
		return json.Unmarshal(data, v)
	}
	return u.UnmarshalJSON(data)
}

func encodeLength(size int) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(size))
}

// writeAll writes all parts in one call, so that they can share a TCP segment.
func writeAll(w io.Writer, parts ...[]byte) error {
	var buffer []byte
	for _, part := range parts {
		buffer = append(buffer, part...)
	}
	_, err := w.Write(buffer)
	return err
}

// readLengthPrefixed reads a length field and returns the bytes that follow it.
func readLengthPrefixed(r io.Reader, limit int) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, truncatedError(err)
	}
	size, err := decodeLength(length[:], limit)
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, truncatedError(err)
	}
	return data, nil
}

func decodeLength(length []byte, limit int) (int, error) {
	size := binary.BigEndian.Uint32(length)
	if size == 0 {
		return 0, fmt.Errorf("%w: empty frame", ErrMalformed)
	}
	if uint64(size) > uint64(limit) {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	return int(size), nil
}

// truncatedError converts an end of file within a frame to ErrMalformed.
func truncatedError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%w: truncated frame: %w", ErrMalformed, io.ErrUnexpectedEOF)
	}
	return err
}
