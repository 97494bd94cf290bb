package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/membership"
)

// TestExamples validates every example file and checks that each group of the example deployments
// keeps a quorum after the loss of any one failure domain.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"da-nang", "botoaria-lusa"} {
		t.Run(deployment, func(t *testing.T) {
			dir := filepath.Join("..", "..", "examples", deployment)
			files, err := os.ReadDir(dir)
			if err != nil {
				t.Fatal(err)
			}
			counts := map[string]int{}
			for _, file := range files {
				kind, _, _ := strings.Cut(strings.TrimSuffix(file.Name(), ".yaml"), "-")
				counts[kind]++
				checkExample(t, kind, filepath.Join(dir, file.Name()))
			}
			if counts[KindEntry] != 8 || counts[KindControl] != 5 || counts[KindCtl] != 1 || len(counts) != 6 {
				t.Fatalf("files by kind: %v", counts)
			}
			checkQuorums(t, files, dir)
		})
	}
}

func checkExample(t *testing.T, kind, path string) {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	switch kind {
	case allowance.ListPlans:
		_, err = allowance.ParsePlans(content)
	case allowance.ListAllowances:
		_, err = allowance.ParseAllowances(content)
	default:
		err = Check(kind, path, false)
	}
	if err != nil {
		t.Error(err)
	}
}

func checkQuorums(t *testing.T, files []os.DirEntry, dir string) {
	t.Helper()
	var controls []settings.ControlHost
	for _, file := range files {
		if !strings.HasPrefix(file.Name(), KindControl+"-") {
			continue
		}
		s, err := load(filepath.Join(dir, file.Name()), KindControl, checkControl, func(settings.ControlSettings) []secretFile { return nil })
		if err != nil {
			t.Fatal(err)
		}
		if controls != nil && !slices.Equal(controls, s.Controls) {
			t.Errorf("%s lists different control hosts than the previous file", file.Name())
		}
		controls = s.Controls
	}
	domains := map[string]string{}
	var hosts []membership.Host
	for _, c := range controls {
		domains[c.Name] = c.Domain
		hosts = append(hosts, membership.Host{Name: c.Name, Region: c.Region, Domain: c.Domain})
	}
	for _, group := range membership.Plan(hosts) {
		lost := map[string]int{}
		for _, name := range group.Voters {
			lost[domains[name]]++
		}
		for domain, voters := range lost {
			if left := len(group.Voters) - voters; left <= len(group.Voters)/2 {
				t.Errorf("group %s keeps only %d of %d voters without failure domain %s", group.Name, left, len(group.Voters), domain)
			}
		}
	}
}
