package scale

import (
	"cmp"
	"slices"
	"time"

	"nettlefold/internal/fleet/control"
)

// life is one start of a hollow mixer.
type life struct {
	begun, ended int64 // Unix time, ns; ended 0: it runs
	inForce      []moment
	rejected     []moment
}

type moment struct {
	at            int64
	epoch, number uint64
}

func (m moment) compare(s control.Stamp) int {
	return cmp.Or(cmp.Compare(m.epoch, s.Epoch), cmp.Compare(m.number, s.Number))
}

// book is what was noted of all mixers, by number.
type book struct {
	lives [][]*life
	back  int // versions that came to be in force after a later one
}

func (b *book) take(events []event) {
	for _, e := range events {
		at := moment{int64(e[4]), e[2], e[3]}
		of := &b.lives[e[0]]
		if e[1] == evBegun {
			*of = append(*of, &life{begun: at.at})
			continue
		}
		l := (*of)[len(*of)-1]
		switch e[1] {
		case evEnded:
			l.ended = at.at
		case evInForce:
			l.inForce = append(l.inForce, at)
		case evRejected:
			l.rejected = append(l.rejected, at)
		case evBack:
			b.back++
		}
	}
}

// Spread is how long something took at many mixers.
type Spread struct {
	All  int // mixers
	Left int // that ended before
	Lack int // that ran and never came to it
	Took []time.Duration
}

// At gives the time within which a share of them had it, Took being sorted.
func (s Spread) At(share float64) time.Duration {
	if len(s.Took) == 0 {
		return 0
	}
	return s.Took[min(len(s.Took)-1, int(share*float64(len(s.Took))))]
}

// Last gives when the last of them had it.
func (s Spread) Last() time.Duration { return s.At(1) }

func (s *Spread) add(o Spread) {
	s.All, s.Left, s.Lack = s.All+o.All, s.Left+o.Left, s.Lack+o.Lack
	s.Took = append(s.Took, o.Took...)
	slices.Sort(s.Took)
}

// given is a version that was given.
type given struct {
	control.Stamp
	at   int64         // just before it was given, Unix time, ns
	told time.Duration // until the relay said that a majority holds it
	held int
}

// reached gives, of the mixers that ran when a version was given, how long until it or a later one was in force.
func (b *book) reached(g given) Spread {
	return b.spread(g, func(l *life) []moment { return l.inForce }, func(m moment) bool { return m.compare(g.Stamp) >= 0 })
}

// refused gives the same for a version that is rejected.
func (b *book) refused(g given) Spread {
	return b.spread(g, func(l *life) []moment { return l.rejected }, func(m moment) bool { return m.compare(g.Stamp) == 0 })
}

// spread gives, of the mixers that ran when a version was given, how long until the first of their moments that is meant.
func (b *book) spread(g given, of func(*life) []moment, meant func(moment) bool) (s Spread) {
	for _, lives := range b.lives {
		for _, l := range lives {
			if l.begun > g.at || l.ended != 0 && l.ended <= g.at {
				continue
			}
			s.All++
			moments := of(l)
			i := slices.IndexFunc(moments, meant)
			switch {
			case i >= 0:
				s.Took = append(s.Took, time.Duration(max(0, moments[i].at-g.at)))
			case l.ended != 0:
				s.Left++
			default:
				s.Lack++
			}
		}
	}
	slices.Sort(s.Took)
	return s
}

// begun gives, of the mixers that began in a time, how long from their start until a version that was the newest then, or a
// later one, was in force.
func (b *book) begun(from, to int64, all []given) (s Spread) {
	for _, lives := range b.lives {
		for _, l := range lives {
			if l.begun < from || l.begun > to {
				continue
			}
			newest := control.Stamp{}
			for _, g := range all {
				if g.at+int64(g.told) <= l.begun && g.Compare(newest) > 0 {
					newest = g.Stamp
				}
			}
			s.All++
			i := slices.IndexFunc(l.inForce, func(m moment) bool { return m.compare(newest) >= 0 })
			switch {
			case i >= 0:
				s.Took = append(s.Took, time.Duration(l.inForce[i].at-l.begun))
			case l.ended != 0:
				s.Left++
			default:
				s.Lack++
			}
		}
	}
	slices.Sort(s.Took)
	return s
}
