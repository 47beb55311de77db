package several

import "time"

// Short is a plan of some seconds for mixers that gossip: a site is cut off from the others, and killed when it is back.
func Short() []Step {
	return []Step{
		See("*", "*", "here"), Served("*", 10),
		Cut("a", "!a"), See("a", "!a", "cut off"), See("!a", "a", "cut off"), Served("*", 10),
		Heal(), See("*", "*", "here"), Healthy("*"), Served("*", 5),
		KillSite("c"), See("!c", "c", "cut off"), Served("*", 10),
		StartSite("c"), See("*", "*", "here"), Healthy("c"), Served("*", 10),
	}
}

// Long is a plan of what else can happen to a site, one after the other.
func Long() []Step {
	return []Step{
		See("*", "*", "here"), Served("*", 10),
		// From one other site alone: they doubt each other again and again, and the third tells both that they live.
		Cut("a", "b"), Served("*", 10), See("*", "*", "here|doubted"), Heal(), See("*", "*", "here"),
		CutOneWay("b", "!b"), See("!b", "b", "cut off"), Served("a", 10), Heal(), See("*", "*", "here"),
		Wire("b", "c", Fault{Delay: 100 * time.Millisecond, Lose: 0.2, Repeat: 0.2, Reorder: 0.2}), Served("*", 10), Heal(),
		Stop("b"), See("!b", "b", "cut off"), Served("*", 10), Continue("b"), See("*", "*", "here"), Healthy("b"), Served("*", 5),
		Cut("a", "!a"), Restart("a-m0"), Restart("b-m1"), Served("*", 5), Heal(), See("*", "*", "here"), Healthy("*"),
		Tell("*", Mode{Silent: true}), Drain("a-s0"), Reset("*", "b-s*"), Served("*", 10), Tell("*", Mode{}), Served("*", 10),
	}
}
