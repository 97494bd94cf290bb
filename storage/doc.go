// Package storage keeps the durable state of one member of one replicated log
// in one directory: the identity of the disk, a write-ahead log in segments,
// and snapshots.
//
// # Contract
//
//   - What Append, SaveSnapshot and InstallSnapshot returned nil for is synced,
//     file and directory, and is found by Open after a crash. One exception: an
//     Append of nothing but a new commit index is kept in memory until the next
//     write, since a commit index may be learned again.
//   - One Append is one record with a checksum. A crash tears the last record at
//     most: Open cuts it off. A record that was changed after it was written is
//     reported as a CorruptError that names file and offset, never cut off. The
//     last record counts as torn only if the file ends in it or a sector of it
//     was never written.
//   - Any failed write makes the Store unusable until it is opened again: what
//     the file holds is unknown after a failed sync. A full disk is reported as
//     ErrNoSpace.
//   - Create and Open do not lock the directory. One process may use it.
//
// The format is this package's own; see record.go. The judgement of torn
// records follows etcd's write-ahead log.
package storage
