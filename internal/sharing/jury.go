package sharing

import (
	"cmp"
	"math"
	"slices"

	"nettlefold/mixer"
)

// Jury says when what several mixers say of one process is believed: a board's, or that of a relay, which hears more of them.
type Jury struct {
	Zone     string // of which mixers need no second zone beside them: a line broken between zones is broken for all of a zone; "": none
	Quorum   int    // mixers that must say a thing
	Answered int64  // ns since an answer within which a mixer vouches for a searcher
}

// Teller is one mixer's word on one process.
type Teller struct {
	Zone   string
	Row    *Row
	Seen   int64   // when its sheet was
	weight float64 // calls that stand behind its word on pace, by now
}

// NewTeller gives a mixer's word as it weighs now.
func NewTeller(now int64, zone string, r *Row, seen int64) Teller {
	age := float64(now-seen) + float64(r.Heard)*float64(ms)
	return Teller{zone, r, seen, float64(r.Weight) * math.Exp2(-age/float64(fadeHalf))}
}

// Believed tells whether the mixers that say a thing are enough: the quorum, and of two zones unless that many are of the jury's own.
func (j Jury) Believed(tellers []Teller) bool {
	if len(tellers) < j.Quorum {
		return false
	}
	near := 0
	for _, t := range tellers {
		if t.Zone == j.Zone {
			near++
		}
		if t.Zone != tellers[0].Zone {
			return true
		}
	}
	return near >= j.Quorum
}

// Verdict is what is believed of a process, and how many stand behind it.
type Verdict struct {
	Slow, Weight float64 // 0: nothing is believed of its pace
	SlowAt       int64   // the newest answer behind that
	Silent       bool
	SilentAt     int64 // the newest sheet behind that
	Sound        bool
	Paced        int // mixers that say a pace, of those that count
	Suspecting   int
	Well         int    // mixers that it has just answered
	Outvoted     uint64 // things that too few say
}

// Judge makes one verdict of what is said of a process; heard tells whether its pace has been said bad for long enough. Where sound
// is set, it has just answered the jury itself, and is not silent whatever others say.
func (j Jury) Judge(now int64, tellers []Teller, heard, sound bool) (v Verdict) {
	var pace, silent, well []Teller
	for _, t := range tellers {
		if t.Row.Slow > 0 && t.weight >= enough {
			pace = append(pace, t)
		}
		if t.Row.Suspect > 0 {
			silent = append(silent, t)
		} else if t.Row.Heard > 0 && t.Row.Heard*ms+now-t.Seen < j.Answered {
			well = append(well, t)
		}
	}
	pace = j.newest(pace)
	v.Paced, v.Suspecting, v.Well = len(pace), len(silent), len(well)
	if j.Believed(pace) && heard {
		v.Slow, v.Weight = median(pace)
		for _, t := range pace {
			v.SlowAt = max(v.SlowAt, t.Seen-t.Row.Heard*ms)
		}
	} else if len(pace) > 0 {
		v.Outvoted++
	}
	switch {
	case j.Believed(silent) && len(silent) > len(well) && !sound:
		v.Silent = true
		for _, t := range silent {
			v.SilentAt = max(v.SilentAt, t.Seen)
		}
	case j.Believed(well) && len(well) > len(silent):
		v.Sound = true
	case len(silent) > 0:
		v.Outvoted++
	}
	return v
}

// newest gives the third of the tellers whose searcher answered them last, one more than a quorum at the least. What the others
// know is of before it changed: among many it would hold the median where it was for seconds.
func (j Jury) newest(tellers []Teller) []Teller {
	at := func(t Teller) int64 { return t.Seen - t.Row.Heard*ms }
	slices.SortFunc(tellers, func(x, y Teller) int {
		return cmp.Or(cmp.Compare(at(y), at(x)), cmp.Compare(x.Row.Slow, y.Row.Slow), cmp.Compare(x.weight, y.weight))
	})
	return tellers[:min(len(tellers), max(j.Quorum+1, (len(tellers)+2)/3))]
}

// median gives the pace that half of the mixers do not say is exceeded, the lower of two, and the weight behind all. Each
// mixer is one voice, however much stands behind it by its own word: a liar among two or three moves nothing.
func median(tellers []Teller) (slow, weight float64) {
	slices.SortStableFunc(tellers, func(x, y Teller) int { return cmp.Compare(x.Row.Slow, y.Row.Slow) })
	for _, t := range tellers {
		weight += min(t.weight, voice)
	}
	return float64(tellers[(len(tellers)-1)/2].Row.Slow), weight
}

// judge makes one word of what others say of a process; Until is 0 where nothing is believed. A process that has just answered
// this mixer is not silent, whatever others say: their lines may be broken, its own is not.
func (b *Board) judge(now int64, p process, tellers []Teller, own *mixer.Observation) mixer.PeerReport {
	w := mixer.PeerReport{Searcher: p.searcher, Started: p.started}
	oldest := int64(math.MaxInt64)
	for _, t := range tellers {
		oldest = min(oldest, t.Seen)
	}
	first, ok := b.first[p]
	v := Jury{b.zone, quorum, answered}.Judge(now, tellers, ok && now-first >= hearing, own.Heard > 0 && now-own.Heard < answered)
	b.counts.Outvoted += v.Outvoted
	w.Slow, w.Weight, w.Silent, w.Sound, w.Suspecting = v.Slow, v.Weight, v.Silent, v.Sound, v.Suspecting
	w.At = max(w.At, v.SlowAt, v.SilentAt)
	if w.Slow > 0 || w.Silent || w.Sound || w.Suspecting > 0 {
		w.Until = oldest + Lease
	}
	return w
}
