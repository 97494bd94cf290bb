// Package routing connects an entry host to the control hosts. It maintains the routing tables of
// all groups, renews the host's sessions and its shares of allowances, reports on backend servers,
// and forwards server announcements and run ledger calls. It implements the interfaces in
// internal/entry/ports.go.
package routing
