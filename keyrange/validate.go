package keyrange

import (
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// maxNameBytes is the longest ID, service or failure domain, bytes.
	maxNameBytes = 256
	// maxSlots is the highest number of requests that a server may say to run concurrently.
	maxSlots = 1 << 16
	// maxWarmup is the longest slow start that a server may announce.
	maxWarmup = time.Hour
	// maxClockLead is how far a server's clock may be ahead.
	maxClockLead = 24 * time.Hour
)

// ErrInvalid is the cause of all errors returned by Validate.
var ErrInvalid = errors.New("keyrange: invalid message of a backend server")

// Validate returns an error that describes the first value of a heartbeat that no server can mean, or nil.
// Such a heartbeat would be sent to every gateway, and one that can't be decoded there keeps all of them
// from following the table.
func (h Heartbeat) Validate(now time.Time) error {
	s := h.Server
	for _, name := range []string{s.ID, s.Service, s.Domain} {
		if err := validateName(name); err != nil {
			return err
		}
	}
	switch {
	case s.ID == "" || s.Service == "":
		return errors.Wrapf(ErrInvalid, "ID %q, service %q", s.ID, s.Service)
	case !validAddress(s.Address):
		return errors.Wrapf(ErrInvalid, "address %.80q is not HOST:PORT", s.Address)
	case s.Slots <= 0 || s.Slots > maxSlots:
		return errors.Wrapf(ErrInvalid, "%d slots", s.Slots)
	case s.WarmupMillis < 0 || s.WarmupMillis > maxWarmup.Milliseconds():
		return errors.Wrapf(ErrInvalid, "warmup of %d ms", s.WarmupMillis)
	case h.Sequence < 0:
		return errors.Wrapf(ErrInvalid, "sequence number %d", h.Sequence)
	}
	return validateStart(now, s.StartMillis)
}

// Validate returns an error that describes the first value of a leave that no server can mean, or nil.
func (l Leave) Validate(now time.Time) error {
	if l.ID == "" {
		return errors.Wrap(ErrInvalid, "leave without ID")
	}
	if err := validateName(l.ID); err != nil {
		return err
	}
	return validateStart(now, l.StartMillis)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || validateName(host) != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func validateName(name string) error {
	if len(name) > maxNameBytes || !utf8.ValidString(name) {
		return errors.Wrapf(ErrInvalid, "name of %d bytes: %.40q", len(name), name)
	}
	return nil
}

func validateStart(now time.Time, startMillis int64) error {
	if startMillis < 0 || startMillis > now.Add(maxClockLead).UnixMilli() {
		return errors.Wrapf(ErrInvalid, "start at %d ms, now %d ms", startMillis, now.UnixMilli())
	}
	return nil
}
