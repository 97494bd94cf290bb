package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before it is encoded. Half of a SHA-256 hash leaves no
// collisions to fear, by chance or by intent.
const fingerprintBytes = 16

// Fingerprint returns the fingerprint of a request: a hash of its parts in order, in hexadecimal. Requests
// that differ in any part have different fingerprints.
func Fingerprint(parts ...[]byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
