// Package trace keeps a short history of configuration versions and key ownership for the state dump
// of a process. From the dumps of many hosts it reconstructs when a configuration came into force on
// each of them and which servers owned a key.
package trace
