package fleetdemo

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// buildProgram builds nettlefold as it stands.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "nettlefold")
	text, err := exec.Command("go", "build", "-o", program, "nettlefold/cmd/nettlefold").CombinedOutput()
	require.NoError(t, err, string(text))
	return program
}

// TestAFleetOfProcesses plays the demo with the program as it stands. What is judged are rules, not times.
func TestAFleetOfProcesses(t *testing.T) {
	var out bytes.Buffer
	err := Play(buildProgram(t), &out)
	t.Log(out.String())
	require.NoError(t, err)
}

// TestIsolationWithProcesses guards against WALL with processes: what a tenant's requests left at the engines before it was isolated served
// others afterwards.
func TestIsolationWithProcesses(t *testing.T) {
	var out bytes.Buffer
	err := PlayIsolation(buildProgram(t), &out)
	t.Log(out.String())
	require.NoError(t, err)
}

// TestASeededSoak plays two short soaks. The judge eases its times by what the machine was late by in the run, so that a busy one gives the
// same verdict.
func TestASeededSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "nettlefold")
	require.NoError(t, Build(program))
	for _, seed := range []uint64{2, 7} {
		var out bytes.Buffer
		err := Soak(program, SoakOptions{Seed: seed, Length: 20 * time.Second, Controllers: 3, Fronts: 3, Engine: 5, LongestCut: UsualCut}, &out)
		t.Log(out.String())
		require.NoError(t, err)
	}
}
