package wire

import (
	"strconv"
	"strings"
)

// UploadStep is what a request does to an upload in parts.
type UploadStep int

// Steps.
const (
	UploadNone   UploadStep = iota // not a request of an upload in parts
	UploadStatus                   // GET {PathUploads}{batch}: the confirmed offset
	UploadPart                     // PUT {PathUploads}{batch}/parts/{offset}
	UploadCommit                   // POST {PathUploads}{batch}/commit
)

// UploadTarget is a request of an upload in parts.
type UploadTarget struct {
	Step   UploadStep
	Batch  string
	Offset int64 // of a part, bytes
}

// ParseUpload reads method and path of a request. Everything that is not of an
// upload in parts gets UploadNone.
func ParseUpload(method, path string) UploadTarget {
	rest, found := strings.CutPrefix(path, PathUploads)
	if !found {
		return UploadTarget{}
	}
	fields := strings.Split(rest, "/")
	target := UploadTarget{Batch: fields[0]}
	switch {
	case target.Batch == "":
		return UploadTarget{}
	case method == "GET" && len(fields) == 1:
		target.Step = UploadStatus
	case method == "POST" && len(fields) == 2 && fields[1] == "commit":
		target.Step = UploadCommit
	case method == "PUT" && len(fields) == 3 && fields[1] == "parts":
		offset, err := strconv.ParseUint(fields[2], 10, 63)
		if err != nil {
			return UploadTarget{}
		}
		target.Step, target.Offset = UploadPart, int64(offset)
	default:
		return UploadTarget{}
	}
	return target
}
