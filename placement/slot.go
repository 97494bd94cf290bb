package placement

import "github.com/cespare/xxhash/v2"

// keySeparator separates service and key in the hashed bytes, so that no two pairs of service and
// key hash the same bytes. Service names contain no zero byte.
var keySeparator = []byte{0}

// SlotOf returns the slot of a key, from 0 to slots-1: the 64-bit xxHash (seed 0) of the service
// name, a zero byte and the key, modulo slots. The mapping is part of the stored state and must
// never change. It panics if slots is not positive.
func SlotOf(service, key string, slots int) int {
	if slots <= 0 {
		panic("placement: slots must be positive")
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write(keySeparator)
	_, _ = digest.WriteString(key)
	return int(digest.Sum64() % uint64(slots))
}
