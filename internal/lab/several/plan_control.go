package several

import "time"

// Versions is a plan for control relays whose wires are sound: versions that are taken, refused and rejected, and mixers that
// come, go and stand still in the middle of them.
func Versions() []Step {
	return []Step{
		Followed("*", "*-r0"), InForce("*", "start"), Under("*", "start"), Served("*", 5),
		Give("a-r0", "first", Half(0.3)), InForce("*", "first"), Under("*", "first"),
		// The first tariff may not have longer than any had at the start. No relay knows that, each mixer does.
		Give("b-r0", "bad", Deadline(0, time.Hour)), Rejected("*", "bad", "Profiles.0.DeadlineMs", "3600000"),
		InForce("*", "first"), Under("*", "first"),
		Give("c-r0", "fixed", Document{Body: `{"FamilyInfo":{"Sets":7}}`}), Rejected("*", "fixed", "FamilyInfo.Sets", "7"),
		InForce("*", "first"), Under("*", "first"), GiveRefused("a-r0", Document{Body: `[1]`}, 400, "(document)"),
		GiveRefused("a-r0", Half(0.5), 409, "newest", "X-After", "1.1"),
		GiveByHand("c-r0", "next", Half(0.5)), InForce("*", "next"), Under("*", "next"), Served("*", 5),
		GiveMeanwhile("a-r0", "middle", Half(0.3), Restart("a-m0"), Hup("*-m1"), Kill("b-m0"), Start("b-m0")),
		Healthy("*"), InForce("*", "middle"), Under("*", "middle"), Agree(),
		// Two are given at once: all come to the same of them.
		GiveMeanwhile("a-r0", "left", Half(0.5), Give("c-r0", "right", Half(0.4))), Agree(),
		Give("b-r0", "last", Half(0.3)), InForce("*", "last"),
		Restart("a-m*"), Healthy("a"), InForce("*", "last"), Under("*", "last"), Served("*", 5),
		Stop("c-m0"), Give("b-r0", "unheard", Half(0.5)), InForce("*", "unheard"), Served("*", 24), // longer than the window
		Continue("c-m0"), InForce("*", "unheard"), Healthy("*"), Under("*", "unheard"), Agree(), Served("*", 5),
	}
}

// Cuts is a plan for control relays between which wires are cut.
func Cuts() []Step {
	return []Step{
		Followed("*", "*-r0"), Give("a-r0", "first", Half(0.3)), InForce("*", "first"), Under("*", "first"),
		// A region is cut off for longer than a session.
		Cut("a", "!a"), GiveToMinority("a-r0", Half(0.5)), Give("b-r0", "far", Half(0.5)), InForce("!a", "far"), InForce("a", "first"),
		Under("!a", "far"), Under("a", "first"), Served("*", 5), Heal(), Agree(), Under("*", "far"),
		// A control relay alone is cut off from the others and all mixers: its own go to another.
		Cut("b-r0", "!b-r0"), Followed("b", "!b"), GiveToMinority("b-r0", Half(0.3)), Give("c-r0", "without b", Half(0.3)),
		InForce("*", "without b"), Under("*", "without b"), Heal(), Agree(),
		// One is heard by nobody, and hears all.
		CutOneWay("c-r0", "!c-r0"), GiveToMinority("c-r0", Half(0.5)), Give("a-r0", "without c", Half(0.5)), InForce("*", "without c"),
		Heal(), Agree(), Under("*", "without c"),
		// One stands still.
		Stop("a-r0"), Followed("a", "!a"), Give("b-r0", "without a", Half(0.3)), InForce("*", "without a"), Continue("a-r0"), Agree(),
		Under("*", "without a"), Served("*", 5),
	}
}

// Losses is a plan for control relays that are killed, one in the middle of a change and then all.
func Losses() []Step {
	return []Step{
		Followed("*", "*-r0"), Give("a-r0", "first", Half(0.3)), InForce("*", "first"),
		// The first to hear of a change are its own mixers; it is killed before any other control relay has.
		Cut("a-r0", "*-r0"), GiveMeanwhile("a-r0", "middle", Half(0.5), Out("middle"), Kill("a-r0")), Reset("a-r0", "*"), Heal(),
		Followed("a", "!a"), Knows("*"), Give("b-r0", "after", Half(0.3)), InForce("*", "after"), Under("*", "after"),
		Start("a-r0"), Agree(), Restart("b-r0"), Agree(), Followed("*", "*-r0"), Served("*", 5),
		// All are lost, and come back with nothing, while mixers hold what was given before.
		Kill("*-r0"), Alone("*"), InForce("*", "after"), Under("*", "after"), Served("*", 10),
		Start("*-r0"), Followed("*", "*-r0"), InForce("*", "after"), Knows("*"),
		Give("c-r0", "anew", Half(0.5)), InForce("*", "anew"), Under("*", "anew"), Agree(),
		Give("b-r0", "epoch", Half(0.3), "X-New-Epoch", "yes"), InForce("*", "epoch"), Under("*", "epoch"), Agree(), Served("*", 5),
	}
}
