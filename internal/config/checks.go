package config

import (
	"fmt"

	"github.com/galenalug/galenalug/internal/settings"
)

// secretFile is a setting whose value is the path of a file with a credential.
type secretFile struct{ setting, path string }

func entrySecrets(s settings.EntrySettings) []secretFile {
	files := []secretFile{
		{"peer_secret_file", s.PeerSecretFile},
		{"server_secret_file", s.ServerSecretFile},
	}
	if s.OperatorSecretFile != nil && *s.OperatorSecretFile != "" {
		files = append(files, secretFile{"operator_secret_file", *s.OperatorSecretFile})
	}
	return files
}

func controlSecrets(s settings.ControlSettings) []secretFile {
	return []secretFile{
		{"peer_secret_file", s.PeerSecretFile},
		{"operator_secret_file", s.OperatorSecretFile},
	}
}

func backendSecrets(s settings.BackendSettings) []secretFile {
	return []secretFile{{"server_secret_file", s.ServerSecretFile}}
}

func ctlSecrets(s settings.CtlSettings) []secretFile {
	return optionalSecret("operator_secret_file", s.OperatorSecretFile)
}

func optionalSecret(setting string, file *string) []secretFile {
	if file == nil {
		return nil
	}
	return []secretFile{{setting, *file}}
}

func checkSecrets(files []secretFile) []Problem {
	var problems []Problem
	for _, file := range files {
		if _, err := ReadSecret(file.path); err != nil {
			problems = append(problems, Problem{file.setting, oneLine(err)})
		}
	}
	return problems
}

func checkEntry(s settings.EntrySettings) []Problem {
	problems := checkControlHosts(s.Controls)
	problems = append(problems, checkListeners("listen", s.Listen, s.AdminListen)...)
	if s.DeadlineMs > s.MaxDeadlineMs {
		problems = append(problems, Problem{"deadline_ms", fmt.Sprintf("is %d; must be at most max_deadline_ms, %d", s.DeadlineMs, s.MaxDeadlineMs)})
	}
	return problems
}

func checkControl(s settings.ControlSettings) []Problem {
	problems := checkControlHosts(s.Controls)
	problems = append(problems, checkListeners("peer_listen", s.PeerListen, s.AdminListen)...)
	if !hasHostNamed(s.Controls, s.Name) {
		problems = append(problems, Problem{"name", fmt.Sprintf("is %q; must be the name of one of controls", s.Name)})
	}
	if s.RaftElectionMs < 2*s.RaftHeartbeatMs {
		problems = append(problems, Problem{"raft_election_ms", fmt.Sprintf("is %d; must be at least twice raft_heartbeat_ms, %d", s.RaftElectionMs, s.RaftHeartbeatMs)})
	}
	return problems
}

func checkBackend(s settings.BackendSettings) []Problem {
	return checkDistinct("entries", s.Entries)
}

func checkCtl(s settings.CtlSettings) []Problem {
	problems := checkSecretOrOpen("operator_secret_file", s.OpenNetwork, s.OperatorSecretFile)
	problems = append(problems, checkDistinct("controls", s.Controls)...)
	return append(problems, checkDistinct("entries", s.Entries)...)
}

func hasHostNamed(hosts []settings.ControlHost, name string) bool {
	for _, host := range hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}

func checkControlHosts(hosts []settings.ControlHost) []Problem {
	names := make([]string, 0, len(hosts))
	addresses := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.Name)
		addresses = append(addresses, host.Address)
	}
	return append(checkDistinct("controls", names), checkDistinct("controls", addresses)...)
}

// checkListeners refuses equal addresses, except with port 0, for which the system assigns a free
// port to each listener.
func checkListeners(setting, listen, admin string) []Problem {
	if listen != admin || hasPortZero(listen) {
		return nil
	}
	return []Problem{{"admin_listen", fmt.Sprintf("is %s; must differ from %s", admin, setting)}}
}

func hasPortZero(address string) bool {
	return len(address) > 2 && address[len(address)-2:] == ":0"
}

func checkDistinct(setting string, values []string) []Problem {
	seen := map[string]bool{}
	for _, value := range values {
		if seen[value] {
			return []Problem{{setting, fmt.Sprintf("holds %q twice; names and addresses must be distinct", value)}}
		}
		seen[value] = true
	}
	return nil
}
