package fleetdemo

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// longEventBytes is the size of a long event's data: more than a proxy buffers of an incomplete event.
const longEventBytes = 150 << 10

// streamForm is what the events of an answer look like. It is the same in each run of a request.
type streamForm struct {
	events    int
	lineEnd   string
	idLast    bool // the ID is the last line of an event
	comments  bool // a comment precedes some events
	long      int  // number of the event whose data is long, 0 for none
	withoutID int  // each event whose number it divides has no ID; 0 for none
}

// comment is a comment of a stream. It is no event: clients pass over it, also where a run that continues a stream sends it again.
const comment = ": still there"

// withoutComments returns a stream without its comments, also one that is cut off in a comment.
func withoutComments(text string) string {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		text = strings.ReplaceAll(text, comment+lineEnd+lineEnd, "")
	}
	if start := strings.LastIndexByte(text, ':'); start >= 0 && (start == 0 || text[start-1] == '\n') {
		text = text[:start]
	}
	return text
}

// plainForm is the form of a demo's answers.
var plainForm = streamForm{events: eventsOfRun, lineEnd: "\n"}

// event returns the text of an event of a request.
func (f streamForm) event(request string, number int) string {
	var b strings.Builder
	if f.comments && number%3 == 0 {
		b.WriteString(comment + f.lineEnd + f.lineEnd)
	}
	id := fmt.Sprint("id: ", number, f.lineEnd)
	if f.withoutID > 0 && number%f.withoutID == 0 {
		id = ""
	}
	if !f.idLast {
		b.WriteString(id)
	}
	fmt.Fprintf(&b, "data: token %d of %s%s", number, streamKey(request), f.lineEnd)
	if number == f.long {
		b.WriteString("data: " + strings.Repeat("x", longEventBytes) + f.lineEnd)
	}
	if f.idLast {
		b.WriteString(id)
	}
	return b.String() + f.lineEnd
}

// text returns the events of a request after the one with a number.
func (f streamForm) text(request string, after int) string {
	var b strings.Builder
	for number := after + 1; number <= f.events; number++ {
		b.WriteString(f.event(request, number))
	}
	return b.String()
}

// streamKey returns what the IDs of all tries of a request have in common: they differ in what follows the last dot.
func streamKey(request string) string {
	if at := strings.LastIndexByte(request, '.'); at >= 0 {
		return request[:at]
	}
	return request
}

// framing is how the end of an answer's body is told.
type framing string

// The framings.
const (
	framingChunked framing = "chunked"
	framingLength  framing = "length"
	framingNone    framing = "no length" // the connection ends with the body
)

// streamEnd is how an engine ends an answer.
type streamEnd string

// The ends. All but endWhole leave events out.
const (
	endWhole   streamEnd = "whole"
	endFIN     streamEnd = "FIN"
	endReset   streamEnd = "RST"
	endSilence streamEnd = "silence" // nothing more is sent, until the proxy closes the connection or some seconds have passed

	endHeadFlood    streamEnd = "head without end"     // a header line goes on until the proxy closes the connection; nothing else is sent
	endCommentFlood streamEnd = "comments without end" // until the proxy closes the connection
	endEventFlood   streamEnd = "event without end"    // likewise; the event has no ID
)

// brokenEnds are the ends that leave events out, as often as they are drawn.
var brokenEnds = []streamEnd{
	endFIN, endFIN, endFIN, endReset, endReset, endReset, endSilence, endSilence, endSilence, endHeadFlood, endCommentFlood, endEventFlood,
}

// isFlood reports whether an engine sends bytes without end.
func (e streamEnd) isFlood() bool {
	return e == endHeadFlood || e == endCommentFlood || e == endEventFlood
}

// floodedEvent is what an event without end begins with; floodedByte follows again and again.
const (
	floodedEvent = "data: flood "
	floodedByte  = "y"
)

// withoutFlood returns a stream without the event without end that it ends with, if any.
func withoutFlood(text string) string {
	start := strings.LastIndex(text, floodedEvent)
	if start >= 0 && strings.Trim(text[start+len(floodedEvent):], floodedByte) == "" {
		return text[:start]
	}
	return text
}

// streamEnding is how one run of a request sends its answer and ends it.
type streamEnding struct {
	framing framing
	end     streamEnd
	events  int  // that are sent whole before an end that isn't endWhole
	inEvent bool // and a part of the next one
	pieces  bool // events are written in pieces that split anywhere
}

// regular reports whether an answer is whole, in chunks, an event at a time.
func (e streamEnding) regular() bool {
	return e.end == endWhole && e.framing == framingChunked && !e.pieces
}

// looksWhole reports whether a broken off answer can't be told from a whole one.
func (e streamEnding) looksWhole() bool {
	return e.framing == framingNone && (e.end == endFIN || e.end == endSilence) && !e.inEvent
}

// streamRandom returns the random numbers for a name under a seed.
func streamRandom(seed uint64, name string) *rand.Rand {
	digest := fnv.New64a()
	digest.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, digest.Sum64()))
}

// drawForm draws the form of a request's events.
func drawForm(seed uint64, request string, events int) streamForm {
	random := streamRandom(seed, "form of "+streamKey(request))
	f := streamForm{events: events, lineEnd: "\n", idLast: random.IntN(3) == 0, comments: random.IntN(3) == 0}
	if random.IntN(2) == 0 {
		f.lineEnd = "\r\n"
	}
	switch random.IntN(4) {
	case 0:
		f.long = 1 + random.IntN(events)
	case 1:
		f.withoutID = 2 + random.IntN(3)
	}
	return f
}

// drawEnding draws how a run of a request, the first one has number 1, sends its answer and ends it. broken is the share of answers that
// are broken off; later runs break off half as often.
func drawEnding(seed uint64, request string, run, events int, broken float64) streamEnding {
	random := streamRandom(seed, fmt.Sprint("ending of ", request, " ", run))
	e := streamEnding{
		framing: []framing{framingChunked, framingLength, framingNone}[random.IntN(3)], end: endWhole,
		events: random.IntN(events), inEvent: random.IntN(2) == 0, pieces: random.IntN(2) == 0,
	}
	if run > 1 {
		broken /= 2
	}
	if random.Float64() < broken {
		e.end = brokenEnds[random.IntN(len(brokenEnds))]
	}
	if e.end.isFlood() {
		e.inEvent = false
		if e.framing == framingLength { // its length would be reached by other bytes, and nobody could know
			e.framing = framingChunked
		}
	}
	return e
}

// sent returns the part of an answer's events that an ending lets through. after is the event that the answer begins behind.
func (e streamEnding) sent(form streamForm, request string, after int) string {
	if e.end == endWhole {
		return form.text(request, after)
	}
	cut := min(form.events, after+e.events)
	last := form
	last.events = cut
	text := last.text(request, after)
	if e.inEvent && cut < form.events {
		next := form.event(request, cut+1)
		text += next[:1+len(next)*2/3]
	}
	return text
}

// streamMismatch returns where the bytes of an answer that a client got differ from the events that were due, comments apart, "" if they
// are a prefix of them, and how many bytes are missing then.
func streamMismatch(due, got string) (mismatch string, missing int) {
	due, got = withoutComments(due), withoutComments(withoutFlood(got))
	if strings.HasPrefix(due, got) {
		return "", len(due) - len(got)
	}
	at := 0
	for at < len(due) && at < len(got) && due[at] == got[at] {
		at++
	}
	return fmt.Sprintf("byte %d of %d is not that of the run: %.60q, want %.60q", at, len(got), got[at:], due[at:]), 0
}

// streamFault returns what is wrong with the bytes of an answer that a client got, "" if nothing is: they have to be a prefix of the
// events that were due, and an answer that ends as complete has to have all, unless no proxy could know.
func streamFault(due, got string, complete, looksWhole bool) string {
	mismatch, missing := streamMismatch(due, got)
	if mismatch == "" && complete && missing > 0 && !looksWhole {
		return fmt.Sprintf("ended as complete, %d bytes are missing", missing)
	}
	return mismatch
}
