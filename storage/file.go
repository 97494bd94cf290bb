package storage

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenalug/galenalug/replog"
)

// Names of the files in a store's directory.
const (
	identityName   = "identity"
	segmentFormat  = "wal-%016x.log"        // sequence number
	snapshotFormat = "snapshot-%016x.state" // index
	tempSuffix     = ".tmp"
)

// identityRecord is the record body in the identity file.
type identityRecord struct {
	ID uint64 `cbor:"1,keyasint"`
}

// batch is the record body in a segment. The first one of each segment contains the
// segment's sequence number and the current hard state.
type batch struct {
	Segment   uint64            `cbor:"1,keyasint,omitempty"`
	HardState *replog.HardState `cbor:"2,keyasint,omitempty"`
	Entries   []replog.Entry    `cbor:"3,keyasint,omitempty"`
	Reset     bool              `cbor:"4,keyasint,omitempty"` // discard all earlier entries
}

// snapshotHeader is the body of the record that precedes a snapshot's data.
type snapshotHeader struct {
	Meta replog.SnapshotMeta `cbor:"1,keyasint"`
	Size uint64              `cbor:"2,keyasint"`
	Sum  uint64              `cbor:"3,keyasint"` // xxhash64 of the data
}

// encodeRecord returns a record with value as its body.
func encodeRecord(value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, wrapFSError(err, "encode")
	}
	return appendRecord(nil, body), nil
}

// writeFile writes a file atomically: it writes and syncs a temporary file, renames it
// and syncs the directory.
func writeFile(fs FS, dir, name string, parts ...[]byte) error {
	path := filepath.Join(dir, name)
	file, err := fs.Create(path + tempSuffix)
	if err != nil {
		return wrapFSError(err, "create "+name)
	}
	if err := writeAndSync(file, parts); err != nil {
		_ = file.Close()
		_ = fs.Remove(path + tempSuffix)
		return wrapFSError(err, "write "+name)
	}
	if err := file.Close(); err != nil {
		return wrapFSError(err, "close "+name)
	}
	if err := fs.Rename(path+tempSuffix, path); err != nil {
		return wrapFSError(err, "rename "+name)
	}
	return wrapFSError(fs.SyncDir(dir), "sync directory")
}

func writeAndSync(file File, parts [][]byte) error {
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return err
		}
	}
	return file.Sync()
}

func readIdentity(fs FS, dir string) (uint64, error) {
	path := filepath.Join(dir, identityName)
	data, err := fs.ReadFile(path)
	if isNotExist(err) {
		return 0, ErrNotExist
	}
	if err != nil {
		return 0, wrapFSError(err, "read identity")
	}
	body, _, state := readRecord(data, 0)
	var identity identityRecord
	if state != recordValid || cbor.Unmarshal(body, &identity) != nil {
		return 0, &CorruptError{File: path, Detail: "invalid identity record"}
	}
	return identity.ID, nil
}

func writeSnapshot(fs FS, dir string, meta replog.SnapshotMeta, data []byte) error {
	header, err := encodeRecord(snapshotHeader{Meta: meta, Size: uint64(len(data)), Sum: xxhash.Sum64(data)})
	if err != nil {
		return err
	}
	return writeFile(fs, dir, fmt.Sprintf(snapshotFormat, meta.Index), header, data)
}

func readSnapshot(fs FS, path string) (meta replog.SnapshotMeta, data []byte, err error) {
	content, err := fs.ReadFile(path)
	if err != nil {
		return meta, nil, wrapFSError(err, "read snapshot")
	}
	body, size, state := readRecord(content, 0)
	var header snapshotHeader
	if state != recordValid || cbor.Unmarshal(body, &header) != nil {
		return meta, nil, &CorruptError{File: path, Detail: "invalid snapshot header"}
	}
	data = content[size:]
	if uint64(len(data)) != header.Size || xxhash.Sum64(data) != header.Sum {
		return meta, nil, &CorruptError{File: path, Offset: int64(size), Detail: "snapshot data does not match its size or checksum"}
	}
	return header.Meta, data, nil
}

// parseNumbers returns the numbers in the file names that match format.
func parseNumbers(names []string, format string) []uint64 {
	var found []uint64
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, format, &number); err == nil && name == fmt.Sprintf(format, number) {
			found = append(found, number)
		}
	}
	return found
}

func isTemp(name string) bool { return strings.HasSuffix(name, tempSuffix) }
