// Package trace keeps a short history of what a process believed, for its state
// dump, and tells from the dumps of many hosts how a configuration reached each of
// them and who owned a key.
package trace
