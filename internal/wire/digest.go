package wire

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalidDigest means that a digest header does not hold exactly one SHA-256 digest.
var ErrInvalidDigest = errors.New("the digest must be sha-256 in base64 between colons")

const (
	digestPrefix = "sha-256=:"
	digestSuffix = ":"
)

// FormatDigest formats a SHA-256 digest as a value of the headers Content-Digest and Repr-Digest
// (RFC 9530).
func FormatDigest(sum [sha256.Size]byte) string {
	return digestPrefix + base64.StdEncoding.EncodeToString(sum[:]) + digestSuffix
}

// ParseDigest parses a header value in the format of FormatDigest. It fails with ErrInvalidDigest.
func ParseDigest(header string) ([sha256.Size]byte, error) {
	var sum [sha256.Size]byte
	rest, prefixed := strings.CutPrefix(header, digestPrefix)
	text, suffixed := strings.CutSuffix(rest, digestSuffix)
	if !prefixed || !suffixed {
		return sum, ErrInvalidDigest
	}
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(decoded) != sha256.Size {
		return sum, ErrInvalidDigest
	}
	copy(sum[:], decoded)
	return sum, nil
}
