package entry

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
)

// parseUpload parses a request that belongs to an upload in parts. Sending a part is repeatable,
// because its server recognizes a copy by offset and digest. A commit is not repeatable: it is
// recorded in the run ledger under the batch's id.
func parseUpload(in *inboundRequest, config hostConfig) *refusal {
	path, _, _ := strings.Cut(in.target, "?")
	in.upload = wire.ParseUpload(in.method, path)
	if in.upload.Step == wire.UploadNone {
		return nil
	}
	if !validName(in.upload.Batch) {
		return badRequest("the batch must be at most %d letters, digits, '.', '_' or '-'", maxNameBytes)
	}
	in.requestedUploadServer = in.header.Get(wire.HeaderUploadServer)
	switch in.upload.Step {
	case wire.UploadPart:
		return parsePart(in, config)
	case wire.UploadCommit:
		return parseCommit(in)
	default:
		return nil
	}
}

func parsePart(in *inboundRequest, config hostConfig) *refusal {
	if _, err := wire.ParseDigest(in.header.Get(wire.HeaderContentDigest)); err != nil {
		return badRequest("%s of the part: %v", wire.HeaderContentDigest, err)
	}
	if in.upload.Offset > int64(config.maxUploadBytes) {
		return refuseNotRun(413, reasonTooLarge, "a batch may have at most %d bytes", config.maxUploadBytes)
	}
	in.class, in.repeatable = admission.Upload, true
	return nil
}

func parseCommit(in *inboundRequest) *refusal {
	length := in.header.Get(wire.HeaderUploadLength)
	if _, err := strconv.ParseUint(length, 10, 63); err != nil {
		return badRequest("%s must be the batch's length in bytes", wire.HeaderUploadLength)
	}
	whole := in.header.Get(wire.HeaderReprDigest)
	if _, err := wire.ParseDigest(whole); err != nil {
		return badRequest("%s of the batch: %v", wire.HeaderReprDigest, err)
	}
	if in.idempotencyKey != "" && in.idempotencyKey != in.upload.Batch {
		return badRequest("%s of a commit must be the batch", wire.HeaderIdempotencyKey)
	}
	if in.header.Get(wire.HeaderRepeatable) == "true" {
		return badRequest("a commit may not be repeated")
	}
	in.class, in.repeatable = admission.Upload, false
	in.idempotencyKey = in.upload.Batch
	in.batchContent = []string{length, whole}
	return nil
}

// streamsBody reports whether the body is forwarded as it arrives.
func (in *inboundRequest) streamsBody() bool {
	return in.class == admission.Upload && in.upload.Step != wire.UploadCommit
}

// chooseUploadServer returns the index of the server that holds the parts of a batch, for a service
// that is not partitioned by key, or -1 if there are no servers. That is the server that the caller
// names, taken from an earlier response, or else the first one by rendezvous hashing (Thaler and
// Ravishankar, 1998), for which all entry hosts get the same result.
func chooseUploadServer(servers []Server, in *inboundRequest) int {
	best, highest := -1, uint64(0)
	for i, server := range servers {
		if server.Name == in.requestedUploadServer {
			return i
		}
		weight := xxhash.Sum64String(in.customer + "\x00" + in.upload.Batch + "\x00" + server.Name)
		if best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// isFinalRefusal reports whether a server's refusal is final, so that a retry can't succeed.
func isFinalRefusal(reason string) bool {
	return reason == wire.RefusedIncomplete || reason == wire.RefusedDigest
}
