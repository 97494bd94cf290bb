package config

import "github.com/galenalug/galenalug/internal/settings"

func gatewaySecrets(s settings.GatewaySettings) []secretFile { return peerSecrets(s.PeerSecretFile) }

func fleetSecrets(s settings.FleetSettings) []secretFile { return peerSecrets(s.PeerSecretFile) }

func peerSecrets(file *string) []secretFile {
	if file == nil {
		return nil
	}
	return []secretFile{{"peer_secret_file", *file}}
}

func checkGateway(s settings.GatewaySettings) []Problem {
	problems := checkPeerSecret(s.OpenNetwork, s.PeerSecretFile)
	if _, known := s.Domains[s.Domain]; !known {
		problems = append(problems, Problem{"domains", "does not name the region of domain " + s.Domain})
	}
	return append(problems, checkListeners("listen", s.Listen, s.ReadyListen)...)
}

func checkFleet(s settings.FleetSettings) []Problem {
	problems := checkPeerSecret(s.OpenNetwork, s.PeerSecretFile)
	if s.RaftHeartbeatMs >= s.ElectionMs {
		problems = append(problems, Problem{"raft_heartbeat_ms", "must be below election_ms"})
	}
	return problems
}

// checkPeerSecret asks for a secret, or for the word that none is needed.
func checkPeerSecret(open bool, file *string) []Problem {
	if open == (file != nil) {
		return []Problem{{"peer_secret_file", "must be set, or open_network must be true, but not both"}}
	}
	return nil
}
