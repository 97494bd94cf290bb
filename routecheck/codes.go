package routecheck

// Code names the rule behind a finding. Codes are stable; those of invalid configurations are the codes of package routes.
type Code string

// Codes of errors, besides those of package routes.
const (
	CodeInvalidFile     Code = "invalid-file" // the file can't be read, is not YAML, or has other settings than a configuration
	CodeVersionNotAbove Code = "version-not-above"
	CodeBaseNotInForce  Code = "base-not-in-force"
)

// Codes of warnings.
const (
	CodeNotCompared            Code = "not-compared"
	CodeUnreachablePrefix      Code = "unreachable-prefix"
	CodeUnreachableHost        Code = "unreachable-host"
	CodeZeroWeight             Code = "zero-weight"
	CodeServiceUnused          Code = "service-unused"
	CodeServiceZeroWeight      Code = "service-zero-weight"
	CodeServiceWithoutServer   Code = "service-without-server"
	CodeTargetAboveTimeout     Code = "target-above-timeout"
	CodeTimeoutAboveClientWait Code = "timeout-above-client-wait"
	CodeAttemptsAboveServers   Code = "attempts-above-servers"
	CodeAttemptsWithOneServer  Code = "attempts-with-one-server"
	CodeRegionWithoutServer    Code = "region-without-server"
	CodeNoCommonRegion         Code = "no-common-region"
	CodeWarmupRateWithoutTime  Code = "warmup-rate-without-time"
	CodeWarmupTimeWithoutRate  Code = "warmup-time-without-rate"
	CodeBodyLimitAboveMemory   Code = "body-limit-above-memory"
	CodeHeaderLimitAboveMemory Code = "header-limit-above-memory"
	CodeHeaderTimeoutAboveIdle Code = "header-timeout-above-idle"
	CodeConnectionsBelowSlots  Code = "connections-below-slots"
)

// Codes of hints.
const (
	CodeAlreadyInForce      Code = "already-in-force"
	CodeRepeatsGeneralRoute Code = "repeats-general-route"
)
