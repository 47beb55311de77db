package siteloss

import "math"

// PaceTerms are what the settings say of a return.
type PaceTerms struct {
	Terms
	ColdFrom     float64 // of its capacity that a cold searcher bears at its start
	Cold         int64   // time in which the cold budget is counted
	Rank, Mixers int     // this mixer's place among the mixers there are
}

// stages of a return; the last one bears all. A stage lasts as long as a cold searcher takes to bear what the next one asks.
const stages = 8

// doubtful is the share of losses among what ended that shows doubt, and certain how few show that it is kept.
const (
	doubtful = 0.25
	good     = 0.10
	longest  = 5 // doublings of the wait of a site that comes and goes
)

// Pace is how one site's return is paced at one mixer. All mixers go through the same stages by the same rule; who may be
// the first to meet which searcher follows from their ranks alone, so that no message is needed and no crowd comes at the
// moment of the first good answer.
type Pace struct {
	terms PaceTerms
	stage int   // 0: nothing but probes, stages+1: all
	at    int64 // when the stage began
	wait  int64 // until then nothing but probes
	goes  int   // how often it was lost lately
	lost  int64 // when it was lost last
	full  int64 // when it last bore all
	clear bool  // it is away, and not yet back

	credit float64 // of one first part
	saved  int64   // up to when that is reckoned
}

// NewPace is that of a site that is sound.
func NewPace(t PaceTerms) *Pace { return &Pace{terms: t, stage: stages + 1} }

// Leave is what a mixer may do towards a site.
type Leave struct {
	Stage int
	Share float64 // of what it would send there, and of the pairs of mixers and searchers that may meet
	Probe bool    // it is this mixer's turn to try one forward
	Until int64   // for a site that is waited for: when the first stage begins, 0: not known
	rank  int
}

// Step takes what holds of the site and what was seen of it within the window.
func (p *Pace) Step(now int64, v Verdict, e Evidence) Leave {
	t := p.terms
	switch {
	case v.Out() || v.Kind == Lost && v.Declared:
		if !p.clear {
			p.clear, p.lost = true, now
			if p.full > 0 && now-p.full > t.memory() {
				p.goes = 0
			}
			p.goes++
		}
		p.stage, p.at = 0, now
		// The first time it may come back at once; each time more in a short while doubles the wait after its first signs.
		p.wait = 0
	case p.clear && (v.Kind == Returning || v.Kind == Sound || v.Kind == Slow || v.Kind == ListLate):
		if p.wait == 0 {
			p.wait = now
			if p.goes > 1 {
				p.wait += t.Cold << min(p.goes-2, longest)
			}
		}
		if now >= p.wait {
			p.clear, p.stage, p.at = false, 1, now
			p.saved, p.credit = now, 0
		}
	case p.stage <= stages:
		p.onward(now, e)
	}
	l := Leave{Stage: p.stage, Share: p.share(), rank: t.Rank}
	if p.stage == 0 {
		// One mixer after the other, a round of all in Mixers turns.
		l.Probe = (now/max(t.Every, 1))%int64(max(t.Mixers, 1)) == int64(t.Rank)
		l.Until = p.wait
	}
	return l
}

// onward goes a stage up when the last has stood for its time, and one down on doubt.
func (p *Pace) onward(now int64, e Evidence) {
	ended := e.Answered + e.Lost
	bad := float64(e.Lost) / float64(max(ended, 1))
	stood := now - p.at
	switch {
	case ended >= few && bad > doubtful && stood >= p.terms.Window():
		p.at = now
		if p.stage--; p.stage == 0 { // doubt at the very first: as if it had gone again
			p.clear, p.wait = true, now+max(p.terms.Cold, p.terms.Every)
		}
	case stood >= p.terms.Warming/stages && bad <= good:
		p.at += p.terms.Warming / stages
		if p.stage++; p.stage > stages {
			p.full = now
		}
	}
}

// share of the site's load in a stage: what a cold searcher bears when the stage begins.
func (p *Pace) share() float64 {
	switch {
	case p.stage <= 0:
		return 0
	case p.stage > stages:
		return 1
	}
	return p.terms.ColdFrom + (1-p.terms.ColdFrom)*float64(p.stage-1)/stages
}

// Meets tells whether this mixer may hold connections to a searcher of the site and send it parts. The pairs that may are
// spread evenly over mixers and over searchers at each stage, and those of one stage are among those of the next.
func (l Leave) Meets(searcher int) bool {
	if l.Share >= 1 {
		return true
	}
	_, at := math.Modf(float64(l.rank)*golden + float64(searcher)*0.7548776662466927)
	return at < l.Share
}

// First tells whether a first part may go to the site's cold searchers now. Right is how many parts this mixer may send
// there within the window: what all mixers own adds up to no more than the cold budget. It saves up for one part at a time,
// from its own place within the window on, so that not all have their first one at once.
func (p *Pace) First(now int64, right float64) bool {
	if p.stage > stages {
		return true
	}
	if p.stage == 0 || right <= 0 {
		return false
	}
	if p.saved == p.at && p.credit == 0 {
		_, place := math.Modf(float64(p.terms.Rank+1) * golden)
		p.credit = place
	}
	p.credit = min(1, p.credit+right*float64(now-p.saved)/float64(max(p.terms.Cold, 1)))
	if p.saved = now; p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// Budget is how many requests of mean work a cold searcher may get within the window from all mixers, where the settings let
// it have n then.
func Budget(n float64) float64 { return n + 3*math.Sqrt(n) + 3 }
