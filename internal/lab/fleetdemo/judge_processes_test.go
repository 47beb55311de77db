package fleetdemo

import (
	"testing"
	"time"
)

// TestPlantedFaultsOfProcessesAreFound plants processes that break FAULT, and what looks like it and does not.
func TestPlantedFaultsOfProcessesAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	limits := limits{Grace: 3 * time.Second, Start: 5 * time.Second, Slack: 100 * time.Millisecond, Memory: 280 << 20}
	frozen := []machineTrouble{{span{at(2), at(4)}, 0, actFreeze}}
	for name, c := range map[string]struct {
		life   processLife
		fronts []machineTrouble
		rule   string // "" if none is broken
	}{
		"it runs":                           {processLife{Started: at(1), Listening: at(2)}, nil, ""},
		"its memory is within its limit":    {processLife{Started: at(1), Listening: at(2), PeakBytes: 280 << 20}, nil, ""},
		"its memory is over its limit":      {processLife{Started: at(1), Listening: at(2), PeakBytes: 280<<20 + 1}, nil, ruleFault},
		"it was ended for its memory":       {processLife{Started: at(1), Listening: at(2), PeakBytes: 300 << 20, OverMemory: at(3), Ended: at(3)}, nil, ruleFault},
		"it ended by itself":                {processLife{Started: at(1), Listening: at(2), Ended: at(9)}, nil, ruleFault},
		"it ended before it listened":       {processLife{Started: at(1), Ended: at(1.1)}, nil, ruleFault},
		"it ended by itself, killed later":  {processLife{Started: at(1), Listening: at(2), Ended: at(5), Killed: at(8)}, nil, ruleFault},
		"it ended by itself, told to later": {processLife{Started: at(1), Listening: at(2), Ended: at(5), Told: at(8), Killed: at(12)}, nil, ruleFault},
		"it was killed":                     {processLife{Started: at(1), Listening: at(2), Killed: at(8), Ended: at(8.1)}, nil, ""},
		"it doesn't listen":                 {processLife{Started: at(1)}, nil, ruleFault},
		"it doesn't listen yet":             {processLife{Started: at(15)}, nil, ""},
		"it listens too late":               {processLife{Started: at(1), Listening: at(6.2)}, nil, ruleFault},
		"it listens late, it was frozen":    {processLife{IP: frontIP(0), Started: at(1), Listening: at(8)}, frozen, ""},
		"it listens late beyond a freeze":   {processLife{IP: frontIP(0), Started: at(1), Listening: at(8.2)}, frozen, ruleFault},
		"another front was frozen":          {processLife{IP: frontIP(1), Started: at(1), Listening: at(8)}, frozen, ruleFault},
		"told to end before it listened":    {processLife{Started: at(1), Told: at(4), Ended: at(4.2)}, nil, ""},
		"killed before it listened":         {processLife{Started: at(1), Killed: at(4), Ended: at(4.2)}, nil, ""},
		"told to end too late for that":     {processLife{Started: at(1), Told: at(7), Ended: at(7.2)}, nil, ruleFault},
		"it ended in its grace":             {processLife{Started: at(1), Listening: at(2), Told: at(5), Ended: at(8)}, nil, ""},
		"it ended after its grace":          {processLife{Started: at(1), Listening: at(2), Told: at(5), Ended: at(8.2)}, nil, ruleFault},
		"it was killed after its grace":     {processLife{Started: at(1), Listening: at(2), Told: at(5), Killed: at(9), Ended: at(9)}, nil, ruleFault},
		"it was told to end and goes on":    {processLife{Started: at(1), Listening: at(2), Told: at(5)}, nil, ruleFault},
		"it was told to end a while ago":    {processLife{Started: at(1), Listening: at(2), Told: at(18)}, nil, ""},
		"told to end and killed soon after": {processLife{Started: at(1), Listening: at(2), Told: at(5), Killed: at(5.1), Ended: at(5.2)}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			requireRule(t, c.rule, &record{Processes: []processLife{c.life}, Fronts: c.fronts, Over: at(20), Limits: limits})
		})
	}
}
