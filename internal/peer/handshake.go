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
	// protocol is the name and version of the handshake. Hosts that send another
	// version are rejected.
	protocol = "quetzalweir-peer/1"
	// nonceBytes is the size of each side's random challenge.
	nonceBytes = 32
	// maxHandshakeBytes limits the size of a handshake message, because its sender
	// isn't authenticated yet.
	maxHandshakeBytes = 2048
)

// Labels for domain separation: a MAC computed for one purpose is never valid for
// another.
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
	// Purpose is empty for a connection that carries calls.
	Purpose string `json:"purpose,omitempty"`
}

// challenge is the server's response to the hello. It contains the server's nonce
// and its proof.
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

// session is what one side of a connection obtains from the handshake.
type session struct {
	// peer is the host id that the other side sent, authenticated by a shared key.
	peer string
	// purpose is the purpose that the client stated.
	purpose string
	// sendKey and receiveKey authenticate the frames of each direction.
	sendKey, receiveKey []byte
	// bytesIn and bytesOut are the total sizes of the handshake messages that were
	// received and sent.
	bytesIn, bytesOut int
}

// transcript holds the handshake fields that the proofs and frame keys are computed
// from.
type transcript struct {
	Hello       hello  `json:"hello"`
	ServerSelf  string `json:"server_self"`
	KeyID       string `json:"key_id"`
	ServerNonce []byte `json:"server_nonce"`
}

// deriveMAC returns the HMAC-SHA256 of the label and the transcript.
func (t transcript) deriveMAC(key Key, label string) ([]byte, error) {
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

// verify returns ErrAuthentication unless got is the MAC that deriveMAC returns for
// the key and label.
func (t transcript) verify(key Key, label string, got []byte) error {
	want, err := t.deriveMAC(key, label)
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
	bytesIn, bytesOut int
}

func (c *handshakeConn) send(message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("peer: encode handshake: %w", err)
	}
	c.bytesOut += lengthBytes + len(data)
	return writeAll(c.Conn, encodeLength(len(data)), data)
}

func (c *handshakeConn) receive(message any) error {
	data, err := readLengthPrefixed(c.Conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	c.bytesIn += lengthBytes + len(data)
	if err := json.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: handshake: %w", ErrMalformed, err)
	}
	return nil
}

// clientHandshake performs the mutual authentication on the dialling side.
func clientHandshake(conn net.Conn, self, purpose string, keys []Key, timeout time.Duration) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return session{}, fmt.Errorf("peer: set deadline: %w", err)
	}
	c := &handshakeConn{Conn: conn}
	offer := hello{Protocol: protocol, Self: self, KeyIDs: keyIDs(keys), Nonce: newNonce(), Purpose: purpose}
	if err := c.send(offer); err != nil {
		return session{}, err
	}
	var reply challenge
	if err := c.receive(&reply); err != nil {
		return session{}, err
	}
	key, ok := findKey(keys, []string{reply.KeyID})
	if !ok || validateName(reply.Self) != nil || len(reply.Nonce) != nonceBytes {
		return session{}, fmt.Errorf("%w: invalid challenge", ErrAuthentication)
	}
	t := transcript{Hello: offer, ServerSelf: reply.Self, KeyID: key.ID, ServerNonce: reply.Nonce}
	if err := t.verify(key, labelServerProof, reply.Proof); err != nil {
		return session{}, err
	}
	clientProof, err := t.deriveMAC(key, labelClientProof)
	if err != nil {
		return session{}, err
	}
	if err := c.send(proof{Proof: clientProof}); err != nil {
		return session{}, err
	}
	return t.newSession(key, reply.Self, labelClientKey, labelServerKey, c)
}

// serverHandshake performs the mutual authentication on the accepting side.
func serverHandshake(conn net.Conn, self string, keys []Key, timeout time.Duration) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return session{}, fmt.Errorf("peer: set deadline: %w", err)
	}
	c := &handshakeConn{Conn: conn}
	var offer hello
	if err := c.receive(&offer); err != nil {
		return session{}, err
	}
	if err := offer.validate(); err != nil {
		return session{}, err
	}
	key, ok := findKey(keys, offer.KeyIDs)
	if !ok {
		return session{}, fmt.Errorf("%w: no key in common", ErrAuthentication)
	}
	t := transcript{Hello: offer, ServerSelf: self, KeyID: key.ID, ServerNonce: newNonce()}
	serverProof, err := t.deriveMAC(key, labelServerProof)
	if err != nil {
		return session{}, err
	}
	if err := c.send(challenge{Self: self, KeyID: key.ID, Nonce: t.ServerNonce, Proof: serverProof}); err != nil {
		return session{}, err
	}
	var reply proof
	if err := c.receive(&reply); err != nil {
		return session{}, err
	}
	if err := t.verify(key, labelClientProof, reply.Proof); err != nil {
		return session{}, err
	}
	return t.newSession(key, offer.Self, labelServerKey, labelClientKey, c)
}

// validate returns an error if the hello is invalid for this protocol version.
func (h hello) validate() error {
	if h.Protocol != protocol {
		return fmt.Errorf("%w: unknown protocol", ErrMalformed)
	}
	if len(h.Nonce) != nonceBytes || len(h.KeyIDs) > MaxKeys || h.Purpose != "" && h.Purpose != purposeRelay {
		return fmt.Errorf("%w: invalid hello", ErrMalformed)
	}
	return validateName(h.Self)
}

// newSession derives the frame keys and returns the session. The keys depend on both
// nonces, so frames of one connection aren't valid on another.
func (t transcript) newSession(key Key, peer, sendLabel, receiveLabel string, c *handshakeConn) (session, error) {
	sendKey, err := t.deriveMAC(key, sendLabel)
	if err != nil {
		return session{}, err
	}
	receiveKey, err := t.deriveMAC(key, receiveLabel)
	if err != nil {
		return session{}, err
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return session{}, fmt.Errorf("peer: clear deadline: %w", err)
	}
	return session{peer: peer, purpose: t.Hello.Purpose, sendKey: sendKey, receiveKey: receiveKey, bytesIn: c.bytesIn, bytesOut: c.bytesOut}, nil
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
