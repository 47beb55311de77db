package fleetdemo

import (
	"testing"
	"time"
)

func TestPlantedFaultsOfTalliesAreFound(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	limits := limits{Merge: 3 * time.Second, Slack: 50 * time.Millisecond}
	add := func(id string, by int64, controller int, sent float64, status int) tallyCall {
		return tallyCall{Tally: "t", ID: id, By: by, Controller: controller, Sent: at(sent), End: at(sent + 0.1), Status: status}
	}
	read := func(total int64, controller int, sent float64, status int) tallyCall {
		return tallyCall{Read: true, Tally: "t", Total: total, Controller: controller, Sent: at(sent), End: at(sent + 0.1), Status: status}
	}
	restarted := func(controller int, from, to float64) []machineTrouble {
		return []machineTrouble{{span{at(from), at(to)}, controller, actKillCore}}
	}
	inCore := func(from, to float64) []cutTrouble {
		return []cutTrouble{{span{at(from), at(to)}, between([]string{controllerIP(0)}, []string{controllerIP(1)})}}
	}
	atFront := []cutTrouble{{span{at(4), at(5)}, between([]string{controllerIP(0)}, []string{frontIP(1)})}}
	two := []tallyCall{add("a", 4, 0, 1, 200), add("b", 3, 1, 1, 200)}
	with := func(more ...tallyCall) []tallyCall { return append(two[:2:2], more...) }
	for name, c := range map[string]struct {
		record record
		rule   string // "" if none is broken
	}{
		"all is there":                           {record{Tallies: with(read(7, 0, 6, 200))}, ""},
		"counted twice":                          {record{Tallies: with(add("a", 4, 1, 2, 200), read(11, 0, 6, 200))}, ruleTwice},
		"repeated and counted once":              {record{Tallies: with(add("a", 4, 1, 2, 200), read(7, 0, 6, 200))}, ""},
		"a refused add counted":                  {record{Tallies: with(add("c", 2, 0, 2, 503), read(9, 0, 6, 200))}, ruleTwice},
		"an unclear add counted":                 {record{Tallies: with(add("c", 2, 0, 2, 504), read(9, 0, 6, 200))}, ""},
		"an add without an answer counted":       {record{Tallies: with(add("c", 2, 0, 2, 0), read(9, 0, 6, 200))}, ""},
		"refused, then unclear":                  {record{Tallies: with(add("c", 2, 0, 2, 503), add("c", 2, 1, 3, 504), read(9, 0, 6, 200))}, ""},
		"an add counted before it was sent":      {record{Tallies: with(add("c", 2, 0, 7, 200), read(9, 0, 6, 200))}, ruleTwice},
		"an unclear add not counted":             {record{Tallies: with(add("c", 2, 0, 2, 504), read(7, 0, 6, 200))}, ""},
		"its own add is missing":                 {record{Tallies: with(read(3, 0, 1.5, 200))}, ruleStale},
		"its own add, not acknowledged by then":  {record{Tallies: with(read(3, 0, 1.05, 200))}, ""},
		"its own add, of a life before":          {record{Tallies: with(read(3, 0, 3, 200)), Cores: restarted(0, 1.5, 2)}, ""},
		"its own add, another restarted":         {record{Tallies: with(read(3, 0, 3, 200)), Cores: restarted(1, 1.5, 2)}, ruleStale},
		"another's add, soon":                    {record{Tallies: with(read(4, 0, 3, 200))}, ""},
		"another's add, after a merge":           {record{Tallies: with(read(4, 0, 4.3, 200))}, ruleStale},
		"another's add, after a cut":             {record{Tallies: with(read(4, 0, 6, 200)), Cuts: inCore(2, 4)}, ""},
		"another's add, long after a cut":        {record{Tallies: with(read(4, 0, 7.2, 200)), Cuts: inCore(2, 4)}, ruleStale},
		"another's add, a front cut off":         {record{Tallies: with(read(4, 0, 6, 200)), Cuts: atFront}, ruleStale},
		"another's add, after a restart":         {record{Tallies: with(read(4, 0, 6, 200)), Cores: restarted(0, 2, 4)}, ""},
		"another's add, long after a restart":    {record{Tallies: with(read(4, 0, 7.2, 200)), Cores: restarted(0, 2, 4)}, ruleStale},
		"a read that is refused":                 {record{Tallies: with(read(0, 0, 6, 503))}, ""},
		"lost at the end":                        {record{Tallies: with(read(4, 0, 6, 200)), Cuts: inCore(2, 5), Controllers: 1, Quiet: at(5.9)}, ruleLost},
		"whole at the end":                       {record{Tallies: with(read(7, 0, 6, 200)), Controllers: 1, Quiet: at(5.9)}, ""},
		"a refused add is not owed at the end":   {record{Tallies: with(add("c", 2, 0, 2, 503), read(7, 0, 6, 200)), Controllers: 1, Quiet: at(5.9)}, ""},
		"not readable at the end":                {record{Tallies: with(read(0, 0, 6, 503)), Controllers: 1, Quiet: at(5.9)}, ruleLost},
		"readable at the end, after refusals":    {record{Tallies: with(read(0, 0, 6, 503), read(7, 0, 7, 200)), Controllers: 1, Quiet: at(5.9)}, ""},
		"read before, and not readable later on": {record{Tallies: with(read(7, 0, 5, 200), read(0, 0, 6, 503)), Controllers: 1, Quiet: at(5.9)}, ruleLost},
	} {
		t.Run(name, func(t *testing.T) {
			c.record.Limits = limits
			requireRule(t, c.rule, &c.record)
		})
	}
}
