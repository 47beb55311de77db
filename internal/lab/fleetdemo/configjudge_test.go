package fleetdemo

import (
	"bytes"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
)

// TestConfigJudgeFindsPlantedFaults plants faults of CONFIG into a record, and beside each what looks like it and is none.
func TestConfigJudgeFindsPlantedFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	version := func(number, base int64, service string, sent, acked float64) sentConfig {
		c := modelledConfig{Version: number, Routes: []configRoute{{Place: 0, Service: service, Timeout: leastTimeout}}}
		s := sentConfig{Config: c, Text: c.text(), Base: base, Sent: at(sent)}
		if acked > 0 {
			s.Acked = at(acked)
		}
		return s
	}
	ask := func(sent float64, answer probeAnswer) probe {
		return probe{Place: 0, Sent: at(sent), End: at(sent + 0.01), Answer: answer}
	}
	red, green := probeAnswer{Status: 200, Service: "red"}, probeAnswer{Status: 200, Service: "green"}
	blue, missing := probeAnswer{Status: 200, Service: "blue"}, probeAnswer{Status: 404}
	both := []sentConfig{version(1, 0, "red", 0, 1), version(3, 1, "green", 10, 10.5)}
	lost := version(4, 1, "blue", 10, 0)
	lost.Lost = true
	restart := []machineTrouble{{span{at(14), at(15)}, 0, "killed"}}
	freeze := []machineTrouble{{span{at(14), at(15)}, 0, troubleFrozen}}
	for name, c := range map[string]struct {
		record configRecord
		found  bool
	}{
		"old service too long":         {configRecord{Sent: both, Probes: []probe{ask(13, red)}}, true},
		"old service in time":          {configRecord{Sent: both, Probes: []probe{ask(12, red)}}, false},
		"beside trouble of the core":   {configRecord{Sent: both, Probes: []probe{ask(13, red)}, Cores: []machineTrouble{{span{at(9), at(10)}, 0, "killed"}}}, false},
		"long after it":                {configRecord{Sent: both, Probes: []probe{ask(18, red)}, Cores: []machineTrouble{{span{at(9), at(10)}, 0, "killed"}}}, true},
		"out of touch":                 {configRecord{Sent: both, Probes: []probe{ask(13, red)}, Fronts: []machineTrouble{{span{at(11), at(12)}, 0, troubleFrozen}}}, false},
		"another front out of touch":   {configRecord{Sent: both, Probes: []probe{ask(13, red)}, Fronts: []machineTrouble{{span{at(11), at(12)}, 1, troubleFrozen}}}, true},
		"a route is refused":           {configRecord{Sent: both, Probes: []probe{ask(13, missing)}}, true},
		"a service that none allows":   {configRecord{Sent: both, Probes: []probe{ask(11, blue)}}, true},
		"one that lost a race":         {configRecord{Sent: append(both[:2:2], lost), Probes: []probe{ask(11, blue)}}, true},
		"one that is unclear":          {configRecord{Sent: append(both[:2:2], version(4, 3, "blue", 10.8, 0)), Probes: []probe{ask(11, blue)}}, false},
		"sent before it was served":    {configRecord{Sent: both, Probes: []probe{ask(9, green)}}, true},
		"back within a life":           {configRecord{Sent: both, Probes: []probe{ask(10.1, green), ask(11, red)}}, true},
		"back at once":                 {configRecord{Sent: both, Probes: []probe{ask(10.1, green), ask(10.2, red)}}, false},
		"back after a freeze":          {configRecord{Sent: both, Probes: []probe{ask(13.5, green), ask(15.5, red)}, Fronts: freeze}, true},
		"a new life begins older":      {configRecord{Sent: both, Probes: []probe{ask(13.5, green), ask(15.5, red)}, Fronts: restart}, true},
		"the old life ends":            {configRecord{Sent: both, Probes: []probe{ask(13.5, green), ask(14.5, red)}, Fronts: restart}, false},
		"a refusal says nothing":       {configRecord{Sent: both, Probes: []probe{ask(13, probeAnswer{Status: 503})}}, false},
		"an old read":                  {configRecord{Sent: both, Reads: []readBack{{0, at(10.6), at(10.7), both[0].Text}}}, true},
		"a read meanwhile":             {configRecord{Sent: both, Reads: []readBack{{0, at(10.4), at(10.7), both[0].Text}}}, false},
		"a read of something else":     {configRecord{Sent: both, Reads: []readBack{{0, at(10.6), at(10.7), "{}"}}}, true},
		"a read of one that lost":      {configRecord{Sent: append(both[:2:2], lost), Reads: []readBack{{0, at(10.1), at(10.2), lost.Text}}}, true},
		"two on one base acknowledged": {configRecord{Sent: append(both[:2:2], version(5, 1, "blue", 10, 11))}, true},
		"an invalid one":               {configRecord{Sent: both, Invalid: []string{"no weight"}}, true},
		"an acknowledged one refused":  {configRecord{Sent: both, Refused: []string{"3"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := c.record
			r.Apply, r.Contact, r.Skew, r.Rollback, r.Slack = configApplyLimit, configContact, configSkew, configRollback, minSlack
			require.Equal(t, c.found, len(judgeConfigurations(&r)) > 0, "%v", judgeConfigurations(&r))
		})
	}
}

// TestModelledConfigsAreValid checks that what the play's operator draws as valid is accepted, routes requests as the
// model says, and that each change that is meant to make it invalid is refused.
func TestModelledConfigsAreValid(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	before := firstModelledConfig()
	for range 400 {
		next := nextConfig(random, &before, false)
		doc, err := config.Parse([]byte(next.text()))
		require.NoError(t, err)
		table := config.Compile(doc)
		for at := range places {
			route := table.Route(places[at].RequestHost, places[at].Path)
			want := next.routeOf(at)
			require.Equal(t, want == nil, route == nil, "%+v of %s", places[at], next.text())
			if want != nil {
				require.Equal(t, places[want.Place].Prefix, route.PathPrefix)
			}
		}
		invalid := invalidChanges[random.IntN(len(invalidChanges))]
		doc, err = config.Parse([]byte(invalid.change(next.text(), &before)))
		require.True(t, err != nil || doc.Version <= before.Version, "%s: %s", invalid.name, next.text())
		before = next
	}
}

// TestConfigurationsWithProcesses guards against CONFIG with real processes: a configuration late, older, invalid or
// not served, beside troubles drawn from a seed and a final fault. Seed 22 is that of an agent that began with an
// old configuration after the tail's disk was lost.
func TestConfigurationsWithProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "nettlefold")
	require.NoError(t, Build(program))
	for _, seed := range []uint64{3, 22} {
		var out bytes.Buffer
		err := PlayConfigurations(program, ConfigOptions{Seed: seed, Length: 12 * time.Second, Controllers: 3, Fronts: 3, LeastGap: 200 * time.Millisecond}, &out)
		t.Log(out.String())
		require.NoError(t, err)
	}
}
