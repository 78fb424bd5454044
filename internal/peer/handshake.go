package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// protocol names the handshake's version; a host of another is refused.
	protocol = "quetzalweir-peer/1"
	// nonceBytes is the size of each side's random challenge.
	nonceBytes = 32
	// maxHandshakeBytes bounds a handshake message: it comes from a peer that
	// hasn't proved anything yet.
	maxHandshakeBytes = 2048
)

// Labels separate the uses of a key, so that a proof of one kind is never
// valid as another.
const (
	labelServerProof = "server proof"
	labelClientProof = "client proof"
	labelClientKey   = "client frames"
	labelServerKey   = "server frames"
)

// hello is the client's first message.
type hello struct {
	Protocol string   `json:"protocol"`
	Self     string   `json:"self"`
	KeyIDs   []string `json:"key_ids"`
	Nonce    []byte   `json:"nonce"`
}

// challenge is the server's answer: its own nonce and its proof.
type challenge struct {
	Self  string `json:"self"`
	KeyID string `json:"key_id"`
	Nonce []byte `json:"nonce"`
	Proof []byte `json:"proof"`
}

// proof is the client's last message.
type proof struct {
	Proof []byte `json:"proof"`
}

// session is what both sides know after the handshake.
type session struct {
	// peer is the other side's host id, as proved by a shared key.
	peer string
	// sendKey and receiveKey authenticate the frames of each direction.
	sendKey, receiveKey []byte
	// bytesIn and bytesOut count the handshake's own traffic.
	bytesIn, bytesOut int
}

// transcript is everything that the proofs and frame keys depend on.
type transcript struct {
	Hello       hello  `json:"hello"`
	ServerSelf  string `json:"server_self"`
	KeyID       string `json:"key_id"`
	ServerNonce []byte `json:"server_nonce"`
}

// derive returns HMAC-SHA256 over the label and the transcript.
func (t transcript) derive(key Key, label string) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("peer: encode transcript: %w", err)
	}
	mac := hmac.New(sha256.New, key.Secret)
	io.WriteString(mac, label)
	mac.Write([]byte{0})
	mac.Write(data)
	return mac.Sum(nil), nil
}

// verify reports whether got is the proof with the label.
func (t transcript) verify(key Key, label string, got []byte) error {
	want, err := t.derive(key, label)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, got) {
		return fmt.Errorf("%w: wrong %s", ErrAuthentication, label)
	}
	return nil
}

// handshakeConn reads and writes handshake messages and counts their bytes.
type handshakeConn struct {
	net.Conn
	in, out int
}

func (c *handshakeConn) send(message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("peer: encode handshake: %w", err)
	}
	c.out += headerBytes + len(data)
	return writeAll(c.Conn, header(len(data)), data)
}

func (c *handshakeConn) receive(message any) error {
	data, err := readSized(c.Conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	c.in += headerBytes + len(data)
	if err := json.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: handshake: %w", ErrMalformed, err)
	}
	return nil
}

// clientHandshake authenticates both sides from the dialling side.
func clientHandshake(conn net.Conn, self string, keys []Key, timeout time.Duration) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return session{}, fmt.Errorf("peer: set deadline: %w", err)
	}
	c := &handshakeConn{Conn: conn}
	offer := hello{Protocol: protocol, Self: self, KeyIDs: keyIDs(keys), Nonce: newNonce()}
	if err := c.send(offer); err != nil {
		return session{}, err
	}
	var answer challenge
	if err := c.receive(&answer); err != nil {
		return session{}, err
	}
	key, ok := findKey(keys, []string{answer.KeyID})
	if !ok || checkName(answer.Self) != nil || len(answer.Nonce) != nonceBytes {
		return session{}, fmt.Errorf("%w: invalid challenge", ErrAuthentication)
	}
	t := transcript{Hello: offer, ServerSelf: answer.Self, KeyID: key.ID, ServerNonce: answer.Nonce}
	if err := t.verify(key, labelServerProof, answer.Proof); err != nil {
		return session{}, err
	}
	own, err := t.derive(key, labelClientProof)
	if err != nil {
		return session{}, err
	}
	if err := c.send(proof{Proof: own}); err != nil {
		return session{}, err
	}
	return t.session(key, answer.Self, labelClientKey, labelServerKey, c)
}

// serverHandshake authenticates both sides from the accepting side.
func serverHandshake(conn net.Conn, self string, keys []Key, timeout time.Duration) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return session{}, fmt.Errorf("peer: set deadline: %w", err)
	}
	c := &handshakeConn{Conn: conn}
	var offer hello
	if err := c.receive(&offer); err != nil {
		return session{}, err
	}
	if err := offer.check(); err != nil {
		return session{}, err
	}
	key, ok := findKey(keys, offer.KeyIDs)
	if !ok {
		return session{}, fmt.Errorf("%w: no key in common", ErrAuthentication)
	}
	t := transcript{Hello: offer, ServerSelf: self, KeyID: key.ID, ServerNonce: newNonce()}
	own, err := t.derive(key, labelServerProof)
	if err != nil {
		return session{}, err
	}
	if err := c.send(challenge{Self: self, KeyID: key.ID, Nonce: t.ServerNonce, Proof: own}); err != nil {
		return session{}, err
	}
	var answer proof
	if err := c.receive(&answer); err != nil {
		return session{}, err
	}
	if err := t.verify(key, labelClientProof, answer.Proof); err != nil {
		return session{}, err
	}
	return t.session(key, offer.Self, labelServerKey, labelClientKey, c)
}

// check refuses a hello that no client of this version sends.
func (h hello) check() error {
	if h.Protocol != protocol {
		return fmt.Errorf("%w: unknown protocol", ErrMalformed)
	}
	if len(h.Nonce) != nonceBytes || len(h.KeyIDs) > MaxKeys {
		return fmt.Errorf("%w: invalid hello", ErrMalformed)
	}
	return checkName(h.Self)
}

// session derives the frame keys. Both nonces are in them, so frames of an
// earlier connection aren't valid on a later one.
func (t transcript) session(key Key, peer, send, receive string, c *handshakeConn) (session, error) {
	sendKey, err := t.derive(key, send)
	if err != nil {
		return session{}, err
	}
	receiveKey, err := t.derive(key, receive)
	if err != nil {
		return session{}, err
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return session{}, fmt.Errorf("peer: clear deadline: %w", err)
	}
	return session{peer: peer, sendKey: sendKey, receiveKey: receiveKey, bytesIn: c.in, bytesOut: c.out}, nil
}

func keyIDs(keys []Key) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = key.ID
	}
	return ids
}

// newNonce returns random bytes; crypto/rand.Read never fails.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}
