package backend

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/galenalug/galenalug/internal/wire"
)

// maxBatches bounds the number of uploads in parts that are kept in memory.
const maxBatches = 10_000

// uploadRequest is a request of an upload in parts. The body of a part matches its digest.
type uploadRequest struct {
	target wire.UploadTarget
	body   []byte
	digest [sha256.Size]byte // of the part or, in a commit, of the complete content
	length int64             // of the complete content, in a commit
}

// parseUpload parses a request of an upload in parts and checks the digest of a part. It returns nil
// for other requests, and the refusal reason for an invalid one.
func parseUpload(request *app.RequestContext) (*uploadRequest, string) {
	target := wire.ParseUpload(string(request.Method()), string(request.Path()))
	u := &uploadRequest{target: target}
	var err error
	switch target.Step {
	case wire.UploadNone:
		return nil, ""
	case wire.UploadPart:
		u.body = request.Request.Body()
		u.digest, err = wire.ParseDigest(string(request.GetHeader(wire.HeaderContentDigest)))
		if err != nil || sha256.Sum256(u.body) != u.digest {
			return nil, wire.RefusedDigest
		}
	case wire.UploadCommit:
		u.digest, err = wire.ParseDigest(string(request.GetHeader(wire.HeaderReprDigest)))
		if err != nil {
			return nil, wire.RefusedDigest
		}
		u.length, err = strconv.ParseInt(string(request.GetHeader(wire.HeaderUploadLength)), 10, 64)
		if err != nil {
			return nil, wire.RefusedIncomplete
		}
	}
	return u, ""
}

// batchKey identifies an upload in parts.
type batchKey struct {
	customer string
	key      string
	batch    string
}

// batch is one upload in parts. Nothing reads the uploaded content, so only digests are kept.
type batch struct {
	offset    int64 // confirmed: all bytes before it were received
	parts     map[int64]part
	content   hash.Hash // digest of the parts received so far
	committed *result   // result of the commit; nil before it
}

type part struct {
	length int64
	digest [sha256.Size]byte
}

// uploads holds the batches. The caller serializes the calls.
type uploads struct{ batches map[batchKey]*batch }

func newUploads() *uploads { return &uploads{batches: map[batchKey]*batch{}} }

// status returns the confirmed offset, which is 0 for an unknown batch.
func (u *uploads) status(key batchKey) result {
	var offset int64
	if b := u.batches[key]; b != nil {
		offset = b.offset
	}
	return uploadResult(consts.StatusOK, offset)
}

// addPart accepts a part that starts at the confirmed offset. A part that was already accepted
// changes nothing. Any other part gets a conflict with the confirmed offset.
func (u *uploads) addPart(key batchKey, c *uploadRequest) (result, string) {
	b := u.batches[key]
	if b == nil {
		if c.target.Offset > 0 {
			return uploadResult(consts.StatusConflict, 0), ""
		}
		if len(u.batches) >= maxBatches {
			return result{}, wire.RefusedShedding
		}
		b = &batch{parts: map[int64]part{}, content: sha256.New()}
		u.batches[key] = b
	}
	received := part{length: int64(len(c.body)), digest: c.digest}
	accepted, exists := b.parts[c.target.Offset]
	switch {
	case exists && accepted == received:
		return uploadResult(consts.StatusOK, b.offset), ""
	case b.committed != nil, exists, c.target.Offset != b.offset, received.length == 0:
		return uploadResult(consts.StatusConflict, b.offset), ""
	}
	b.parts[b.offset] = received
	_, _ = b.content.Write(c.body) // Write of a hash.Hash never fails
	b.offset += received.length
	return uploadResult(consts.StatusOK, b.offset), ""
}

// readyToCommit returns the batch if the commit's length and digest match the received content, and
// the refusal reason otherwise.
func (u *uploads) readyToCommit(key batchKey, c *uploadRequest) (*batch, string) {
	b := u.batches[key]
	if b == nil || b.offset != c.length {
		return nil, wire.RefusedIncomplete
	}
	if !bytes.Equal(b.content.Sum(nil), c.digest[:]) {
		return nil, wire.RefusedDigest
	}
	return b, ""
}

// result is the response to a request that was not refused.
type result struct {
	status   int
	upload   bool      // whether the response has an upload offset
	offset   int64     // confirmed offset of the batch
	response *Response // nil for a part or a status
}

func (r result) write(request *app.RequestContext) {
	if r.upload {
		request.Response.Header.Set(wire.HeaderUploadOffset, strconv.FormatInt(r.offset, 10))
	}
	request.SetStatusCode(r.status)
	if r.response != nil {
		request.JSON(r.status, r.response)
	}
}

func uploadResult(status int, offset int64) result {
	return result{status: status, upload: true, offset: offset}
}

// applyUpload applies a request of an upload in parts. The caller holds mu and has checked the grant.
func (s *Server) applyUpload(c *call) (result, string) {
	key := batchKey{c.run.Customer, c.run.Key, c.upload.target.Batch}
	switch c.upload.target.Step {
	case wire.UploadPart:
		return s.uploads.addPart(key, c.upload)
	case wire.UploadCommit:
		return s.commit(key, c)
	default:
		return s.uploads.status(key), ""
	}
}

// commit runs once per batch. Repeated commits get the first one's result.
func (s *Server) commit(key batchKey, c *call) (result, string) {
	b, reason := s.uploads.readyToCommit(key, c.upload)
	if reason != "" {
		return result{}, reason
	}
	if b.committed == nil {
		committed := s.recordRun(c)
		committed.upload, committed.offset = true, b.offset
		b.committed = &committed
	}
	return *b.committed, ""
}
