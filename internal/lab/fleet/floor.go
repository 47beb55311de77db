package fleet

import (
	"fmt"

	"nettlefold/mixer"
)

// floor is how one mixer's module acts.
type floor struct{ *Node }

func (n floor) trace(what string) {
	if n.w.Trace != nil {
		n.w.Trace(n.Index, fmt.Sprintf("%d %s", n.w.Now, what))
	}
}

func (n floor) Forward(id, searcher string, within int64) {
	n.trace("forward " + id + " to " + searcher)
	w, p, m := n.w, n.parts[id], n.M
	copy, l := p.sent, p.l
	p.sent++
	var s *Searcher
	for _, o := range w.Searchers {
		if o.Name == searcher {
			s = o
			break
		}
	}
	if w.Sent != nil {
		w.Sent(n.Node, s)
	}
	outcome := func(after int64, o mixer.Outcome) {
		began := w.Now
		w.After(after, func() {
			if n.M != m {
				return // the mixer that waited is no more
			}
			in := o == mixer.Succeeded && !l.Ended
			p.in = p.in || in
			l.h.Outcome(w.Now, p.index, copy, o, w.Now-began, p.in || l.Ended)
		})
	}
	if n.Broken != nil && n.Broken(s.Index) {
		outcome(within, mixer.TimedOut)
		return
	}
	net := w.Net
	if s.Zone != n.Zone {
		net *= 2
	}
	if s.Silent || s.Down {
		w.book(s)
		outcome(within, mixer.TimedOut)
		return
	}
	if s.Status == mixer.Dead {
		outcome(2*net, mixer.Unreachable)
		return
	}
	w.book(s)
	if s.Down {
		outcome(within, mixer.TimedOut)
		return
	}
	// The work is drawn here, so that one history has one draw for each part sent.
	work := (w.rng.ExpFloat64() + w.rng.ExpFloat64()) / 2 * float64(w.Work) * s.Slower / w.Frac(s)
	first := 0
	for i := range s.free {
		if s.free[i] < s.free[first] {
			first = i
		}
	}
	done := max(s.free[first], w.Now+net) + int64(work)
	s.free[first] = done
	if took := done + net - w.Now; took <= within {
		outcome(took, mixer.Succeeded)
	} else {
		outcome(within, mixer.TimedOut)
	}
}

// book counts a part sent to a cold process, and has the process fall over where all mixers together send it too much.
func (w *World) book(s *Searcher) {
	frac := w.Frac(s)
	if frac == 1 {
		return
	}
	s.Fair++
	s.cold = append(s.cold, w.Now)
	for s.cold[0] <= w.Now-w.Charter.FallFor {
		s.cold = s.cold[1:]
	}
	if most := w.Charter.FallMultiple * frac * w.Bears() * float64(w.Charter.FallFor); float64(len(s.cold)) > most && !s.Down {
		s.Down = true
		s.Falls++
	}
}

func (n floor) end(id string) *Lookup {
	l := n.lookups[id]
	if l == nil || l.Ended {
		panic("fleet: a lookup that is not open was ended: " + id)
	}
	l.Ended, l.End = true, n.w.Now
	delete(n.lookups, id)
	for i := range l.parts {
		delete(n.parts, fmt.Sprintf("%s/%d", id, i))
	}
	return l
}

func (n floor) Answer(id string, whole bool) {
	n.trace(fmt.Sprint("answer ", id, whole))
	l := n.end(id)
	l.Answered, l.Whole = true, whole
}

func (n floor) Reject(id string, wait int64) {
	n.trace("bounce " + id)
	n.end(id).Bounced = true
}

func (n floor) Fail(id string) {
	n.trace("fail " + id)
	n.end(id)
}

func (n floor) Cancel(string, int) {}
func (n floor) CloseIdle(string)   {}
func (n floor) Subscribe()         {}
func (n floor) Note(string)        {}
func (n floor) SetTimer(after int64, whose mixer.TimerHandler) {
	m := n.M
	n.w.After(after, func() {
		if n.M == m || m == nil {
			whose.HandleTimer(n.w.Now)
		}
	})
}
