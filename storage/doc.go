// Package storage persists the state of one member of a replicated log in a
// directory: the identity of the disk, a segmented write-ahead log, and snapshots.
//
// # Contract
//
//   - When Append, SaveSnapshot or InstallSnapshot returns nil, file and directory
//     are synced and Open finds the data after a crash. One exception: an Append that
//     only advances the commit index is kept in memory until the next write, since a
//     member can learn the commit index again.
//   - Append writes records with checksums, normally one per call. A crash tears at
//     most the last record, which Open truncates. A record that was changed after it
//     was written is never truncated, but reported as a CorruptError with file and
//     offset. The last record counts as torn only if the file ends within it or a
//     sector of it was never written.
//   - A failed write makes the Store unusable until it is reopened, since the content
//     of a file is unknown after a failed sync. A full disk is reported as ErrNoSpace.
//   - Create and Open do not lock the directory. Only one process may use it.
//
// The file format is specific to this package, see record.go. The detection of torn
// records follows etcd's write-ahead log.
package storage
