package fleetdemo

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Packages whose files are exchanged in a relayed build.
const (
	programPackage = "nettlefold/cmd/nettlefold"
	rpcPackage     = "nettlefold/internal/rpc"
	relayedPackage = "nettlefold/internal/lab/fleetdemo/relayed"
	networkFile    = "network.go"
)

// Variables by which a process of a relayed build finds its relay, as the relayed package reads them.
const (
	relayVariable   = "NETTLEFOLD_SOAK_RELAY"
	machineVariable = "NETTLEFOLD_SOAK_MACHINE"
)

// Build builds nettlefold from the sources around the working directory into a file, with connections between machines that a soak can cut.
func Build(program string) error {
	original, err := packageFolder(rpcPackage)
	if err != nil {
		return err
	}
	relayed, err := packageFolder(relayedPackage)
	if err != nil {
		return err
	}
	overlay, err := json.Marshal(map[string]map[string]string{
		"Replace": {filepath.Join(original, networkFile): filepath.Join(relayed, networkFile)},
	})
	if err != nil {
		return err
	}
	file := program + ".overlay.json"
	if err := os.WriteFile(file, overlay, 0o644); err != nil {
		return err
	}
	defer os.Remove(file)
	if text, err := exec.Command("go", "build", "-overlay", file, "-o", program, programPackage).CombinedOutput(); err != nil {
		return fmt.Errorf("build of the relayed program: %w: %s", err, text)
	}
	return nil
}

func packageFolder(name string) (string, error) {
	text, err := exec.Command("go", "list", "-f", "{{.Dir}}", name).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("folder of %s: %w: %s", name, err, text)
	}
	return strings.TrimSpace(string(text)), nil
}
