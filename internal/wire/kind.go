package wire

import (
	"time"

	"github.com/galenalug/galenalug/membership"
)

// Kinds of Frame bodies.
const (
	KindRaft      = 1  // RaftBatch, one-way, control to control
	KindWatch     = 2  // Watch, one-way, entry to control
	KindTable     = 3  // TableUpdate, one-way, control to entry
	KindAnnounce  = 4  // Announcement, answered by AnnouncementReply
	KindRenew     = 5  // Renewal, answered by RenewalReply
	KindRunBegin  = 6  // RunBegin, answered by RunReply
	KindRunFinish = 7  // RunFinish, answered by RunReply
	KindPropose   = 8  // Proposal, answered by ProposalReply
	KindJoin      = 9  // Join, answered by ProposalReply
	KindReport    = 10 // RegionReport, answered by ReportReply

	// Between gateways and their control hosts.
	KindServerHeartbeat = 11 // keyrange.Heartbeat, answered by keyrange.HeartbeatReply
	KindServerLeave     = 12 // keyrange.Leave, answered by an empty body
	KindPutConfig       = 13 // routes.Put, answered by routes.PutReply
	KindGetDocument     = 14 // empty, answered by the operator's text of the configuration
	KindSubscribe       = 15 // empty, entry to control; answered by an empty body
	KindFleetTable      = 16 // keyrange.TableUpdate, one-way, control to entry
	KindLoadReport      = 17 // keyrange.LoadReport, one-way, entry to control
	KindGetConfig       = 18 // empty, answered by routes.Config
)

// GroupGlobal is the name of the log group that all control hosts are in.
const GroupGlobal = membership.GroupGlobal

// ShareLease is the lease of an entry host's share of an allowance. Both ends count
// by it.
const ShareLease = 2 * time.Second

// NoSlot is the slot of runs of services that are not divided by key.
const NoSlot = 0

// Reasons in Share.Refusal.
const (
	ShareNoPlan     = "no-plan"     // the customer is in no plan, and there is no default plan
	ShareNotAllowed = "not-allowed" // the customer's plan does not allow the service
)

// Error codes of failed calls, in Frame.ErrorCode.
const (
	CodeNotLeader   = "not-leader"  // detail: name of the leader, or empty
	CodeUnavailable = "unavailable" // no quorum, or the process is stopping
	CodeUnknown     = "unknown"     // the outcome of the call is not known
	CodeInvalid     = "invalid"     // the body was refused
	CodeConflict    = "conflict"    // another change came first
	CodeInternal    = "internal"    // a fault of the called process
)

// Headers of callers' requests and of answers to them.
const (
	HeaderKey            = "Galena-Key"         // key of the request
	HeaderCustomer       = "Galena-Customer"    // customer the request is counted for
	HeaderClass          = "Galena-Class"       // lookup, order or upload
	HeaderRepeatable     = "Galena-Repeatable"  // true or false; default by method
	HeaderDeadlineMillis = "Galena-Deadline-Ms" // time left, milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"    // the caller's id of a request
	HeaderOutcome        = "Galena-Outcome"     // answered, not-run or unknown
)

// Headers between entry hosts and backend servers.
const (
	HeaderSlot      = "Galena-Slot"       // slot of the key
	HeaderToken     = "Galena-Token"      // fencing token of the grant
	HeaderRequestID = "Galena-Request-Id" // id for logs and cancellation
	HeaderRefused   = "Galena-Refused"    // reason why the server did not run it
)

// Headers of uploads in parts. Digests are as in RFC 9530, offsets and lengths in
// bytes.
const (
	HeaderContentDigest = "Content-Digest"       // of one part
	HeaderReprDigest    = "Repr-Digest"          // of the whole batch, at the commit
	HeaderUploadLength  = "Upload-Length"        // of the whole batch, at the commit
	HeaderUploadOffset  = "Upload-Offset"        // confirmed, in answers
	HeaderUploadServer  = "Galena-Upload-Server" // server that keeps the parts, of a service not divided by key
)

// Reasons in HeaderRefused: the server did not run the request.
const (
	RefusedStaleToken = "stale-token"
	RefusedNotOwner   = "not-owner"
	RefusedDraining   = "draining"
	RefusedShedding   = "shedding"
	RefusedDeadline   = "deadline"
	RefusedIncomplete = "incomplete"      // a commit of a batch whose parts are not all there
	RefusedDigest     = "digest-mismatch" // a part or a batch has another digest than announced
)

// Outcomes in HeaderOutcome and Refusal.Outcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// PathRoutes is the path on a control host's admin address where operators read
// (GET) and replace (PUT) the route configuration, as YAML.
const PathRoutes = "/galena/v1/routes"

// Paths between backend servers and entry hosts.
const (
	PathAnnounce = "/galena/v1/servers/announce" // POST Announcement, answered by AnnouncementReply
	PathGrants   = "/galena/v1/servers/grants"   // GET ?name=&session=&after=&wait_ms=, answered by Grants
	PathProbe    = "/galena/v1/probe"            // GET on a backend server: 200 when it can serve
	PathServices = "/v1/services/"               // callers: /v1/services/{service}/{path...}
	PathUploads  = "/uploads/"                   // on a backend server: uploads in parts
)
