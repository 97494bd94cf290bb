package retry

// Outcome is what is known about the execution of a request.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered means that the complete response arrived.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly did not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome as it is sent in headers.
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

// AttemptResult is what was observed of one attempt.
type AttemptResult struct {
	BytesWritten int64 // bytes of the request passed to the network
	Refused      bool  // the server itself reported that it did not run the request
	Complete     bool  // the complete response arrived
}

// Classify derives the outcome of an attempt. It returns Unknown unless the result proves another
// outcome.
func Classify(result AttemptResult) Outcome {
	switch {
	case result.Refused, result.BytesWritten == 0:
		return NotRun
	case result.Complete:
		return Answered
	default:
		return Unknown
	}
}
