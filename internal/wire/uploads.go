package wire

import (
	"strconv"
	"strings"
)

// UploadStep is the operation that a request performs on an upload in parts.
type UploadStep int

// Upload steps.
const (
	UploadNone   UploadStep = iota // not a request of an upload in parts
	UploadStatus                   // GET {PathUploads}{batch}: the confirmed offset
	UploadPart                     // PUT {PathUploads}{batch}/parts/{offset}
	UploadCommit                   // POST {PathUploads}{batch}/commit
)

// UploadTarget is the parsed method and path of a request of an upload in parts.
type UploadTarget struct {
	Step   UploadStep
	Batch  string
	Offset int64 // of the part in the batch, bytes
}

// ParseUpload parses the method and path of a request. The step is UploadNone for requests that do
// not belong to an upload in parts.
func ParseUpload(method, path string) UploadTarget {
	rest, found := strings.CutPrefix(path, PathUploads)
	if !found {
		return UploadTarget{}
	}
	segments := strings.Split(rest, "/")
	target := UploadTarget{Batch: segments[0]}
	switch {
	case target.Batch == "":
		return UploadTarget{}
	case method == "GET" && len(segments) == 1:
		target.Step = UploadStatus
	case method == "POST" && len(segments) == 2 && segments[1] == "commit":
		target.Step = UploadCommit
	case method == "PUT" && len(segments) == 3 && segments[1] == "parts":
		offset, err := strconv.ParseUint(segments[2], 10, 63)
		if err != nil {
			return UploadTarget{}
		}
		target.Step, target.Offset = UploadPart, int64(offset)
	default:
		return UploadTarget{}
	}
	return target
}
