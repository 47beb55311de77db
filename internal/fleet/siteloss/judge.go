package siteloss

// presence is what is known of a site's mixers.
type presence struct {
	known  int   // in the roster
	here   bool  // one was heard lately
	silent bool  // none was, and we were there to hear
	at     int64 // when one was last heard
}

// heard gives what is known of each site's mixers.
func (s *State) heard(now int64, in Inputs) []presence {
	all := make([]presence, s.terms.Sites)
	for _, m := range in.Mixers {
		if m.Site < 0 || m.Site >= len(all) {
			continue
		}
		p := &all[m.Site]
		p.known++
		if m.Standing != Gone {
			p.at = max(p.at, m.Heard)
		}
	}
	for i := range all {
		p := &all[i]
		p.here = p.known > 0 && p.at > 0 && now-p.at <= s.terms.quiet()
		p.silent = !p.here && now-max(p.at, s.awake) > s.terms.quiet()
	}
	all[s.terms.Own].here, all[s.terms.Own].silent = true, false // we are one of them
	return all
}

// judge brings up to date what this mixer itself says of a site.
func (s *State) judge(now int64, i int, e Evidence, p presence) {
	r, t := &s.rows[i], s.terms
	raw := s.raw(now, r, e, p)
	if raw != r.raw {
		r.raw, r.since = raw, now
	}
	stood := now - r.since
	hold := t.hold()
	if s.flaw.noHold {
		hold = 0
	}
	gone := r.gone()
	switch raw {
	case Lost, MixersGone, SearchersGone:
		r.good = now
		if raw == Lost && now-s.taken <= t.fresh() {
			break // what we last took back may still be counted somewhere: no other word beside it
		}
		if raw != r.view && stood >= hold {
			r.view = raw
		}
	case Unsure:
		r.good = now
		if !gone && r.view != Returning && stood >= hold {
			r.view = Unsure
		}
	case Slow, Sound, ListLate:
		switch {
		case gone && stood >= t.back():
			if r.view == Lost {
				s.taken = now
			}
			r.view, r.good = Returning, now
		case r.view == Returning && now-r.good >= t.Warming && raw != Slow:
			r.view = raw
		case !gone && r.view != Returning && stood >= t.back():
			r.view = raw
		}
		if raw == Slow {
			r.good = now
		}
	}
}

// raw says what the newest evidence shows by itself.
func (s *State) raw(now int64, r *row, e Evidence, p presence) Kind {
	t := s.terms
	answers := e.Answered > 0
	// What was lost while we did not run was not waited for.
	silent := !answers && now-s.awake >= t.Window() && (e.Lost >= few || e.Tried >= few && e.Failed == e.Tried)
	if s.flaw.pauseCounts {
		silent = !answers && e.Lost >= few
	}
	told := e.ListAge <= t.late()
	if !answers && told && e.Listed > 0 && e.Live == 0 {
		silent = true // the list says that none of them lives
	}
	if t.Alone {
		p.here, p.silent = !silent, silent
	}
	switch {
	case answers && p.silent && p.known > 0:
		return MixersGone
	case answers && e.Lost+e.Late > e.Answered-e.Late:
		return Slow
	case answers && !told:
		return ListLate
	case answers:
		return Sound
	case silent && p.here:
		return SearchersGone
	case silent && p.silent:
		return Lost
	case p.here && r.raw == SearchersGone, p.silent && r.raw == Lost, p.silent && r.raw == MixersGone:
		return r.raw // nothing was sent there lately, and nothing speaks against it
	case p.here && r.view == SearchersGone:
		return SearchersGone
	case p.here && !told:
		return ListLate
	case p.here:
		return Sound
	case p.silent && (r.view == Lost || r.view == Returning):
		return Lost
	case p.silent:
		return Unsure
	}
	return r.raw // we have just woken: nothing is known anew
}

// voices are what one site says of all.
type voices struct {
	speaks  bool  // any of its mixers is heard
	mixers  []int // by site: those that have a view of it
	lost    []int // and hold it lost
	no      []int // and hold its searchers gone, or it lost
	mixless []int // and hold its mixers gone, or it lost
}

// decide makes of all that is said what holds.
func (s *State) decide(now int64, in Inputs, heard []presence, out *Outputs) {
	n := s.terms.Sites
	sites := make([]voices, n)
	backing := make([]int, 4*n*n)
	for j := range sites {
		b := backing[4*n*j:]
		sites[j] = voices{mixers: b[:n], lost: b[n : 2*n], no: b[2*n : 3*n], mixless: b[3*n : 4*n]}
	}
	speak := func(site int, views []Kind) {
		v := &sites[site]
		v.speaks = true
		for i, k := range views {
			if i >= n || k == Unsure {
				continue
			}
			v.mixers[i]++
			switch k {
			case Lost:
				v.lost[i]++
				v.no[i]++
				v.mixless[i]++
			case SearchersGone:
				v.no[i]++
			case MixersGone:
				v.mixless[i]++
			}
		}
	}
	speak(s.terms.Own, s.says(now))
	alive := s.reports(in, speak)
	out.Sites = make([]Verdict, n)
	if s.terms.Alone {
		for i := range s.rows {
			s.alone(now, i, &out.Sites[i])
		}
		return
	}
	// A site that holds ours lost too has no voice here: the two would use it against each other.
	count := func(i int, of func(v *voices) int) (votes int) {
		for j := range sites {
			v := &sites[j]
			if i != s.terms.Own && 2*v.lost[s.terms.Own] > v.mixers[s.terms.Own] && !s.flaw.minority {
				continue
			}
			if 2*of(v) > v.mixers[i] {
				votes++
			}
		}
		return votes
	}
	woken := s.woken(now)
	majority := func(votes int) bool { return 2*votes > n && !woken }
	reach := 0
	for j := range sites {
		if j == s.terms.Own || heard[j].here || sites[j].speaks {
			reach++
		}
	}
	lost, declared := make([]int, n), 0
	for i := range lost {
		lost[i] = count(i, func(v *voices) int { return v.lost[i] })
		if s.flaw.heads { // of the mixers there are, not of the sites
			heads, all := 0, 1+len(in.Mixers)
			for j := range sites {
				heads += sites[j].lost[i]
			}
			if lost[i] = 0; 2*heads > all {
				lost[i] = n
			}
		}
		if s.flaw.minority && lost[i] > 0 {
			lost[i] = n
		}
		if majority(lost[i]) {
			declared++
		}
	}
	// Who hears no more than half of the sites, or would hold half of them lost, or is held lost itself, is the one cut off.
	out.CutOff = 2*reach <= n || 2*declared >= n || majority(lost[s.terms.Own])
	if s.flaw.minority {
		out.CutOff = false
	}
	for i := range s.rows {
		no := count(i, func(v *voices) int { return v.no[i] })
		mixless := count(i, func(v *voices) int { return v.mixless[i] })
		against := 0 // other sites that hold it sound
		for j := range sites {
			if j != s.terms.Own && j != i && sites[j].mixers[i] > 0 && 2*sites[j].lost[i] <= sites[j].mixers[i] {
				against++
			}
		}
		v := Verdict{Own: s.rows[i].view}
		switch {
		case out.CutOff:
			v.Kind, v.Reason = v.Own, "own evidence only"
			if v.Own == Lost || v.Own == Unsure {
				v.Kind, v.Reason, v.Votes = WeAreCutOff, "no majority of the sites is heard, or it holds us lost", lost[i]
			}
		case majority(lost[i]):
			v.Kind, v.Declared, v.Votes = Lost, true, lost[i]
			v.Reason = "a majority of the sites hears neither its mixers nor its searchers"
		case i != s.terms.Own && majority(mixless) && !alive[i]:
			v.Kind, v.Declared, v.Votes = MixersGone, true, mixless
			v.Reason = "its searchers answer a majority of the sites, its mixers do not"
		case majority(no):
			v.Kind, v.Declared, v.Votes = SearchersGone, true, no
			v.Reason = "a majority of the sites is not answered by its searchers"
		case v.Own == Lost && (against > 0 || alive[i]), v.Own == SearchersGone && i != s.terms.Own && against > 0,
			v.Own == MixersGone && (against > 0 || alive[i]):
			v.Kind, v.Votes, v.Reason = LineCut, against, "it is silent towards us, other sites are answered or it speaks through them"
		case v.Own == Lost, v.Own == SearchersGone, v.Own == MixersGone:
			v.Kind, v.Votes, v.Reason = Unsure, lost[i], "it is silent towards us, others have not said"
		case v.Own == Unsure:
			v.Kind, v.Reason = Unsure, "too little is known"
		default:
			v.Kind, v.Reason = v.Own, reasons[v.Own]
		}
		s.settle(now, i, &v)
		out.Sites[i] = v
	}
}

// reasons of views that need no quorum.
var reasons = [kinds]string{Sound: "it answers", Slow: "more of its answers are late or missing than in time",
	ListLate: "it answers, the list's word on it is old", Returning: "it was gone and gives signs again"}

// alone decides by own evidence.
func (s *State) alone(now int64, i int, v *Verdict) {
	v.Own = s.rows[i].view
	v.Kind, v.Reason = v.Own, reasons[v.Own]
	if v.Own == Lost || v.Own == SearchersGone {
		v.Kind, v.Declared, v.Votes, v.Reason = Lost, true, 1, "none of its searchers answers us"
	}
	s.settle(now, i, v)
}

// settle carries a verdict on from the one before: what was declared and is no more returns, and what is long lost is forgotten.
func (s *State) settle(now int64, i int, v *Verdict) {
	r := &s.rows[i]
	if v.Declared {
		if !r.returned {
			r.returned, r.lostSince = true, now
		}
		if v.Kind == Lost && now-r.lostSince >= s.terms.forget() {
			v.Kind, v.Reason = Forgotten, "it has been lost for so long that nothing is kept ready for it"
		}
	} else if r.returned && v.Kind != WeAreCutOff {
		switch v.Own {
		case Sound, ListLate, Slow:
			r.returned = false
		default:
			v.Kind, v.Reason = Returning, "it was declared gone, and a majority no longer holds it so"
		}
	}
	v.Since = now
	if r.verdict.Kind == v.Kind && r.verdict.Declared == v.Declared {
		v.Since = r.verdict.Since
	}
	r.verdict = *v
}

// reports has speak hear each report that counts: of a life in the roster that has not left, and young. It tells whose own
// mixers are known to live by that, also where they are heard through others only.
func (s *State) reports(in Inputs, speak func(site int, views []Kind)) (alive []bool) {
	alive = make([]bool, s.terms.Sites)
	site := make(map[uint64]int, len(in.Mixers))
	for _, m := range in.Mixers {
		if m.Standing != Gone && m.Site >= 0 && m.Site < s.terms.Sites {
			site[m.Life] = m.Site
		}
	}
	last := uint64(0)
	for k, r := range in.Reports[:min(len(in.Reports), MaxReports)] {
		if k > 0 && r.Life <= last { // each life has one voice
			continue
		}
		last = r.Life
		at, ok := site[r.Life]
		if !ok || r.Life == s.life || r.Age < 0 || r.Age > s.terms.fresh() {
			continue
		}
		speak(at, r.Views)
		alive[at] = true
	}
	return alive
}
