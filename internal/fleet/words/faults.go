package words

// faults are broken designs that only the tests plant, to show that they find them. All are off in the program.
type faults struct {
	one       bool // one mixer is a quorum
	oneZone   bool // a quorum of one zone is enough where there are two
	oldLife   bool // a sheet of an earlier life, or an earlier one of this life, is taken
	stays     bool // a sheet stays when its session has ended
	unanswers bool // those who are answered do not count against silence
	forever   bool // a word is believed until it is taken back
	stale     bool // what is heard at a session's beginning counts at once
	flaps     bool // a word goes with its evidence
	unbounded bool // all words are told
}
