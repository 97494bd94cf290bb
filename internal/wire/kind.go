package wire

import (
	"time"

	"github.com/galenalug/galenalug/membership"
)

// Message kinds in Frame.Kind.
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
	KindSubscribe       = 15 // routes.ConfigReport, entry to control; answered by an empty body
	KindFleetTable      = 16 // keyrange.TableUpdate, one-way, control to entry
	KindLoadReport      = 17 // keyrange.LoadReport, one-way, entry to control
	KindGetConfig       = 18 // empty, answered by routes.Config
	KindConfigUpdate    = 20 // encoded routes.Update, one-way, control to entry
	KindConfigReport    = 19 // routes.ConfigReport, entry to control; answered by routes.ConfigReportReply
	KindCrashReport     = 22 // quarantine.Report, one-way, entry to control
	KindPermitRequest   = 24 // quarantine.PermitRequest, entry to control; answered by quarantine.PermitReply
	KindQuarantine      = 23 // quarantine.Update, one-way, control to entry
	KindEvacuations     = 25 // evacuation.Update, one-way, control to entry
	KindEvacuate        = 27 // evacuation.ConditionalChange, answered by evacuation.ChangeReply
	KindGetEvacuations  = 28 // empty, answered by evacuation.Status
	KindEvacuationSent  = 29 // evacuation.Traffic, one-way, entry to control
	KindServerDigest    = 26 // serverload.Digest, one-way, control to entry
	KindTokenRequest    = 21 // ratelimit.TokenRequest, entry to control; answered by ratelimit.TokenReply
	KindAdmission       = 30 // admitshare.Plan, one-way, control to entry
	KindDemandReport    = 31 // admitshare.DemandReport, one-way, entry to control
	KindGetServers      = 32 // empty, answered by keyrange.ServerList
	KindSlotRequest     = 33 // slotqueue.Request, one-way, entry to control
	KindSlotAnswer      = 34 // slotqueue.Answer, one-way, control to entry
	KindSlotRelease     = 35 // slotqueue.Release, one-way, entry to control
)

// GroupGlobal is the name of the replicated-log group that serves all regions and includes every
// control host.
const GroupGlobal = membership.GroupGlobal

// ShareLease is the lease duration of an entry host's share of an allowance. Entry and control
// hosts must use the same value.
const ShareLease = 2 * time.Second

// NoSlot is the slot number of runs of services that are not partitioned by key.
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
	CodeUnknown     = "unknown"     // the outcome of the call is unknown
	CodeInvalid     = "invalid"     // the request body is invalid
	CodeConflict    = "conflict"    // another change was made first
	CodeInternal    = "internal"    // internal error of the called process
)

// Headers of client requests and of their responses.
const (
	HeaderKey            = "Galena-Key"         // key of the request
	HeaderCustomer       = "Galena-Customer"    // customer whose allowance the request uses
	HeaderClass          = "Galena-Class"       // lookup, order or upload
	HeaderRepeatable     = "Galena-Repeatable"  // true or false; the default depends on the method
	HeaderDeadlineMillis = "Galena-Deadline-Ms" // time until the deadline, milliseconds
	HeaderIdempotencyKey = "Idempotency-Key"    // the client's ID of the request
	HeaderOutcome        = "Galena-Outcome"     // answered, not-run or unknown
)

// Headers between entry hosts and backend servers.
const (
	HeaderSlot      = "Galena-Slot"       // slot of the key
	HeaderToken     = "Galena-Token"      // fencing token of the grant
	HeaderRequestID = "Galena-Request-Id" // ID for logs and cancellation
	HeaderRefused   = "Galena-Refused"    // reason why the server did not run the request
)

// Headers of uploads in parts. Digests use the format of RFC 9530; offsets and lengths are in bytes.
const (
	HeaderContentDigest = "Content-Digest"       // of one part
	HeaderReprDigest    = "Repr-Digest"          // of the whole batch, in the commit request
	HeaderUploadLength  = "Upload-Length"        // of the whole batch, in the commit request
	HeaderUploadOffset  = "Upload-Offset"        // confirmed offset, in responses
	HeaderUploadServer  = "Galena-Upload-Server" // server that stores the parts, for services not partitioned by key
)

// Reasons in HeaderRefused: the server did not run the request.
const (
	RefusedStaleToken = "stale-token"
	RefusedNotOwner   = "not-owner"
	RefusedDraining   = "draining"
	RefusedShedding   = "shedding"
	RefusedDeadline   = "deadline"
	RefusedIncomplete = "incomplete"      // commit of a batch with missing parts
	RefusedDigest     = "digest-mismatch" // digest of a part or a batch differs from the header
)

// Outcomes in HeaderOutcome and Refusal.Outcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// PathRoutes is the path on a control host's admin address at which operators read (GET) and
// replace (PUT) the route configuration, as YAML.
const PathRoutes = "/galena/v1/routes"

// PathEvacuations is the path on a control host's admin address at which operators read the evacuated failure domains
// (GET), as JSON. POST to PathEvacuations/DOMAIN/start or PathEvacuations/DOMAIN/end changes them.
const PathEvacuations = "/galena/v1/evacuations"

// PathFleetServers is the path on a control host's admin address at which operators read the backend servers that the leader
// knows (GET), as JSON.
const PathFleetServers = "/galena/v1/fleet/servers"

// Paths on entry hosts and backend servers.
const (
	PathAnnounce = "/galena/v1/servers/announce" // POST Announcement, answered by AnnouncementReply
	PathGrants   = "/galena/v1/servers/grants"   // GET ?name=&session=&after=&wait_ms=, answered by Grants
	PathProbe    = "/galena/v1/probe"            // GET on a backend server: 200 if it can serve requests
	PathServices = "/v1/services/"               // for clients: /v1/services/{service}/{path...}
	PathUploads  = "/uploads/"                   // on a backend server: uploads in parts
)
