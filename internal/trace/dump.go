package trace

import "time"

// KeyEvent is one change of who holds a run of keys, as the leader decided it.
type KeyEvent struct {
	Kind           string `json:"kind"` // see keyrange.EventKind
	Service        string `json:"service"`
	From           int64  `json:"from"`
	To             int64  `json:"to"`
	Server         string `json:"server"`
	Token          uint64 `json:"token"`
	Term           uint64 `json:"term"`
	HeartbeatAgeMs int64  `json:"heartbeat_age_ms"` // since the server's last heartbeat
}

// Owner is a run of keys and the server that owns it, as a host knows it.
type Owner struct {
	Service string    `json:"service"`
	From    int64     `json:"from"`
	To      int64     `json:"to"`
	Server  string    `json:"server"` // empty for none
	Since   time.Time `json:"since"`  // when the host heard of it; zero if it does not say
}

// Dump is the part of a host's state dump that traces read.
type Dump struct {
	Host     string              `json:"host"`
	Leads    bool                `json:"leads,omitempty"`
	Versions []Stamped[uint64]   `json:"versions"` // of the route configuration, as they came into force
	Keys     []Stamped[KeyEvent] `json:"keys,omitempty"`
	Owners   []Owner             `json:"owners,omitempty"`
	Recorded []Owner             `json:"recorded,omitempty"` // newest grants in the log
}
