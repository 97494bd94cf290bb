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
	// Download requests are Idempotent requests with large responses.
	Download Kind = "download"
)

// Repeatable reports whether a request that may already have run may be sent again.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Bulk reports whether the requests or their responses are large.
func (k Kind) Bulk() bool { return k == Upload || k == Download }

func (k Kind) valid() bool {
	switch k {
	case Idempotent, Once, Upload, Download:
		return true
	}
	return false
}

// GrantMode says how the backend servers of a service receive their keys.
type GrantMode string

// Grant modes.
const (
	// GrantsByHeartbeat puts grants into the replies to the servers' heartbeats. It is the default.
	GrantsByHeartbeat GrantMode = ""
	// GrantsByCall has the leader call the servers.
	GrantsByCall GrantMode = "call"
)

func (m GrantMode) valid() bool { return m == GrantsByHeartbeat || m == GrantsByCall }

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
	// OutcomeUnclear means that the Put may be the repetition of one that was accepted, and had no further effect.
	OutcomeUnclear Outcome = "unclear"
)
