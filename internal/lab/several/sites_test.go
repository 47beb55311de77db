package several

import (
	"testing"
	"time"
)

// TestSitesAreJudged plays nine processes in three sites through what looks alike from one place, and has each mixer tell it
// apart. Waits are for what has to come; what must never come is looked for in the logs of the whole play.
func TestSitesAreJudged(t *testing.T) {
	begin := []Step{See("*", "*", "here"), Served("*", 5), Judged("*", "*", "sound", false), Settled()}
	back := []Step{See("*", "*", "here"), Healthy("*"), Judged("*", "*", "sound", false), Served("*", 5)}
	few := make(chan struct{}, 3) // worlds at a time: a machine has to run them
	for name, plan := range map[string][]Step{
		"killed": {
			KillSite("c"), Judged("!c", "c", "lost", true), Served("*", 10),
			StartSite("c"), Told("!c", "c", "returning", false), Never("*", "a", "", true), Never("*", "b", "", true),
		},
		"cut off": {
			Cut("a", "!a"), Judged("!a", "a", "lost", true), Judged("a", "!a", "we are cut off", false), Served("*", 10),
			Heal(), Told("!a", "a", "returning", false), Never("a", "!a", "", true), Never("*", "b", "", true), Never("*", "c", "", true),
		},
		"line cut": {
			Cut("a", "b"), Judged("a", "b", "line cut", false), Judged("b", "a", "line cut", false), Judged("c", "*", "sound", false),
			Served("*", 10), Heal(), Never("*", "*", "", true),
		},
		"stopped": {
			Stop("b"), Judged("!b", "b", "mixers gone", true), Served("*", 10), Continue("b"),
			Told("!b", "b", "returning", false), Never("*", "*", "lost", true), Never("b", "*", "", true), Never("*", "!b", "", true),
		},
		"searchers killed": {
			KillSearchers("c"), Judged("*", "c", "searchers gone", true), Served("*", 10),
			StartSearchers("c"), Told("*", "c", "returning", false), Never("*", "!c", "", true), Never("*", "c", "lost", true),
		},
		"list silent": {
			Tell("a", Mode{Silent: true}), Judged("a", "*", "list late", false), Judged("!a", "*", "sound", false), Served("*", 10),
			Tell("a", Mode{}), Never("*", "*", "", true),
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			few <- struct{}{}
			defer func() { <-few }()
			all := append(append(append([]Step{}, begin...), plan...), back...)
			if v := play(t, Setup{Fleet: true, ColdFor: 2 * time.Second, Limit: 2 * time.Minute}, all); len(v.Rules) > 0 {
				t.Errorf("%d rules are broken", len(v.Rules))
			}
		})
	}
}
