package several

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the mixer's, built once for all tests.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "nettlefold-several-bin")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "nettlefold")
	if out, err := exec.Command("go", "build", "-o", program, "nettlefold/cmd/nettlefold").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

type logged struct{ t *testing.T }

func (l logged) Write(p []byte) (int, error) { l.t.Log(string(p[:len(p)-1])); return len(p), nil }

// play plays a plan and gives its verdict.
func play(t *testing.T, s Setup, plan []Step) Verdict {
	t.Helper()
	s.Program = program
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.Play(logged{t}, plan); err != nil {
		for _, m := range w.Mixers {
			t.Logf("%s:\n%s", m.Name, m.Log(800))
		}
		t.Fatal(err)
	}
	v := w.Finish()
	v.Print(logged{t})
	return v
}

// TestRulesHoldThroughFailures plays nine processes in three sites.
func TestRulesHoldThroughFailures(t *testing.T) {
	for name, plan := range map[string][]Step{"short": Short(), "long": Long()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if v := play(t, Setup{Fleet: true}, plan); len(v.Rules) > 0 {
				t.Errorf("%d rules are broken", len(v.Rules))
			}
		})
	}
}
