package sites

import (
	"nettlefold/internal/fleet/siteloss"
	"nettlefold/mixer"
)

// decides has a mixer's decider take its steps, each mixer at its own place in the round.
func (w *World) decides(n *node) {
	if !w.Plan {
		return
	}
	var next func()
	next = func() {
		if n.alive {
			n.decide()
		}
		w.clock.After(w.Every, next)
	}
	w.clock.After(w.Every*int64(n.index+1)/int64(w.Mixers+1), next)
}

// gather gives what the decider goes by. Reports come late by a fifth of a round.
func (n *node) gather() siteloss.Inputs {
	w := n.w
	in := siteloss.Inputs{Sites: make([]siteloss.Evidence, nSites)}
	window := int((2*w.Every + w.Expected) / w.Every)
	for _, round := range n.seen[max(0, len(n.seen)-1-window):] {
		for i, e := range round {
			o := &in.Sites[i]
			o.Answered, o.Late, o.Lost = o.Answered+e.Answered, o.Late+e.Late, o.Lost+e.Lost
		}
	}
	for j, p := range w.board {
		if j == n.index || p.at == 0 {
			continue
		}
		age := w.clock.Now - p.at
		in.Mixers = append(in.Mixers, siteloss.Mixer{Life: p.r.Life, Site: w.nodes[j].site, Heard: p.at})
		r := p.r
		r.Age = age
		in.Reports = append(in.Reports, r)
	}
	return in
}

func (n *node) decide() {
	w := n.w
	in := n.gather()
	out := n.state.Step(w.clock.Now, in)
	anyOut, left := false, 0
	fresh := in.Reports.Older(0, siteloss.Terms{Every: w.Every})
	for site, v := range out.Sites {
		n.leaves[site] = n.paces[site].Step(w.clock.Now, v, in.Sites[site])
		if v.Out() {
			anyOut = true
			if site == 0 && w.Declared[n.index] == 0 && w.clock.Now-w.start >= w.LostAt {
				w.Declared[n.index] = w.clock.Now - w.start
			}
			if v.Declared && (site != 0 || w.clock.Now-w.start < w.LostAt) {
				w.False++
			}
		}
	}
	for _, m := range in.Mixers {
		if w.clock.Now-m.Heard <= 3*w.Every {
			left++
		}
	}
	out.Report.Cells, out.Report.Asked = n.bear(fresh, anyOut), n.demand()
	w.board[n.index] = posted{w.clock.Now, out.Report}
	n.let(anyOut, left == len(in.Mixers), fresh.Asked(out.Report.Asked))
	n.pace(out)
	n.turn()
	n.wasOut = anyOut
}

// bear brings what cells bear up to date, and gives what this mixer shows of them.
func (n *node) bear(fresh siteloss.Reports, anyOut bool) []siteloss.Load {
	w := n.w
	own := make([]siteloss.Load, w.Cells)
	for _, round := range n.loads {
		for c, l := range round {
			own[c].Work += l.Work
			own[c].Late += l.Late
		}
	}
	span := float32(float64(len(n.loads)) * float64(w.Every) / 1e9)
	for c := range own {
		own[c].Work *= float32(float64(work)/1e9) / span
		own[c].Late *= float32(float64(work)/1e9) / span
	}
	served := fresh.Served(own)
	if anyOut && !n.wasOut { // holders left, of those the list has
		for c := range served {
			all, there := 0, 0
			for _, o := range w.searchers {
				if o.cell == c {
					if all++; n.leaves[o.site].Share > 0 {
						there++
					}
				}
			}
			served[c].Holders = float64(there) / float64(all)
		}
	}
	if len(n.loads) >= rounds {
		n.bearing.Learn(w.clock.Now, served)
	}
	return own
}

// demand gives what this mixer is asked a second, by sort and first slice.
func (n *node) demand() []float32 {
	asked := make([]float32, len(n.w.Sorts)*n.w.Cells)
	span := float32(float64(len(n.asked)) * float64(n.w.Every) / 1e9)
	for _, round := range n.asked {
		for k, count := range round {
			asked[k[0]*n.w.Cells+k[1]] += float32(count) / span
		}
	}
	return asked
}

// flows gives rates by sort and first slice as flows.
func (w *World) flows(rates []float64) (flows []siteloss.Flow) {
	for k, rate := range rates {
		sort, first := k/w.Cells, k%w.Cells
		f := siteloss.Flow{Tariff: sort, Rate: rate, Work: float64(work) / 1e9}
		for i := range w.Sorts[sort].parts {
			f.Slices = append(f.Slices, (first+i)%w.Cells)
		}
		flows = append(flows, f)
	}
	return flows
}

// let makes the plan, while a site is out and until the others bear all again.
func (n *node) let(anyOut, allHeard bool, asked []float64) {
	w := n.w
	if !anyOut && n.plan == nil {
		if len(n.asked) >= rounds && allHeard {
			if n.before == nil {
				n.before = asked
			}
			for i := range n.before {
				n.before[i] += 0.05 * (asked[i] - n.before[i])
			}
		}
		return
	}
	whole := true
	for _, l := range n.leaves {
		whole = whole && l.Share >= 1
	}
	if whole {
		n.plan = nil
		return
	}
	if w.clock.Now/w.Every%4 != int64(n.index)%4 && n.wasOut && n.plan != nil {
		return // once a second
	}
	old := n.plan
	span := float64(len(n.asked)) * float64(w.Every) / 1e9
	n.plan = siteloss.Make(w.rules, n.bearing.Bears(), siteloss.Foresee(w.flows(n.before), w.flows(asked), span))
	if n.plan != nil {
		n.plan.Spread = 400 * ms
		n.plan.Follow(old, n.index)
	}
}

// pace tells the module whom it may not meet yet, and who is silent.
func (n *node) pace(out siteloss.Outputs) {
	w := n.w
	var words []mixer.PeerReport
	for _, o := range w.searchers {
		l := n.leaves[o.site]
		if l.Share >= 1 {
			continue
		}
		word := mixer.PeerReport{Searcher: o.name, Started: o.started, At: w.clock.Now, Until: w.clock.Now + 2*w.Every,
			Suspecting: w.Mixers / 8}
		word.Silent = out.Sites[o.site].Out()
		if !l.Meets(o.index) {
			word.AwayUntil = w.clock.Now + 2*w.Every
		}
		words = append(words, word)
	}
	if words != nil {
		n.m.UpdatePeerReports(w.clock.Now, words)
	}
}
