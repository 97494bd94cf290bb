package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A record consists of a header and a body. The header fields, in little endian, are
// the magic number, the length of the body, the xxhash64 of the body, and the xxhash64
// of the header fields before it.
const (
	recordMagic     = 0x474c5243 // "GLRC"
	headerBytes     = 24
	lengthOffset    = 4
	sumOffset       = 8
	headerSumOffset = 16
	sectorBytes     = 512 // a torn write leaves whole sectors unwritten

	// MaxRecordBytes is the maximum size of a record's body.
	MaxRecordBytes = 64 << 20
)

type recordState int

const (
	recordValid   recordState = iota
	recordEnd                 // at the end of the data
	recordTorn                // truncated, or with sectors that were never written
	recordCorrupt             // changed after it was written
)

// appendRecord appends a record with the given body to buffer.
func appendRecord(buffer, body []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:], recordMagic)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(body)))
	binary.LittleEndian.PutUint64(header[sumOffset:], xxhash.Sum64(body))
	binary.LittleEndian.PutUint64(header[headerSumOffset:], xxhash.Sum64(header[:headerSumOffset]))
	return append(append(buffer, header[:]...), body...)
}

// readRecord reads the record at the start of data, which is the rest of the file
// from the given offset. size includes the header.
func readRecord(data []byte, offset int) (body []byte, size int, state recordState) {
	if len(data) == 0 {
		return nil, 0, recordEnd
	}
	if len(data) < headerBytes {
		return nil, 0, classifyInvalid(data, len(data), offset, true)
	}
	length, ok := readHeader(data)
	if !ok {
		return nil, 0, classifyInvalid(data, headerBytes, offset, false)
	}
	size = headerBytes + length
	if size > len(data) {
		return nil, 0, classifyInvalid(data, len(data), offset, true)
	}
	body = data[headerBytes:size]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(data[sumOffset:]) {
		return nil, 0, classifyInvalid(data, size, offset, false)
	}
	return body, size, recordValid
}

func readHeader(data []byte) (length int, ok bool) {
	if len(data) < headerBytes ||
		binary.LittleEndian.Uint32(data) != recordMagic ||
		binary.LittleEndian.Uint64(data[headerSumOffset:]) != xxhash.Sum64(data[:headerSumOffset]) {
		return 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	return length, length <= MaxRecordBytes
}

// classifyInvalid distinguishes a torn record from a corrupt one. A valid record after
// it proves corruption, since records are written in order. Otherwise the record is
// torn if it is truncated or a sector of it was never written.
func classifyInvalid(data []byte, size, offset int, truncated bool) recordState {
	if validRecordAfter(data) {
		return recordCorrupt
	}
	if truncated || hasZeroSector(data[:size], offset) {
		return recordTorn
	}
	return recordCorrupt
}

func validRecordAfter(data []byte) bool {
	var magic [lengthOffset]byte
	binary.LittleEndian.PutUint32(magic[:], recordMagic)
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], magic[:])
		if next < 0 {
			return false
		}
		at += next
		length, ok := readHeader(data[at:])
		if !ok || at+headerBytes+length > len(data) {
			continue
		}
		body := data[at+headerBytes : at+headerBytes+length]
		if xxhash.Sum64(body) == binary.LittleEndian.Uint64(data[at+sumOffset:]) {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the record's bytes in any one sector are all zero,
// which is how etcd's write-ahead log detects torn writes.
func hasZeroSector(record []byte, offset int) bool {
	for len(record) > 0 {
		part := min(sectorBytes-offset%sectorBytes, len(record))
		if len(bytes.Trim(record[:part], "\x00")) == 0 {
			return true
		}
		record = record[part:]
		offset += part
	}
	return false
}
