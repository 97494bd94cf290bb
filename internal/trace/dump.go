package trace

import "time"

// KeyEvent is a change of the owner of a key range, recorded by the leader that decided it.
type KeyEvent struct {
	Kind           string `json:"kind"` // see keyrange.EventKind
	Service        string `json:"service"`
	From           int64  `json:"from"` // first key
	To             int64  `json:"to"`   // last key
	Server         string `json:"server"`
	Token          uint64 `json:"token"`
	Term           uint64 `json:"term"`
	HeartbeatAgeMs int64  `json:"heartbeat_age_ms"` // since the server's last heartbeat
}

// Owner is a key range and the server that owns it, as known to a host.
type Owner struct {
	Service string    `json:"service"`
	From    int64     `json:"from"`   // first key
	To      int64     `json:"to"`     // last key
	Server  string    `json:"server"` // empty if there is no owner
	Since   time.Time `json:"since"`  // when the host learned of the owner; zero if unknown
}

// Holding is a key range of a service whose servers take grants by calls, and who may hold it, as known to the
// leader.
type Holding struct {
	Service     string `json:"service"`
	From        int64  `json:"from"`   // first key
	To          int64  `json:"to"`     // last key
	Server      string `json:"server"` // empty if the keys are free
	Token       uint64 `json:"token"`
	LeaseLeftMs int64  `json:"lease_left_ms"`          // for which the server may still hold the keys
	LastCall    string `json:"last_call,omitempty"`    // and what is known of it
	WhyNotFree  string `json:"why_not_free,omitempty"` // empty if the keys are free, or served as intended
}

// Evacuation is a set of evacuated failure domains.
type Evacuation struct {
	Revision uint64   `json:"revision"`
	Domains  []string `json:"domains"` // in order
}

// Dump is the part of a host's state dump that traces use.
type Dump struct {
	Host     string                  `json:"host"`
	Leads    bool                    `json:"leads,omitempty"`
	Versions []Timestamped[uint64]   `json:"versions"` // of the route configuration, in the order of activation
	Keys     []Timestamped[KeyEvent] `json:"keys,omitempty"`

	// Evacuations are the sets of evacuated failure domains, in the order of activation.
	Evacuations []Timestamped[Evacuation] `json:"evacuations,omitempty"`

	Owners   []Owner   `json:"owners,omitempty"`   // as known to the host now
	Recorded []Owner   `json:"recorded,omitempty"` // latest grants in the replicated log
	Holdings []Holding `json:"holdings,omitempty"` // only on the leader
}
