package serverload

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
)

const (
	// unchangedAge is the age of a load that a digest does not list: it has not changed since the digest before.
	unchangedAge = minInterval
	// maxServers bounds the memory of a View.
	maxServers = 1 << 14
)

// ErrDigest means that a digest is malformed.
var ErrDigest = errors.New("serverload: malformed digest")

// Estimate is what digests say of a server.
type Estimate struct {
	PerSlot float64       // requests per slot
	At      time.Duration // time that PerSlot stands for; 0 if the load is unknown
	Speed   float64       // relative to the mean of the service; 0 if unknown
}

// View holds what the digests from the leader say. The zero value is empty.
type View struct {
	servers    map[uint32]*Estimate
	receivedAt time.Duration
}

// Apply adds a digest.
func (v *View) Apply(now time.Duration, d Digest) error {
	if len(d.Loads)%entryBytes != 0 || len(d.Speeds)%entryBytes != 0 {
		return ErrDigest
	}
	if d.Full || v.servers == nil || len(v.servers) > maxServers {
		v.servers = map[uint32]*Estimate{}
	}
	for _, e := range v.servers {
		if e.At != 0 {
			e.At = max(e.At, now-unchangedAge)
		}
	}
	for b := d.Loads; len(b) > 0; b = b[entryBytes:] {
		e, level := v.server(b), b[entryBytes-1]>>4
		if e.At = 0; level != unknownLoad {
			e.PerSlot, e.At = float64(level)*loadStep, now-time.Duration(b[entryBytes-1]&maxAge)*ageStep
		}
	}
	for b := d.Speeds; len(b) > 0; b = b[entryBytes:] {
		e, level := v.server(b), int8(b[entryBytes-1])
		e.Speed = speedOf(level)
		if level == 0 && e.At == 0 { // the leader has forgotten the server
			delete(v.servers, binary.BigEndian.Uint32(b))
		}
	}
	v.receivedAt = now
	return nil
}

// server returns the server whose entry b starts with.
func (v *View) server(b []byte) *Estimate {
	hash := binary.BigEndian.Uint32(b)
	e := v.servers[hash]
	if e == nil {
		e = &Estimate{}
		v.servers[hash] = e
	}
	return e
}

// Forget removes what is known of the server with a hash, since another process has its ID.
func (v *View) Forget(hash uint32) { delete(v.servers, hash) }

// Expire forgets all servers if there has been no digest for so long that the leader would have forgotten them, and
// reports whether it did.
func (v *View) Expire(now time.Duration) bool {
	if len(v.servers) == 0 || !Forgotten(now, v.receivedAt) {
		return false
	}
	v.servers = nil
	return true
}

// Server returns what is known of the server with a hash.
func (v *View) Server(hash uint32) Estimate {
	if e := v.servers[hash]; e != nil {
		return *e
	}
	return Estimate{}
}

// ReceivedAt returns the time of the latest digest, or 0.
func (v *View) ReceivedAt() time.Duration { return v.receivedAt }
