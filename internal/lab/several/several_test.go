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

func TestFailures(t *testing.T) {
	v := play(t, Setup{}, []Step{
		Served("*", 20),
		Cut("a", "b"), Cut("a", "c"), Served("*", 20),
		Heal(), Served("*", 10),
		CutOneWay("a", "b"), Served("*", 10), Heal(),
		KillSite("c"), Served("*", 10), StartSite("c"), Healthy("c"), Served("*", 10),
		Stop("b"), Served("*", 10), Continue("b"), Healthy("b"), Served("*", 10),
		Cut("a", "*"), Restart("a-m0"), Restart("b-m1"), Heal(), Healthy("*"), Served("*", 10),
	})
	if len(v.Rules) > 0 {
		t.Error("a rule is broken")
	}
}
