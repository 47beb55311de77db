package capacity

import "math"

// Laws of what mixers share, of the last long run: on two cores, beside other work. n are members where nothing else is said.
var (
	exchangeBytes  = Law{Affine, 192, 212, 0}       // B of an exchange of the roster, both ways
	hearsayBytes   = Law{Affine, 6945, 50, 0}       // B of half an exchange of 64 members, by lives that said goodbye
	exchangeTime   = Law{Power, 1.419e-5, 0.873, 0} // s of processor time of an exchange
	rosterHeld     = Law{Affine, 1.38e5, 637, 0}    // B of heap and stacks
	rosterCore     = Law{Power, 2.753e-3, 0.201, 0} // of a core without news and exchanges; the hub's part is in it
	lifeBytes      = Law{Flat, 100, 0, 0}           // B of a life told on
	restartNews    = Law{Flat, 11, 0, 0}            // messages of one restart by one mixer, over ceil(log10(members+1))
	restartBytes   = Law{Flat, 810, 0, 0}           // B of these, over the same
	pingBytes      = 4830.0                         // B/s of pings and answers sent by one mixer among 17 or more
	reportsSent    = 45.2                           // reports by gossip a second, of all mixers
	reportOnBytes  = 57.0                           // B sent to tell one report on once, from whole fleets of 12 and 24
	judgeBytes     = Law{Affine, 20, 27, 0}         // B of the desk's part of half an exchange, 8 sites
	judgeBySites   = Law{Affine, 2420, 130.8, 0}    // by sites, 128 members
	judgeHeld      = Law{Affine, 7191, 104.1, 0}    // B
	judgeTime      = Law{Power, 1.047e-5, 0.405, 0} // s of a round
	rightsState    = Law{Quadratic, 159, 295, 84.08}
	rightsHeld     = Law{Quadratic, 1516, 470.6, 312.3} // B, 6 searchers a mixer, each wants more than its floor of all
	rightsChair    = Law{Quadratic, 122, 132.6, 1.52}   // B of a chair's sheet
	rightsTime     = Law{Power, 5.875e-6, 1.801, 0}     // s of a chair's step
	sheetBytes     = Law{Affine, 38.9, 44.02, 0}        // B of a sheet, by rows
	sheetsHeard    = Law{Affine, 0, 2920, 0}            // B of full sheets in a round
	boardHeld      = Law{Affine, 5718, 11550, 0}        // B
	boardTime      = Law{Power, 4.908e-5, 1.108, 0}     // s of a round, full sheets
	storeCommands  = Law{Flat, 9.5, 0, 0}               // commands a second
	storeRead      = Law{Affine, -11560, 11610, 0}      // B/s read by a mixer, full sheets
	storeSent      = Law{Affine, 11860, 172, 0}         // B/s sent by a mixer, full sheets
	emptySent      = Law{Affine, 430, 172, 0}           // the same with sheets without rows
	emptyRead      = Law{Affine, -135, 185, 0}
	storeAll       = Law{Quadratic, 36, 302, 11790} // B/s of all mixers
	tellTime       = Law{Power, 3.038e-8, 1.079, 0} // s under the router's lock, by searchers
	toldTime       = Law{Power, 3.678e-9, 1.388, 0} // s under the router's lock, by searchers
	meetTime       = Law{Power, 0.02945, 0.895, 0}  // s until all of a fleet have met that starts together, 6 to 96
	firstTakenTime = Law{Power, 1.002e-6, 1.352, 0} // s until all of a first exchange are taken
)

// Bounds of the program, held to it by a test.
const (
	boundRoster   = 1024.0    // members, by default
	boundReports  = 1024.0    // mixers whose reports on sites are heard, siteloss.MaxReports
	boundMixers   = 2048.0    // mixers that the judge of sites looks at, siteloss.MaxMixers
	boundListed   = 4096.0    // searchers that have a site, sites.mostSearchers
	boundRights   = 1024.0    // lives, and resources, of rights
	boundOthers   = 1024.0    // mixers whose sheets are heard, sharing.MaxOthers
	boundState    = 256 << 10 // B of the tables' state in one exchange of the roster, by default
	roundsSecond  = 4.0       // rounds of desk, rights and sharing a second
	gossipPackets = 60.0      // packets a second that carry news: gossip, own pings, memberlist's
	packetMost    = 1400.0    // B of one
)

// ExchangeEvery is how many s lie between two exchanges that one mixer begins, memberlist's stretch beyond 32 members.
func ExchangeEvery(members float64) float64 {
	if members <= 32 {
		return 1
	}
	return math.Ceil(math.Log2(members/32)) + 1
}

// told is memberlist's scale of how often news is told on.
func told(members float64) float64 { return math.Ceil(math.Log10(members + 1)) }

// MixersStart is how many mixers start a second on an ordinary day, as their share of all machines.
func MixersStart(mixers float64) float64 { return StartsEach() * mixers / secondsDay }

// ExchangesOut is what a mixer sends in exchanges, B/s: it begins one and answers one in each interval, of each of which it sends a
// half, with the goodbyes of the last hour, 256 at the most.
func ExchangesOut(members float64) float64 {
	bye := math.Min(MixersStart(members)*3600, mostHearsay) * hearsayBytes.B
	return 2 / ExchangeEvery(members) * (exchangeBytes.At(members)/2 + bye)
}

// JudgeOut is what the judge of sites adds to that, B/s, with as many reports as are heard at the most.
func JudgeOut(members float64) float64 {
	return 2 / ExchangeEvery(members) * judgeBytes.At(math.Min(members, boundReports))
}

// PingsOut is what a mixer sends in pings and answers to them, B/s: it pings 16 others at the most.
func PingsOut(members float64) float64 { return pingBytes * math.Min(1, members/17) }

// ReportsOut is what a mixer sends to tell reports on sites on, B/s.
func ReportsOut(members float64) float64 {
	return math.Min(2*members, reportsSent) * 3 * told(members) * reportOnBytes
}

// RestartsOut is what a mixer sends to tell restarts of others on, B/s.
func RestartsOut(members float64) float64 {
	return MixersStart(members) * restartBytes.A * told(members)
}

// RosterOut is all that a mixer's roster sends, B/s; what comes to it is as much.
func RosterOut(members float64) float64 {
	return PingsOut(members) + ExchangesOut(members) + JudgeOut(members) + ReportsOut(members) + RestartsOut(members)
}

// RosterCore is the processor time of roster and judge of sites, of a core.
func RosterCore(members float64) float64 {
	return rosterCore.At(members) + 2/ExchangeEvery(members)*exchangeTime.At(members) + roundsSecond*judgeTime.At(members)
}

// StartBytes is what a mixer tells on after its start, as all lives are news to it, B.
func StartBytes(members float64) float64 {
	return (members + 1) * 4 * told(members) * (lifeBytes.A + 2)
}

// StartTime is how many s that takes at the least, packets being full.
func StartTime(members float64) float64 { return StartBytes(members) / (gossipPackets * packetMost) }

// SharingCore is the processor time of sharing, of a core: boards with full sheets, and telling and being told twice a round.
func SharingCore(heard, searchers float64) float64 {
	return roundsSecond * (boardTime.At(heard) + 2*tellTime.At(searchers) + 2*toldTime.At(searchers))
}

// firstAt gives the share of the plan's mixers from which a cost is above its budget for the first time: intervals stretch in steps,
// so it may come back under it beyond.
func firstAt(cost func(members float64) float64, budget float64) float64 {
	for n := 1.0; n <= 100*Mixers; n++ {
		if cost(n) > budget {
			return n / Mixers
		}
	}
	return math.Inf(1)
}
