package entry

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
)

// parseUpload takes a request of an upload in parts. A part is repeatable, since
// its server tells a copy by offset and digest. A commit is not: it is recorded
// in the run ledger under the batch's id.
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

// streamed reports whether the body is passed on as it arrives.
func (in *inboundRequest) streamsBody() bool {
	return in.class == admission.Upload && in.upload.Step != wire.UploadCommit
}

// chooseKeeper returns the server that keeps the parts of a batch, for a service
// that is not divided by key: the one that the caller names, as an earlier answer
// told it, or else the first one by rendezvous hashing (Thaler and Ravishankar,
// 1998), which every entry host finds alike. It returns -1 without servers.
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

// finalRefusal reports whether a server's refusal stands whoever is asked again.
func isFinalRefusal(reason string) bool {
	return reason == wire.RefusedIncomplete || reason == wire.RefusedDigest
}
