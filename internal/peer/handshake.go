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

// authenticateClient performs the client's side of the handshake: it sends a nonce, verifies the
// server's proof and name, and then sends its own proof.
func authenticateClient(s socket, self Identity, expectedName string, secret []byte, timeout time.Duration) (Identity, error) {
	if err := beginHandshake(s, timeout); err != nil {
		return Identity{}, err
	}
	own, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	if err := sendHello(s, own); err != nil {
		return Identity{}, err
	}
	remote, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(remote.Proof, proof(secret, labelServer, own, remote)) {
		return Identity{}, errors.Wrap(ErrAuthenticationFailed, "wrong secret")
	}
	if remote.Name != expectedName {
		return Identity{}, errors.Wrapf(ErrAuthenticationFailed, "peer is %q, expected %q", remote.Name, expectedName)
	}
	own.Proof = proof(secret, labelClient, own, remote)
	if err := sendHello(s, own); err != nil {
		return Identity{}, err
	}
	return Identity{Name: remote.Name, Role: remote.Role}, endHandshake(s)
}

// authenticateServer performs the server's side of the handshake.
func authenticateServer(s socket, self Identity, secret []byte, timeout time.Duration) (Identity, error) {
	if err := beginHandshake(s, timeout); err != nil {
		return Identity{}, err
	}
	remote, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	own, err := newHello(self)
	if err != nil {
		return Identity{}, err
	}
	own.Proof = proof(secret, labelServer, remote, own)
	if err := sendHello(s, own); err != nil {
		return Identity{}, err
	}
	final, err := receiveHello(s)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(final.Proof, proof(secret, labelClient, remote, own)) {
		return Identity{}, errors.Wrap(ErrAuthenticationFailed, "wrong secret")
	}
	return Identity{Name: remote.Name, Role: remote.Role}, endHandshake(s)
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
		return errors.Wrapf(ErrAuthenticationFailed, "name has %d bytes; must have 1 to %d", len(hello.Name), maxNameBytes)
	}
	if len(hello.Nonce) != nonceBytes {
		return errors.Wrapf(ErrAuthenticationFailed, "nonce has %d bytes; must have %d", len(hello.Nonce), nonceBytes)
	}
	return nil
}

// proof returns the HMAC-SHA256 (RFC 2104) of the label and of both sides' names, roles and nonces,
// each preceded by its length. The label differs between client and server, so that a proof can't be
// reflected to the side that made it.
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
	_, _ = write(length[:]) // writing to a hash never fails
	_, _ = write(field)
}
