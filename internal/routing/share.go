package routing

import "nettlefold/mixer"

// Word, Own and Standing are the module's, for the layers above.
type (
	Word     = mixer.PeerReport
	Own      = mixer.Observation
	Standing = mixer.SearcherState
)

// Tell gives what this mixer knows of each listed searcher by itself, and the module's time of it. What its cold
// allowances are worth to a borrower holds for the time given, in ns.
func (r *Router) Tell(within int64) (now int64, all []Own) {
	r.call(nil, func(at int64) {
		now = at
		all = make([]Own, 0, r.tells)
		r.m.Observations(at, within, func(o Own) { all = append(all, o) })
		r.tells = len(all)
	})
	return now, all
}

// Use gives what the choice of the searchers to use goes by, of those named that are listed live. So many are gone through under one hold
// of the lock as rows of the list are told.
func (r *Router) Use(searchers []string) []mixer.Usage {
	all := make([]mixer.Usage, 0, len(searchers))
	for len(searchers) > 0 {
		n := min(len(searchers), batch)
		r.call(nil, func(now int64) { r.m.Usage(now, searchers[:n], func(u mixer.Usage) { all = append(all, u) }) })
		searchers = searchers[n:]
	}
	return all
}

// Told hands over what other mixers say and lend, in place of all that was handed over before. It is kept for searchers
// that are listed later, or listed anew, since what was lent of a process must not be forgotten with its line of the list. It waits for
// news of the list that are on their way to the module.
func (r *Router) Told(words []Word) {
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.list.told = words
	r.call(nil, func(now int64) { r.m.UpdatePeerReports(now, words) })
}

// Hold keeps the mixer's own cold allowances back from now on for a time, in ns.
func (r *Router) Hold(within int64) {
	r.call(nil, func(now int64) { r.m.HoldColdAllowance(now + within) })
}

// Now gives the module's time, for what is timed beside it.
func (r *Router) Now() (now int64) {
	r.call(nil, func(at int64) { now = at })
	return now
}

// Standing gives how a searcher stands with this mixer and why, false where it is not listed.
func (r *Router) Standing(searcher string) (st Standing, listed bool) {
	r.call(nil, func(now int64) { st, listed = r.m.SearcherState(now, searcher) })
	return st, listed
}
