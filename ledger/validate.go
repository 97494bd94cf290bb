package ledger

import "math"

// Range of HTTP status codes in a Finish.
const (
	minStatus = 100
	maxStatus = 999
)

func validName(s string) bool { return s != "" && len(s) <= MaxNameBytes }

func validRun(service, customer, key string) bool {
	return validName(service) && validName(customer) && validName(key)
}

func validSlot(slot int) bool { return slot >= 0 && slot <= math.MaxInt32 }

func (b *Begin) valid() bool {
	return validRun(b.Service, b.Customer, b.Key) && validSlot(b.Slot) && validName(b.Host) &&
		len(b.Digest) >= MinDigestBytes && len(b.Digest) <= MaxDigestBytes &&
		len(b.Nonce) >= MinNonceBytes && len(b.Nonce) <= MaxNonceBytes &&
		b.DeadlineMillis > 0 && b.DeadlineMillis <= MaxDeadlineMillis && b.At <= maxTime
}

func (f *Finish) valid() bool {
	if !validRun(f.Service, f.Customer, f.Key) || f.At > maxTime {
		return false
	}
	switch f.State {
	case StateNotRun, StateUnknown:
		return true
	case StateAnswered, StateNotKept:
		return f.Status >= minStatus && f.Status <= maxStatus
	}
	return false
}

// phase returns the phase for a valid Finish whose state is not StateNotRun.
func (f *Finish) phase() phase {
	switch f.State {
	case StateAnswered:
		return phaseAnswered
	case StateNotKept:
		return phaseNotKept
	}
	return phaseUnknown
}
