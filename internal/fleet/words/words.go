// Package words carries what mixers learn of slow and silent searchers to all mixers through the relays of the control tier. A mixer
// tells its own relay a sheet of what stands out for it (Sheets). A relay judges what its mixers say (Judge), by the jury of
// internal/sharing, and tells a bounded number of words as rows of its own table. A mixer joins the words of all relays (Ear).
// No cold allowance is asked for or lent here. It is pure: no I/O, clock, goroutine or order of a map. Times are ns of the
// caller's clock, which never goes back. docs/words.md says why it is so.
package words

import (
	"cmp"
	"encoding/json"
	"math/bits"
	"strings"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/sharing"
)

const (
	ms     = int64(1_000_000)
	second = 1000 * ms

	// Round is how often a relay judges and a mixer hands its module what it has heard, ns.
	Round = 250 * ms
	// Every is the least time between two sheets of a mixer, ns.
	Every = second
	// Pulse is how often a relay says that its words stand, ns, where it has any.
	Pulse = second
	// Lease is how long a mixer believes a relay's words after the last such sign, ns of its own clock.
	Lease = sharing.Lease

	paced = 4 * second  // between two sheets that differ in paces alone
	again = 10 * second // a mixer's sheet with rows is told once more after this, changed or not
	kept  = 25 * second // a sheet that has not been told again for this long ends
	lull  = second      // a word whose evidence has gone stands for this long; nothing flaps within it

	// MostWords is how many words a relay tells at a time: the most pressing, the rest are counted.
	MostWords = 64
	perRow    = 4 // words of one row
	mostAsked = 8 // of them, those that ask for evidence
	// MostSheet is how many bytes a mixer's sheet has at most.
	MostSheet = 8 << 10
	mostRows  = 1 << 18 // rows of sheets that a relay holds; of a sheet beyond, none is taken
	mostSlow  = 16      // rows of a sheet on pace alone
	mostStill = 48      // rows of a sheet on silence: room is left for those who know better

	least     = 3           // mixers of a relay that must say a thing
	portion   = 100         // and one of so many of them: chance alone makes three of 900 err together
	answered  = 2 * second  // since an answer, within which a mixer vouches at a relay: a round of a mixer and the way there are in it
	recent    = second      // the same at the mixer itself, and before a word's coming: such an answer outweighs it
	hearing   = 2500 * ms   // between a relay's asking and a word on pace: those who know better have told by then
	shelved   = 30 * second // until it asks again where nothing came of it
	standsOut = 1.5         // times the fleet's pace from which a word is told
	endsAt    = 1.2         // and until which it stands
	step      = 1.25        // a pace is told anew when it differs by this
	surely    = 6.5         // a mixer tells of a pace that is this many deviations beyond the fleet's, as chance alone never is
	testers   = 256         // suspects that test a searcher together as often as one alone
)

// process is one process of a searcher. What is said of one never touches another of the same name.
type process struct {
	searcher string
	started  int64
}

func (p process) compare(o process) int {
	return cmp.Or(strings.Compare(p.searcher, o.searcher), cmp.Compare(p.started, o.started))
}

// Kinds of words, the most pressing first.
const (
	silent = "silent"
	sound  = "sound" // answers again, or always did, while some suspect it
	slow   = "slow"
	asked  = "asked" // several find it slow: who has been answered by it tells what it knows
)

// Told is one word of a relay.
type Told struct {
	Searcher   string  `json:"s"`
	Started    int64   `json:"p"`
	Kind       string  `json:"k"`
	Slow       float64 `json:"x,omitempty"` // times the fleet's pace
	Weight     float64 `json:"w,omitempty"` // calls behind that
	Say        int     `json:"n"`           // mixers that say so, rounded down to a power of two
	Suspecting int     `json:"t,omitempty"` // mixers that suspect it, likewise
}

// Head is a relay's sign that its words stand. It is told anew while there are any.
type Head struct {
	Beat   uint64 `json:"beat"`
	Words  int    `json:"words"`
	Rest   int    `json:"rest"`   // that stand out as well, and are not told
	Mixers int    `json:"mixers"` // whose sheets are judged
}

const headName = "/head"

// rough rounds down to a power of two; what was told before stays while the count is within twice of it either way.
func rough(n, was int) int {
	if was > 0 && n < 4*was && 2*n >= was {
		return was
	}
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

func body(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // numbers and strings alone
	}
	return b
}

func words(relay, name string, v any) control.Row {
	return control.Row{Kind: control.KindWords, Name: relay + name, Body: body(v)}
}
