// Package routing links an entry host to the control hosts. It keeps the routing
// table of all groups, renews the host's sessions, passes on backend servers'
// announcements, reaches the run ledger, and holds the host's shares of
// allowances. It implements the interfaces in internal/entry/ports.go.
package routing
