package fleetdemo

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAFleetOfProcesses plays the demo with the program as it stands. What is judged are rules, not times.
func TestAFleetOfProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "nettlefold")
	text, err := exec.Command("go", "build", "-o", program, "nettlefold/cmd/nettlefold").CombinedOutput()
	require.NoError(t, err, string(text))
	var out bytes.Buffer
	err = Play(program, &out)
	t.Log(out.String())
	require.NoError(t, err)
}
