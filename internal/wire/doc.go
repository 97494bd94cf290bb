// Package wire defines the messages, headers and paths that galenalug's processes, clients and
// backend servers exchange. The message structs are generated from schema/wire.schema.json. Encoded
// field names are short in messages between galenalug's own processes, and written out in messages
// that backend servers send and receive.
package wire
