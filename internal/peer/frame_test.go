package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// byteConn is a connection that reads from and writes to memory.
type byteConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (c *byteConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *byteConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *byteConn) Close() error                     { return nil }
func (c *byteConn) SetDeadline(time.Time) error      { return nil }
func (c *byteConn) SetReadDeadline(time.Time) error  { return nil }
func (c *byteConn) SetWriteDeadline(time.Time) error { return nil }

var testSession = session{peer: "p", sendKey: []byte("frame key"), receiveKey: []byte("frame key")}

func testLimits() Limits { return Limits{MaxMessageBytes: 4096}.withDefaults() }

// encodeFrames returns the encoded frame of each message.
func encodeFrames(messages ...string) [][]byte {
	var all [][]byte
	conn := &byteConn{}
	s := newStream(conn, testSession, testLimits())
	for _, m := range messages {
		conn.out.Reset()
		s.WriteObject(json.RawMessage(m))
		all = append(all, bytes.Clone(conn.out.Bytes()))
	}
	return all
}

// readAll reads messages until the stream ends.
func readAll(data []byte) (messages []string, err error) {
	s := newStream(&byteConn{in: bytes.NewReader(data)}, testSession, testLimits())
	for {
		var m json.RawMessage
		if err := s.ReadObject(&m); err != nil {
			return messages, err
		}
		messages = append(messages, string(m))
	}
}

func TestAlteredFramesAreRejected(t *testing.T) {
	frames := encodeFrames(`{"a":1}`, `{"b":2}`, `{"c":3}`)
	altered := bytes.Clone(frames[1])
	altered[len(altered)-2] = '9'
	tests := []struct {
		desc  string
		data  []byte
		count int
		want  error
	}{
		{"whole", bytes.Join(frames, nil), 3, io.EOF},
		{"repeated", bytes.Join([][]byte{frames[0], frames[0]}, nil), 1, ErrAuthentication},
		{"left out", bytes.Join([][]byte{frames[0], frames[2]}, nil), 1, ErrAuthentication},
		{"swapped", bytes.Join([][]byte{frames[1], frames[0]}, nil), 0, ErrAuthentication},
		{"altered", bytes.Join([][]byte{frames[0], altered}, nil), 1, ErrAuthentication},
		{"cut short", bytes.Join([][]byte{frames[0], frames[1][:25]}, nil), 1, ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			messages, err := readAll(tt.data)
			if len(messages) != tt.count || !errors.Is(err, tt.want) {
				t.Fatalf("got %d messages, %v; want %d, %v", len(messages), err, tt.count, tt.want)
			}
		})
	}
}

// FuzzFrames checks that arbitrary bytes after a valid frame never yield a message
// that wasn't sent, don't affect the message before them, and end in an error of
// this package or io.EOF.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{}, false)
	f.Add([]byte{0, 0, 0, 1, 2, 3}, true)
	f.Add(bytes.Join(encodeFrames(`{"a":1}`), nil), true)
	f.Fuzz(func(t *testing.T, data []byte, signed bool) {
		sent := encodeFrames(`{"a":1}`)
		input := append(bytes.Clone(sent[0]), data...)
		want := 1
		if signed && len(data) > 0 && len(data) <= 4096 {
			// A peer that has the key sends the bytes as a message.
			s := newStream(&byteConn{}, testSession, testLimits())
			s.sendMAC.nextTag([]byte(`{"a":1}`))
			input = bytes.Join([][]byte{sent[0], encodeLength(len(data)), s.sendMAC.nextTag(data), data}, nil)
			if json.Valid(data) {
				want = 2
			}
		}
		messages, err := readAll(input)
		if len(messages) != want || messages[0] != `{"a":1}` {
			t.Fatalf("got %q, want %d messages", messages, want)
		}
		isPackageError := errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrAuthentication)
		if !isPackageError && err != io.EOF {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// FuzzHandshake checks that the handshake fails for a client without a valid proof.
func FuzzHandshake(f *testing.F) {
	offer, _ := json.Marshal(hello{Protocol: protocol, Self: "x", KeyIDs: []string{"k1"}, Nonce: make([]byte, nonceBytes)})
	f.Add(append(encodeLength(len(offer)), offer...))
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &byteConn{in: bytes.NewReader(data)}
		_, err := serverHandshake(conn, "server", []Key{testKey("k1")}, time.Second)
		isPackageError := errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrAuthentication)
		if !isPackageError {
			t.Fatalf("handshake ended with %v", err)
		}
	})
}
