// Package wire holds the messages between galenalug's processes. The structs
// are generated from schema/wire.schema.json; names of fields on the wire are
// short in messages between our own processes, and written out in messages that
// backend servers send and receive.
package wire
