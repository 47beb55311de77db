package pairs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const site = `name = "s"

[[day]]
name = "quiet-1"
faults = []

[[day]]
name = "scale-1"
seed = 7
closing = { kind = "kill_all" }
one = 0.8
plan = [
  { at = 1.0, kind = "config_change" },
]
faults = [
  { at = 2.0, kind = "srv_grey" },
]
traffic = [
  { zone = "a", per_s = 1.0 },
]

[[day]]
name = "scale-2"
`

func TestACalmDayHasTheTrafficAlone(t *testing.T) {
	day, err := calmDay(site)
	require.NoError(t, err)
	require.Equal(t, "[[day]]\nname = \"calm\"\nseed = 7\none = 0.8\ntraffic = [\n  { zone = \"a\", per_s = 1.0 },\n]\n\n", day)
}

func TestASiteWithoutTheDayIsRefused(t *testing.T) {
	_, err := calmDay("[[day]]\nname = \"quiet-1\"\n")
	require.ErrorContains(t, err, "scale-1")
}

func TestATrialBuildNamesItsSwitches(t *testing.T) {
	line, err := trialBuild(`build = "go build -ldflags=-linkmode=external -o target/ ./cmd/..."`, Variant{"x", "copy-price"})
	require.NoError(t, err)
	require.Contains(t, line, "-tags trial -ldflags='-linkmode=external -X nettlefold/internal/trial.switches=copy-price' -o target/")
	_, err = trialBuild(`build = "make"`, Variant{})
	require.Error(t, err)
}

func TestAFolderIsOfOneProgram(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, (&sources{digest: "a"}).claim(folder))
	require.NoError(t, (&sources{digest: "a"}).claim(folder))
	require.ErrorContains(t, (&sources{digest: "b"}).claim(folder), "other sources")
}

func play(variant, day string, seed int, worth float64) Play {
	return Play{Variant: Variant{Name: variant}, Site: "s", Day: day, Seed: seed, Result: Result{Worth: worth}}
}

func TestDifferencesArePairedBySeed(t *testing.T) {
	plays := []Play{
		play("all", "calm", 1, 0.70), play("all", "calm", 2, 0.60), play("all", "scale-1", 1, 0.50),
		play("x", "calm", 2, 0.55), play("x", "calm", 1, 0.67), play("x", "scale-1", 1, 0.52), play("x", "scale-1", 9, 0),
	}
	found := map[string]Difference{}
	for _, d := range Differences(plays) {
		found[d.Day] = d
	}
	require.InDelta(t, 0.04, found["calm"].Mean, 1e-9)
	require.InDelta(t, 0.0141, found["calm"].Spread, 1e-4)
	require.InDelta(t, -0.02, found["scale-1"].Mean, 1e-9)
	require.Equal(t, 3, found[""].Pairs, "a seed that the baseline did not play counts for nothing")
	require.InDelta(t, 0.02, found[""].Mean, 1e-9)
	require.InDelta(t, 0.05, found[""].Most, 1e-9)

	var table strings.Builder
	WriteTable(&table, plays, "calm")
	require.Contains(t, table.String(), "| x | +0.040 (0.014) n=2 |")
}

func TestBrokenRulesAreNamed(t *testing.T) {
	fault := "slow"
	var text strings.Builder
	plays := []Play{{Result: Result{Rules: []byte(`{}`)}}, {Day: "d", Result: Result{Rules: []byte(`{"ONE": 1}`), Fault: &fault}}}
	require.Equal(t, 1, WriteBroken(&text, plays))
	require.Contains(t, text.String(), `{"ONE": 1} fault slow`)
}
