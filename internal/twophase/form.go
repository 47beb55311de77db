package twophase

import (
	"bytes"
	"strconv"
)

// Reply is a searcher's answer to a question, in its stated form.
type Reply struct {
	Word Word
	Work int64 // what it cost the searcher, in us; 0: not told
}

// ReadReply reads the answer to a question: "yes" or "no", and after one space the work in whole microseconds, if it is told.
// Anything else is Spoilt, which tells nothing of the block: not that it is empty either.
func ReadReply(value []byte) Reply {
	word, rest, more := bytes.Cut(value, []byte{' '})
	r := Reply{Word: Spoilt}
	switch string(word) {
	case "yes":
		r.Word = Yes
	case "no":
		r.Word = No
	default:
		return r
	}
	if !more {
		return r
	}
	work, err := strconv.ParseUint(string(rest), 10, 40)
	if err != nil || len(rest) > 1 && rest[0] == '0' {
		return Reply{Word: Spoilt}
	}
	r.Work = int64(work)
	return r
}

// Append writes it.
func (r Reply) Append(to []byte) []byte {
	to = append(to, map[Word]string{Yes: "yes", No: "no"}[r.Word]...)
	if r.Work > 0 {
		to = strconv.AppendInt(append(to, ' '), r.Work, 10)
	}
	return to
}
