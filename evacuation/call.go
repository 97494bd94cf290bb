package evacuation

import "time"

// CallerPatience is the time after the arrival of a call during which its caller certainly waits for the response. Callers
// try another host after a second; a call has taken a part of it to arrive.
const CallerPatience = 800 * time.Millisecond

// Call is a call for a change on the host that received it. The calls of the platform have no number, so a host can't tell a
// late copy from a new call by its content. It sends the change on only while the caller waits for it, and with the
// sequence number that the failure domain had at that time: until then the caller can't have asked for anything else, and
// whatever is acknowledged later raises the number.
type Call struct {
	change   Change
	giveUpAt time.Duration
	sequence uint64 // as far as the host knows
}

// NewCall returns a call. received is when it arrived, or the earliest time possible if that is not certain. sequence is the
// sequence number that the failure domain had when the host last heard of it; it may be outdated.
func NewCall(change Change, received time.Duration, sequence uint64) Call {
	return Call{change: change, giveUpAt: received + CallerPatience, sequence: sequence}
}

// Next returns the change to send to the leader, or false if the caller may no longer wait for it.
func (c *Call) Next(now time.Duration) (ConditionalChange, bool) {
	if now > c.giveUpAt {
		return ConditionalChange{}, false
	}
	return ConditionalChange{Change: c.change, Sequence: c.sequence}, true
}

// Retry records the sequence number in a reply to an outdated change, for the next one.
func (c *Call) Retry(reply ChangeReply) { c.sequence = reply.Sequence }
