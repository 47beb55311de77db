package several

import "time"

// Short is a plan of a few seconds: a site is cut off from the others, and killed when it is back.
func Short() []Step {
	return []Step{
		Served("*", 10),
		Cut("a", "!a"), Served("*", 10),
		Heal(), Healthy("*"), Served("*", 5),
		KillSite("c"), Served("*", 10),
		StartSite("c"), Healthy("c"), Served("*", 10),
	}
}

// Long is a plan of what else can happen to a site, one after the other.
func Long() []Step {
	return []Step{
		Served("*", 10),
		Cut("a", "b"), Served("*", 10), Heal(), // from one other site alone
		CutOneWay("b", "!b"), Served("a", 10), Heal(),
		Wire("b", "c", Fault{Delay: 200 * time.Millisecond, Lose: 0.2, Repeat: 0.2, Reorder: 0.2}), Served("*", 10), Heal(),
		KillSite("c"), Served("*", 10), StartSite("c"), Healthy("c"), Served("*", 5),
		Stop("b"), Served("*", 10), Continue("b"), Healthy("b"), Served("*", 5),
		Cut("a", "!a"), Restart("a-m0"), Restart("b-m1"), Served("*", 5), Heal(), Healthy("*"),
		Tell("*", Mode{Silent: true}), Drain("a-s0"), Reset("*", "b-s*"), Served("*", 10), Tell("*", Mode{}), Served("*", 10),
	}
}
