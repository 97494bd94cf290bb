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

// maxBatches bounds the uploads in parts kept at one time.
const maxBatches = 10_000

// uploadCall is a request of an upload in parts. A part was checked against its
// digest when it is one.
type uploadCall struct {
	target wire.UploadTarget
	body   []byte
	digest [sha256.Size]byte // of the part, or of the whole at a commit
	length int64             // of the whole, at a commit
}

// parseUpload reads the request of an upload in parts; nil for other requests.
func parseUpload(request *app.RequestContext) (*uploadCall, string) {
	target := wire.ParseUpload(string(request.Method()), string(request.Path()))
	u := &uploadCall{target: target}
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

// batch is one upload in parts. The stand-in reads no photos, so it keeps the
// digest of the parts and not their bytes.
type batch struct {
	offset    int64 // confirmed: every byte before it has arrived
	parts     map[int64]part
	whole     hash.Hash
	committed *result // answer of the commit
}

type part struct {
	length int64
	digest [sha256.Size]byte
}

// uploads keeps batches. The caller locks.
type uploads struct{ batches map[batchKey]*batch }

func newUploads() *uploads { return &uploads{batches: map[batchKey]*batch{}} }

// status returns the confirmed offset, 0 for a batch never heard of.
func (u *uploads) status(key batchKey) result {
	var offset int64
	if b := u.batches[key]; b != nil {
		offset = b.offset
	}
	return uploadResult(consts.StatusOK, offset)
}

// add takes a part that begins at the confirmed offset. The same part sent again
// changes nothing. Any other part is answered with a conflict and the confirmed
// offset.
func (u *uploads) add(key batchKey, c *uploadCall) (result, string) {
	b := u.batches[key]
	if b == nil {
		if c.target.Offset > 0 {
			return uploadResult(consts.StatusConflict, 0), ""
		}
		if len(u.batches) >= maxBatches {
			return result{}, wire.RefusedShedding
		}
		b = &batch{parts: map[int64]part{}, whole: sha256.New()}
		u.batches[key] = b
	}
	sent := part{length: int64(len(c.body)), digest: c.digest}
	kept, known := b.parts[c.target.Offset]
	switch {
	case known && kept == sent:
		return uploadResult(consts.StatusOK, b.offset), ""
	case b.committed != nil, known, c.target.Offset != b.offset, sent.length == 0:
		return uploadResult(consts.StatusConflict, b.offset), ""
	}
	b.parts[b.offset] = sent
	_, _ = b.whole.Write(c.body) // never fails, by its contract
	b.offset += sent.length
	return uploadResult(consts.StatusOK, b.offset), ""
}

// ready returns the batch of a commit, or why it can't run.
func (u *uploads) ready(key batchKey, c *uploadCall) (*batch, string) {
	b := u.batches[key]
	if b == nil || b.offset != c.length {
		return nil, wire.RefusedIncomplete
	}
	if !bytes.Equal(b.whole.Sum(nil), c.digest[:]) {
		return nil, wire.RefusedDigest
	}
	return b, ""
}

// result is what an executed request is answered with.
type result struct {
	status int
	upload bool
	offset int64   // confirmed, of an upload in parts
	answer *Response // nil for a part or a status
}

func (r result) write(request *app.RequestContext) {
	if r.upload {
		request.Response.Header.Set(wire.HeaderUploadOffset, strconv.FormatInt(r.offset, 10))
	}
	request.SetStatusCode(r.status)
	if r.answer != nil {
		request.JSON(r.status, r.answer)
	}
}

func uploadResult(status int, offset int64) result {
	return result{status: status, upload: true, offset: offset}
}

// uploadEffect runs the request of an upload in parts. The caller holds mu and
// has checked the grant.
func (s *Server) uploadEffect(c *call) (result, string) {
	key := batchKey{c.run.Customer, c.run.Key, c.upload.target.Batch}
	switch c.upload.target.Step {
	case wire.UploadPart:
		return s.uploads.add(key, c.upload)
	case wire.UploadCommit:
		return s.commit(key, c)
	default:
		return s.uploads.status(key), ""
	}
}

// commit runs once for each batch; a copy of it gets the first one's answer.
func (s *Server) commit(key batchKey, c *call) (result, string) {
	b, reason := s.uploads.ready(key, c.upload)
	if reason != "" {
		return result{}, reason
	}
	if b.committed == nil {
		committed := s.run(c)
		committed.upload, committed.offset = true, b.offset
		b.committed = &committed
	}
	return *b.committed, ""
}
