package routes

// Kind says whether the requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each attempt of a client.
	Once Kind = "once"
	// Upload requests are Once requests with large bodies.
	Upload Kind = "upload"
)

// Repeatable reports whether a request that may already have run may be sent again.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Outcome is the result of a Put.
type Outcome string

// Outcomes of a Put.
const (
	// OutcomeAccepted means that the configuration is in force, or was in force earlier.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that the version in force is not the base of the Put.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that Validate rejects the configuration, that its version is not above
	// the one in force, or that it cannot be encoded.
	OutcomeInvalid Outcome = "invalid"
)
