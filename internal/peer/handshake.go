package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

const (
	nonceBytes    = 32
	maxHelloBytes = 4096
	maxNameBytes  = 255
	labelServer   = "galenalug peer server"
	labelClient   = "galenalug peer client"
	binaryMessage = websocket.BinaryMessage
)

// authenticateClient runs the client's side of the handshake: it sends a nonce,
// checks the server's proof and name, and then sends its own proof.
func authenticateClient(s socket, self Identity, expect string, secret []byte, timeout time.Duration) (Identity, error) {
	if err := beginHandshake(s, timeout); err != nil {
		return Identity{}, err
	}
	mine, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := sendHello(s, mine); err != nil {
		return Identity{}, err
	}
	theirs, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(theirs.Proof, proof(secret, labelServer, mine, theirs)) {
		return Identity{}, errors.Wrap(ErrAuthenticationFailed, "wrong secret")
	}
	if theirs.Name != expect {
		return Identity{}, errors.Wrapf(ErrAuthenticationFailed, "peer is %q, expected %q", theirs.Name, expect)
	}
	mine.Proof = proof(secret, labelClient, mine, theirs)
	if err := sendHello(s, mine); err != nil {
		return Identity{}, err
	}
	return Identity{Name: theirs.Name, Role: theirs.Role}, endHandshake(s)
}

// authenticateServer runs the server's side of the handshake.
func authenticateServer(s socket, self Identity, secret []byte, timeout time.Duration) (Identity, error) {
	if err := beginHandshake(s, timeout); err != nil {
		return Identity{}, err
	}
	theirs, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	mine, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	mine.Proof = proof(secret, labelServer, theirs, mine)
	if err := sendHello(s, mine); err != nil {
		return Identity{}, err
	}
	confirmed, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(confirmed.Proof, proof(secret, labelClient, theirs, mine)) {
		return Identity{}, errors.Wrap(ErrAuthenticationFailed, "wrong secret")
	}
	return Identity{Name: theirs.Name, Role: theirs.Role}, endHandshake(s)
}

func beginHandshake(s socket, timeout time.Duration) error {
	s.SetReadLimit(maxHelloBytes)
	deadline := time.Now().Add(timeout)
	if err := s.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "set read deadline")
	}
	return errors.Wrap(s.SetWriteDeadline(deadline), "set write deadline")
}

func endHandshake(s socket) error {
	if err := s.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear read deadline")
	}
	return errors.Wrap(s.SetWriteDeadline(time.Time{}), "clear write deadline")
}

func newHello(self Identity) (wire.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return wire.Hello{}, errors.Wrap(err, "read random nonce")
	}
	return wire.Hello{Name: self.Name, Role: self.Role, Nonce: nonce}, nil
}

func sendHello(s socket, hello wire.Hello) error {
	message, err := cbor.Marshal(hello)
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	return errors.Wrap(s.WriteMessage(binaryMessage, message), "send hello")
}

func receiveHello(s socket) (wire.Hello, error) {
	messageType, message, err := s.ReadMessage()
	if err != nil {
		return wire.Hello{}, errors.Wrap(err, "receive hello")
	}
	var hello wire.Hello
	if messageType != binaryMessage {
		return wire.Hello{}, errors.Wrap(ErrAuthenticationFailed, "hello is not a binary message")
	}
	if err := frameDecoder.Unmarshal(message, &hello); err != nil {
		return wire.Hello{}, errors.Wrap(ErrAuthenticationFailed, "malformed hello")
	}
	return hello, checkHello(hello)
}

func checkHello(hello wire.Hello) error {
	if hello.Role != RoleEntry && hello.Role != RoleControl {
		return errors.Wrapf(ErrAuthenticationFailed, "unknown role %q", hello.Role)
	}
	if hello.Name == "" || len(hello.Name) > maxNameBytes {
		return errors.Wrap(ErrAuthenticationFailed, "name is empty or too long")
	}
	if len(hello.Nonce) != nonceBytes {
		return errors.Wrap(ErrAuthenticationFailed, "nonce has the wrong length")
	}
	return nil
}

// proof returns the HMAC-SHA256 (RFC 2104) of the label and of both sides'
// names, roles and nonces, each preceded by its length. The label differs by
// side, so that a proof can't be sent back to the side that made it.
func proof(secret []byte, label string, client, server wire.Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	writeField(mac.Write, []byte(label))
	for _, hello := range []wire.Hello{client, server} {
		writeField(mac.Write, []byte(hello.Name))
		writeField(mac.Write, []byte(hello.Role))
		writeField(mac.Write, hello.Nonce)
	}
	return mac.Sum(nil)
}

func writeField(write func([]byte) (int, error), field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = write(length[:]) // a hash never fails to write
	_, _ = write(field)
}
