package conns

import (
	"math/rand"
	"testing"
)

// Pools with a fault each.
type (
	keepsBusy   struct{ *Pool } // what is in use again stays among the idle
	newest      struct{ *Pool } // the youngest goes first
	stale       struct{ *Pool } // a searcher's use moves nothing
	noDoubles   struct{ *Pool } // none is beyond one
	oneMore     struct{ *Pool } // bound on open ones off by one
	hoards      struct{ *Pool } // no bound on idle ones
	hasty       struct{ *Pool } // no bound on handshakes
	twice       struct{ *Pool } // counts a close again
	early       struct{ *Pool } // what may stay is swept
	fixedPlace  struct{ *Pool } // a change of class is not seen
	onlyOldest  struct{ *Pool } // how rarely a searcher is used is not looked at
	wrongReason struct{ *Pool }
)

func (p keepsBusy) Busy(*Entry) {}
func (p newest) Spare(now int64) (*Entry, Reason) {
	e, why := p.Pool.Spare(now)
	for _, o := range p.oldest.all {
		if o.rank == e.rank && o.conn.Used() > e.conn.Used() {
			e = o
		}
	}
	return e, why
}
func (p stale) Use(now int64, of *Peer) {
	kept := of.kept
	of.kept = nil
	p.Pool.Use(now, of)
	of.kept = kept
}
func (p noDoubles) Idle(e *Entry, class Class) {
	p.Pool.Idle(e, class)
	if e.rank == double {
		e.rank = Sound
		p.doubles.take(e)
		p.rare.put(e)
	}
}
func (p oneMore) TooMany() bool        { return p.budget.Open > 0 && p.stats.Open > p.budget.Open }
func (p hoards) Crowded() bool         { return false }
func (p hasty) TooFast(now int64) bool { return false }
func (p twice) Close(e *Entry, why Reason) {
	if p.Pool.Close(e, why); why == ForEnd {
		p.stats.Closed[why]++
	}
}
func (p early) Due(now int64) (*Entry, Reason) { return p.Pool.Due(now + p.age/2) }
func (p fixedPlace) Idle(e *Entry, class Class) {
	if e.state != idle {
		p.Pool.Idle(e, class)
	}
}
func (p onlyOldest) Spare(now int64) (*Entry, Reason) {
	if e, why := p.Pool.Spare(now); why != ForPlace {
		return e, why
	}
	return p.oldest.first(), ForPlace
}
func (p wrongReason) Spare(now int64) (*Entry, Reason) {
	e, _ := p.Pool.Spare(now)
	return e, ForPlace
}

// TestFaultsAreFound has the same histories find each planted fault.
func TestFaultsAreFound(t *testing.T) {
	for name, plant := range map[string]func(*Pool) pool{
		"what is in use again stays among the idle": func(p *Pool) pool { return keepsBusy{p} },
		"the youngest goes first":                   func(p *Pool) pool { return newest{p} },
		"a searcher's use moves nothing":            func(p *Pool) pool { return stale{p} },
		"none is beyond one":                        func(p *Pool) pool { return noDoubles{p} },
		"open ones off by one":                      func(p *Pool) pool { return oneMore{p} },
		"no bound on idle ones":                     func(p *Pool) pool { return hoards{p} },
		"no bound on handshakes":                    func(p *Pool) pool { return hasty{p} },
		"a close is counted twice":                  func(p *Pool) pool { return twice{p} },
		"what may stay is swept":                    func(p *Pool) pool { return early{p} },
		"a change of class is not seen":             func(p *Pool) pool { return fixedPlace{p} },
		"only the longest idle":                     func(p *Pool) pool { return onlyOldest{p} },
		"reasons are lost":                          func(p *Pool) pool { return wrongReason{p} },
	} {
		found := int64(-1)
		for seed := range int64(5000) {
			if history(rand.New(rand.NewSource(seed)).Intn, func(b Budget, age int64) pool { return plant(New(b, age)) }) != nil {
				found = seed
				break
			}
		}
		if found < 0 {
			t.Errorf("not found: %s", name)
		}
		t.Logf("%s: found by seed %d", name, found)
	}
}
