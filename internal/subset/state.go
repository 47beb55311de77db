package subset

import "nettlefold/mixer"

// State is how a choice stands, and why more searchers are used than are needed.
type State struct {
	Listed, Used int // searchers of the list, and those of them that the module may send to
	Cells, Whole int // cells with holders, and those all of whose holders are used
	Needed       int // sound warm searchers that are to be in use, of the cells that are not whole
	Least, Most  int // of these in one cell, 0 where all are whole

	// Of the used ones in cells that are not whole: suspect or in a silent zone; cold; and those that are needed no more and kept for a while.
	Ill, Cold, Spare int
	Leaving          int      // told of as draining, since they have left the subset
	Held             int      // cold ones that others use
	Silent           []string // zones
}

// State tells how the choice stands at a time.
func (c *Chooser) State(now int64) (s State) {
	silent := map[string]bool{}
	for i := range c.cells {
		at := &c.cells[i]
		if len(at.members) == 0 {
			continue
		}
		s.Cells++
		s.Listed += len(at.members)
		if at.whole {
			s.Whole++
		} else {
			size := max(at.size, c.o.evenly(len(at.members)))
			s.Needed += size
			s.Most = max(s.Most, size)
			if s.Least == 0 || size < s.Least {
				s.Least = size
			}
		}
		for _, m := range at.members {
			if c.silent[m.Zone] && !silent[m.Zone] {
				silent[m.Zone], s.Silent = true, append(s.Silent, m.Zone)
			}
			if m.told == leaving {
				s.Leaving++
			}
			if m.Status == mixer.Live && !c.usable(now, m) {
				s.Held++
			}
			if m.told != listed || m.Status != mixer.Live {
				continue
			}
			if s.Used++; at.whole {
				continue
			}
			switch {
			case !m.wanted:
				s.Spare++
			case m.ill || c.silent[m.Zone]:
				s.Ill++
			case c.cold(now, m):
				s.Cold++
			}
		}
	}
	return s
}
