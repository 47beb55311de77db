package control

// faults are broken designs that only the tests' search plants, to show that it finds them. All are off in the program.
type faults struct {
	forgetsGood      bool // relays hold the newest version alone, so that who comes after a bad one has none
	forgetsDisplaced bool // a version is proven only while it is the newest
	anyLife          bool // an index counts whatever life of a relay it is of
	dropsSettings    bool // a snapshot that lacks the settings row drops it, and its stamp
	numberOnly       bool // stamps are compared by their number alone
	noAuthor         bool // two stamps that differ in their author alone are equal
	minority         bool // numbers are given without a majority
	oneWay           bool // a relay that is heard counts as in contact though it does not hear
	stale            bool // a relay numbers by whom it has heard lately, without asking
	echoLife         bool // an answer to a life before counts
	atOnce           bool // a relay that returned numbers before it has exchanged
	below            bool // a relay numbers below what a mixer told
	noLife           bool // the author is the relay's name alone, so that two lives number alike
	again            bool // a mixer tries a rejected version again
	takesRejected    bool // a mixer counts a rejected version as in force
	skips            bool // what changed during a snapshot is taken as told
	midway           bool // a snapshot that broke off is taken as whole
	rush             bool // a relay's loss is followed by a try at once, and relays take all who come
	forgets          bool // what is gone is forgotten, and an index from before still counts
	zombie           bool // an own row that is gone and that another tells as there is not told as gone again
	lingers          bool // what a relay's whole snapshot does not name of its own is kept by the other relays
	sleeps           bool // what a relay reads after a sleep counts as said now
	adopts           bool // an own row that others told is kept as it is where it says what is so
}
