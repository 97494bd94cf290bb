package retry

// Outcome is what is known of a request's execution.
type Outcome int

// Outcomes.
const (
	// Answered means that the whole answer arrived.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as it stands in headers.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// AttemptResult is what was seen of one attempt.
type AttemptResult struct {
	BytesWritten int64 // bytes of the request handed to the network
	Refused      bool  // the server itself said that it did not run the request
	Complete     bool  // the whole answer arrived
}

// Classify turns the end of an attempt into an outcome. Everything that is not
// proven is unknown.
func Classify(end AttemptResult) Outcome {
	switch {
	case end.Refused, end.BytesWritten == 0:
		return NotRun
	case end.Complete:
		return Answered
	default:
		return Unknown
	}
}
