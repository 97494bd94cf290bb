package config

import (
	"fmt"

	"github.com/galenalug/galenalug/internal/settings"
)

func gatewaySecrets(s settings.GatewaySettings) []secretFile {
	return optionalSecret("peer_secret_file", s.PeerSecretFile)
}

func fleetSecrets(s settings.FleetSettings) []secretFile {
	files := optionalSecret("peer_secret_file", s.PeerSecretFile)
	return append(files, optionalSecret("operator_secret_file", s.OperatorSecretFile)...)
}

func checkGateway(s settings.GatewaySettings) []Problem {
	problems := checkSecretOrOpen("peer_secret_file", s.OpenNetwork, s.PeerSecretFile)
	if _, known := s.Domains[s.Domain]; !known {
		problems = append(problems, Problem{"domains", "does not name the region of domain " + s.Domain})
	}
	return append(problems, checkListeners("listen", s.Listen, s.ReadyListen)...)
}

func checkFleet(s settings.FleetSettings) []Problem {
	problems := checkSecretOrOpen("peer_secret_file", s.OpenNetwork, s.PeerSecretFile)
	if s.RaftHeartbeatMs >= s.ElectionMs {
		problems = append(problems, Problem{"raft_heartbeat_ms", fmt.Sprintf("is %d; must be below election_ms, %d", s.RaftHeartbeatMs, s.ElectionMs)})
	}
	switch {
	case s.EvacuateMs == 0:
	case len(s.Domains) == 0:
		problems = append(problems, Problem{"domains", "must be set, since evacuate_ms is"})
	case s.EvacuateMs < s.ConfigApplyMs:
		problems = append(problems, Problem{"evacuate_ms", fmt.Sprintf("is %v; must be 0 or at least config_apply_ms, %v", s.EvacuateMs, s.ConfigApplyMs)})
	}
	return problems
}

// checkSecretOrOpen requires either a secret file or open_network, and refuses both together.
func checkSecretOrOpen(setting string, open bool, file *string) []Problem {
	if open == (file != nil) {
		return []Problem{{setting, "must be set, or open_network must be true, but not both"}}
	}
	return nil
}
