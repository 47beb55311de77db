package fleetdemo

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// buildDirectory holds the builds of nettlefold that the tests share.
var buildDirectory string

// TestMain runs the tests with a directory for builds.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) (status int) {
	directory, err := os.MkdirTemp("", "fleetdemo")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	buildDirectory = directory
	return m.Run()
}

// buildOnce builds nettlefold as it stands, once for all tests.
var buildOnce = sync.OnceValues(func() (program string, err error) {
	program = filepath.Join(buildDirectory, "nettlefold")
	if text, err := exec.Command("go", "build", "-o", program, programPackage).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of the program: %w: %s", err, text)
	}
	return program, nil
})

// buildProgram returns a build of nettlefold as it stands.
func buildProgram(t *testing.T) string {
	t.Helper()
	program, err := buildOnce()
	require.NoError(t, err)
	return program
}

// buildRelayedOnce builds the program that a soak plays, once for all tests.
var buildRelayedOnce = sync.OnceValues(func() (program string, err error) {
	program = filepath.Join(buildDirectory, "nettlefold-relayed")
	return program, Build(program)
})

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

// TestStreamsEndedInAllWays guards against ORDER with processes: an answer that was cut looked complete, or had bytes of two runs.
func TestStreamsEndedInAllWays(t *testing.T) {
	var out bytes.Buffer
	err := PlayStreams(buildProgram(t), StreamOptions{Seed: 3, Streams: 300, Clients: 40}, &out)
	t.Log(out.String())
	require.NoError(t, err)
}

// TestASeededSoak plays two short soaks. The judge eases its times by what the machine was late by in the run, so that a busy one gives the
// same verdict.
func TestASeededSoak(t *testing.T) {
	program := buildForSoak(t)
	for _, seed := range []uint64{2, 7} {
		playSoak(t, program, seed, 20*time.Second)
	}
}

// TestASoakWithAnOutage guards against the loss of acknowledged adds to tallies (LOST): controllers are killed and soon back, and the one
// that serves meanwhile loses its disk.
func TestASoakWithAnOutage(t *testing.T) {
	const (
		seed   = 814
		length = 15 * time.Second
	)
	require.True(t, slices.ContainsFunc(makePlan(seed, length, soakSize, UsualCut), func(a act) bool { return a.Kind == actOutage }))
	playSoak(t, buildForSoak(t), seed, length)
}

// buildForSoak builds the program that a soak plays.
func buildForSoak(t *testing.T) string {
	t.Helper()
	program, err := buildRelayedOnce()
	require.NoError(t, err)
	return program
}

// soakSize is the size of the soaks in CI.
var soakSize = size{controllers: 3, fronts: 3, engines: 5}

// playSoak plays a soak and requires that its judge finds nothing.
func playSoak(t *testing.T, program string, seed uint64, length time.Duration) {
	t.Helper()
	var out bytes.Buffer
	err := Soak(program, SoakOptions{
		Seed: seed, Length: length, Controllers: soakSize.controllers, Fronts: soakSize.fronts, Engine: soakSize.engines, LongestCut: UsualCut,
	}, &out)
	t.Log(out.String())
	require.NoError(t, err)
}
