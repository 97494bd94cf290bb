package routes

// Kind says what may be repeated of a route's requests.
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

// Repeatable tells whether a request that may have run may be sent again.
func (k Kind) Repeatable() bool { return k == Idempotent }

// Outcome is what became of a Put.
type Outcome string

// Outcomes of a Put.
const (
	// Accepted means that the configuration is in force, or was before.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that another version is in force than the base.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that the configuration breaks a rule of Validate.
	OutcomeInvalid Outcome = "invalid"
)
