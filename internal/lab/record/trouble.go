package record

import (
	"math"

	"nettlefold/mixer"
)

// serve says when and how an attempt at a searcher ends.
func (w *world) serve(b *box, within int64) (took int64, o mixer.Outcome) {
	fast := b.net + w.rng.Int63n(3*ms)
	if b.Status == mixer.Dead {
		return fast, mixer.Unreachable
	}
	switch b.how {
	case hangs:
		return within, mixer.TimedOut
	case errs:
		return fast, mixer.Failed
	case refuses:
		return fast, mixer.Rejected
	case unreached:
		return min(within, 250*ms), mixer.Unreachable
	case resets:
		return min(within, w.rng.Int63n(200*ms)), mixer.ConnectionReset
	case flaky:
		if w.rng.Intn(2) == 0 {
			return fast, oneOf(w.rng, mixer.Failed, mixer.Rejected, mixer.ConnectionReset)
		}
	case mutes:
		if w.rng.Intn(3) > 0 {
			return within, mixer.TimedOut
		}
	}
	if w.rng.Intn(300) == 0 {
		return 0, mixer.NeverSent
	}
	work := w.rng.ExpFloat64() * float64(w.work) * b.slower * w.slow
	if b.how == crawls {
		work *= 6
	}
	if age := float64(w.now - b.Started); b.Started > 0 && age < float64(w.c.ColdFor) {
		work /= w.c.ColdFrom + (1-w.c.ColdFrom)*max(0, age/float64(w.c.ColdFor))
	}
	first := 0
	for i := range b.free {
		if b.free[i] < b.free[first] {
			first = i
		}
	}
	b.free[first] = max(b.free[first], w.now) + int64(work)
	if took = b.free[first] - w.now + b.net; took > within {
		return within, mixer.TimedOut
	}
	return took, mixer.Succeeded
}

// some gives searchers that are in trouble together: one, a few, a cell, a zone or nearly all.
func (w *world) some() (all []*box) {
	one, share := oneOf(w.rng, w.boxes...), w.rng.Float64()*w.rng.Float64()
	kind := w.rng.Intn(8)
	for _, b := range w.boxes {
		if b == one || kind == 4 && b.Cell == one.Cell || kind == 5 && b.Zone == one.Zone || kind > 5 && w.rng.Float64() < share {
			all = append(all, b)
		}
	}
	return all
}

// listed has the mixer told of some searchers, as they are then.
func (w *world) listed(after int64, boxes ...*box) {
	w.after(after, func() {
		var rows []mixer.Entry
		for _, b := range boxes {
			rows = append(rows, b.Entry)
		}
		w.m.Listed(w.now, rows, false)
	})
}

// whole has it told of all that are not gone, in any order, but for some that are left out now and then.
func (w *world) whole(leftOut float64) {
	var rows []mixer.Entry
	for _, i := range w.rng.Perm(len(w.boxes)) {
		if b := w.boxes[i]; b.Status != mixer.Dead && w.rng.Float64() >= leftOut {
			rows = append(rows, b.Entry)
		}
	}
	w.m.Listed(w.now, rows, true)
}

// lag is how late the list is.
func (w *world) lag() int64 { return oneOf(w.rng, 0, span(w.rng, 0, 300), span(w.rng, 300, 3000)) }

// trouble begins one trouble.
func (w *world) trouble() {
	boxes, lasts := w.some(), span(w.rng, 200, 4000)
	switch w.rng.Intn(14) {
	default: // they fail one way, and are sound again later
		how := 1 + fault(w.rng.Intn(int(faults)-1))
		for _, b := range boxes {
			b.how = how
		}
		w.after(lasts, func() {
			for _, b := range boxes {
				b.how = sound
			}
		})
	case 5, 6: // restarted, with or without a drain
		if w.rng.Intn(2) == 0 {
			w.status(mixer.Draining, boxes)
		}
		w.after(lasts/4, func() {
			for _, b := range boxes {
				b.Started, b.Status, b.how = w.now, mixer.Live, sound
				clear(b.free)
			}
			w.listed(w.lag(), boxes...)
		})
	case 7: // gone for good, and replaced
		w.status(mixer.Dead, boxes)
		for _, b := range boxes {
			next := w.addBox(b.Cell, b.Zone)
			next.Started = w.now + lasts/2
			w.listed(lasts/2+w.lag(), next)
		}
	case 8: // drained, and live again as the same process
		w.status(mixer.Draining, boxes)
		w.after(lasts, func() { w.status(mixer.Live, boxes) })
	case 9: // moved, or resized, with no new process
		for _, b := range boxes {
			b.Zone, b.Size = oneOf(w.rng, "a", "b", "c"), float64(w.rng.Intn(5))/2
		}
		w.listed(w.lag(), boxes...)
	case 10:
		w.whole(oneOf(w.rng, 0, 0.1, 0.4))
		w.after(lasts, func() { w.whole(0) })
	case 11: // the mixer stands still
		w.stalled = w.now + span(w.rng, 50, 900)
	case 12: // a jam, or a lull
		w.slow = oneOf(w.rng, 0.3, 3, 8)
		w.after(lasts, func() { w.slow = 1 })
	case 13: // what nobody has heard of
		w.m.Listed(w.now, []mixer.Entry{{Searcher: "none", Status: mixer.Dead}, {Searcher: "far", Cell: w.c.Cells + 3}, {Searcher: "low", Cell: -1}}, false)
		if w.refuses = !w.refuses; w.c.ListAsked {
			w.m.ListRefused(w.now)
		}
	}
}

// status has searchers change how they stand, told late.
func (w *world) status(s mixer.Status, boxes []*box) {
	for _, b := range boxes {
		b.Status = s
	}
	w.listed(w.lag(), boxes...)
}

// speak has others say something, or ask.
func (w *world) speak() {
	switch w.rng.Intn(12) {
	case 0:
		w.m.Standing(w.now, oneOf(w.rng, w.boxes...).Searcher)
	case 1:
		w.m.Tell(w.now, 500*ms, func(mixer.Observation) {})
	case 2:
		if k := w.m.Keep(w.now); w.rng.Intn(2) == 0 {
			w.m.Resume(w.now, k)
		}
	case 3:
		w.adopt()
	default:
		if w.shares {
			w.words()
		}
	}
}

// words has other mixers say and lend something.
func (w *world) words() {
	var words []mixer.PeerReport
	for _, b := range w.some() {
		o := mixer.PeerReport{Searcher: b.Searcher, Started: b.Started, At: w.now - span(w.rng, 0, 300), Until: w.now + span(w.rng, 0, 1500)}
		if w.rng.Intn(2) == 0 {
			o.Slow, o.Weight = within(w.rng, 0.3, 20), within(w.rng, 0, 20)
		}
		o.Silent, o.Sound, o.Suspecting = w.rng.Intn(4) == 0, w.rng.Intn(4) == 0, w.rng.Intn(6)
		switch w.rng.Intn(4) {
		case 0:
			o.Lent, o.LentUntil = within(w.rng, 0, 4)/1e9, w.now+span(w.rng, 0, 800)
		case 1:
			o.AwayUntil = w.now + span(w.rng, 0, 800)
		}
		words = append(words, o)
	}
	if w.rng.Intn(20) == 0 {
		words = append(words, mixer.PeerReport{Searcher: "none", Until: math.MaxInt64})
	}
	w.m.Told(w.now, words)
}

// adopt puts another version of the settings in force.
func (w *world) adopt() {
	next := w.c
	next.Tariffs = nil
	for _, t := range w.c.Tariffs {
		t.Expected, t.LeastShare = int64(float64(t.Expected)*within(w.rng, 0.7, 1.4)), t.LeastShare*within(w.rng, 0.8, 1)
		t.Patience = max(t.Patience, t.Expected)
		next.Tariffs = append(next.Tariffs, t)
	}
	next.MaxAdvice, next.OverWorth = span(w.rng, 50, 1000), w.rng.Float64()
	w.c = next
	w.m.Adopt(w.now, next)
}
