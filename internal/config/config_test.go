package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/internal/settings"
)

// TestFiles runs the scripts in testdata. The command check validates a file of the given kind;
// backend prints the decoded settings with the defaults applied.
func TestFiles(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			dir := t.TempDir()
			file := filepath.Join(dir, "settings.yaml")
			if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			switch d.Cmd {
			case "check":
				var kind string
				d.ScanArgs(t, "kind", &kind)
				return report(dir, Check(kind, file, d.HasArg("secrets")))
			case "backend":
				loaded, problems := decode[settings.BackendSettings]([]byte(d.Input), KindBackend)
				if len(problems) > 0 {
					t.Fatal(problems)
				}
				encoded, err := json.Marshal(loaded)
				if err != nil {
					t.Fatal(err)
				}
				return string(encoded) + "\n"
			default:
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}

func report(dir string, err error) string {
	if err == nil {
		return "ok\n"
	}
	return strings.ReplaceAll(err.Error(), dir+"/", "") + "\n"
}

func TestReadSecret(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	for content, ok := range map[string]bool{"0123456789abcdef\n": true, "0123456789abcde \n": false} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		secret, err := ReadSecret(file)
		if ok != (err == nil) || (ok && len(secret) != minSecretBytes) {
			t.Fatalf("content %q: %q, %v", content, secret, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("controls: [127.0.0.1:1]\noperator_secret_file: x\n"))
	f.Add([]byte("? [a]\n: 1\n"))
	f.Add([]byte("controls: &a [*a]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		loaded, problems := decode[settings.CtlSettings](content, KindCtl)
		if len(problems) == 0 && (len(loaded.Controls) == 0 || loaded.TimeoutMs < 1) {
			t.Fatalf("accepted %q as %+v", content, loaded)
		}
	})
}
