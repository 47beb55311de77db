package twophase

import (
	"cmp"
	"slices"
)

// Word is what a searcher answered to a question.
type Word int

const (
	No     Word = iota // its block does not hold what is sought
	Yes                // it does
	Spoilt             // no answer in the stated form, which tells nothing: never that there is none
)

// Process is one process of a searcher.
type Process struct {
	Searcher string
	Started  int64
}

// Mark is what is known of a part at the end.
type Mark int

const (
	Missing  Mark = iota // nothing is known
	Unsure               // said to hold nothing, but not by enough to be believed
	Pruned               // its searchers say that it holds nothing
	Skipped              // a summary says that it holds nothing
	Brought              // asked about and fetched
	Straight             // fetched without an answer first
)

// Known tells whether a part counts towards the answer's share.
func (m Mark) Known() bool { return m >= Pruned }

// Do is what an action asks for.
type Do int

const (
	Question Do = iota // ask about a part, at any searcher of its slice but Avoid
	Get                // fetch a part
	End                // answer the lookup now; nothing is sent for it after that
)

const questions = 2 // on one part at the most: a second word is had once

// Action is what is to be done next.
type Action struct {
	Do    Do
	Part  int
	Avoid Process // of a second question: who has answered before
}

// Verdict is how a lookup ends.
type Verdict int

const (
	Whole  Verdict = iota
	Partly         // the least share is known, not what makes it whole
	Failed
	Gone // the client has left
)

// Run is one lookup on its way. Its calls come in the order of the clock; each gives what is to be done then.
type Run struct {
	terms   Terms
	plan    Plan
	end     int64
	parts   []partState
	ended   bool
	gone    bool
	Strays  int // answers that nobody waited for
	Seconds int // second words that were asked for
}

// partState is what is known of one part.
type partState struct {
	weight   float64
	asking   bool // a question is out
	asked    int
	said     []Process // who answered No while cold: a second word of another is wanted
	heard    bool      // Yes, or something that is no answer, was heard
	yes      bool
	getting  bool // a fetch is out
	lost     bool // no fetch of it is left
	mark     Mark
	denied   bool // it was said to hold nothing, not believed
	straight bool
}

// NewRun begins a lookup that must end by a time, and gives its first actions.
func NewRun(now, end int64, t Terms, p Plan, parts []Part) (*Run, []Action) {
	r := &Run{terms: t, plan: p, end: end, parts: make([]partState, len(parts))}
	var first []Action
	for i := range parts {
		s := &r.parts[i]
		s.weight = parts[i].Weight
		switch {
		case p.Ways[i] == Skip:
			s.mark = Skipped
		case p.Ways[i] == Ask && now < p.AskUntil:
			first = append(first, s.question(i))
		default:
			s.straight = true
		}
	}
	for _, i := range r.open() {
		if r.parts[i].straight {
			first = append(first, r.get(i))
		}
	}
	return r, r.settle(now, first)
}

func (s *partState) question(i int) Action {
	s.asking = true
	s.asked++
	a := Action{Do: Question, Part: i}
	if len(s.said) > 0 {
		a.Avoid = s.said[len(s.said)-1]
	}
	return a
}

func (r *Run) get(i int) Action {
	r.parts[i].getting = true
	return Action{Do: Get, Part: i}
}

// open gives the parts of which nothing final is known, those that bring the answer's share up most first.
func (r *Run) open() (parts []int) {
	for i := range r.parts {
		if s := &r.parts[i]; !s.mark.Known() && !s.lost {
			parts = append(parts, i)
		}
	}
	slices.SortStableFunc(parts, func(a, b int) int { return cmp.Compare(r.parts[b].weight, r.parts[a].weight) })
	return parts
}

// Answered takes the answer to a question. Cold tells that the process may not have loaded all that it holds.
func (r *Run) Answered(now int64, part int, from Process, cold bool, w Word) []Action {
	if r.ended || part < 0 || part >= len(r.parts) || !r.parts[part].asking {
		r.Strays++ // for a part that was never asked about, twice, or too late
		return nil
	}
	s := &r.parts[part]
	if slices.Contains(s.said, from) {
		r.Strays++ // a second word of the same process is no second word; another is still waited for
		return nil
	}
	s.asking = false
	switch {
	case s.mark.Known() || s.getting || s.lost:
		return nil // it is being fetched: what is brought tells more
	case w == No && !cold:
		s.mark = Pruned
	case w == No:
		// Guards against a searcher that says 'empty' before it has loaded: it needs a second word, of another.
		s.said, s.denied = append(s.said, from), true
		if s.asked < questions && now < r.plan.AskUntil {
			r.Seconds++
			return []Action{s.question(part)}
		}
		return r.settle(now, []Action{r.get(part)})
	default:
		s.heard, s.yes = true, w == Yes
		return r.settle(now, []Action{r.get(part)})
	}
	return r.settle(now, nil)
}

// Unanswered tells that a question ended without an answer and is not asked again: the block is unknown and is fetched.
func (r *Run) Unanswered(now int64, part int) []Action {
	if r.ended || part < 0 || part >= len(r.parts) || !r.parts[part].asking {
		return nil
	}
	s := &r.parts[part]
	s.asking = false
	if s.mark.Known() || s.getting || s.lost {
		return nil
	}
	return r.settle(now, []Action{r.get(part)})
}

// Got takes what a fetch brought. Empty tells that there was nothing in it: that of a cold process, or against a Yes, is not
// believed.
func (r *Run) Got(now int64, part int, cold, empty bool) []Action {
	if r.ended || part < 0 || part >= len(r.parts) || !r.parts[part].getting {
		r.Strays++
		return nil
	}
	s := &r.parts[part]
	s.getting = false
	if empty && (cold || s.yes) {
		s.denied, s.lost = true, true // its words differ, or it has not loaded; no third is had
		return r.settle(now, nil)
	}
	s.mark = Brought
	if !s.heard && !s.denied {
		s.mark = Straight
	}
	return r.settle(now, nil)
}

// Lost tells that a fetch has failed and that none is left for its part.
func (r *Run) Lost(now int64, part int) []Action {
	if r.ended || part < 0 || part >= len(r.parts) || !r.parts[part].getting {
		return nil
	}
	r.parts[part].getting, r.parts[part].lost = false, true
	return r.settle(now, nil)
}

// Due is called at Wake. When waiting for answers ends, what is unknown is fetched; at the end the lookup ends.
func (r *Run) Due(now int64) []Action {
	var next []Action
	if !r.ended && now >= r.plan.AskUntil && now < r.end {
		for _, i := range r.open() {
			if s := &r.parts[i]; !s.getting {
				s.asking = false
				next = append(next, r.get(i))
			}
		}
	}
	return r.settle(now, next)
}

// Wake gives when Due is to be called next, 0 for never.
func (r *Run) Wake(now int64) int64 {
	switch {
	case r.ended:
		return 0
	case now < r.plan.AskUntil:
		return r.plan.AskUntil
	}
	return r.end
}

// Left tells that the client has left: nothing more is sent for the lookup.
func (r *Run) Left() { r.ended, r.gone = true, true }

// share gives what is known, and what is known if all that is out comes.
func (r *Run) share() (known, hope float64) {
	for i := range r.parts {
		s := &r.parts[i]
		if s.mark.Known() {
			known += s.weight
			hope += s.weight
		} else if s.asking || s.getting {
			hope += s.weight
		}
	}
	return known, hope
}

const rounding = 1e-6 // weights may fall short by it

// settle ends the lookup once it is whole, cannot become so, or its time is over, and gives the actions with that one. What
// can still become a part of the least share is waited for; what can no more is not.
func (r *Run) settle(now int64, next []Action) []Action {
	if r.ended {
		return nil
	}
	known, hope := r.share()
	over := now >= r.end || known >= r.terms.CompleteFrom-rounding || hope < r.terms.LeastShare-rounding || hope <= known
	if !over {
		return next
	}
	r.ended = true
	return []Action{{Do: End}}
}

// Verdict gives how the lookup ended, with the mark of each part.
func (r *Run) Verdict() (Verdict, []Mark) {
	marks := make([]Mark, len(r.parts))
	for i := range r.parts {
		s := &r.parts[i]
		if marks[i] = s.mark; !s.mark.Known() && s.denied {
			marks[i] = Unsure
		}
	}
	known, _ := r.share()
	switch {
	case r.gone:
		return Gone, marks
	case known >= r.terms.CompleteFrom-rounding:
		return Whole, marks
	case known >= r.terms.LeastShare-rounding && r.terms.LeastShare < r.terms.CompleteFrom:
		return Partly, marks
	}
	return Failed, marks
}
