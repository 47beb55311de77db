package measure

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"nettlefold/internal/lab/capacity"
	"nettlefold/internal/lab/fanout"
)

// What the model's claims allow.
const (
	agreeDelays = 1.25 // module over model and the other way round, delay's 50th and 99th percentile
	agreeLoad   = 1.5  // the same of the load's deviation
	agreeBusy   = 1.1  // own parts out, over meeting rate times the part's mean delay
	worstShare  = 1.1  // mixers of the searcher that most use, over what is expected of the worst
	rush        = 1.5  // worst searcher's load in the second after a zone is lost, over its worst second before
	coldBeyond  = 0.05 // of cold searchers' seconds, those with more than N + 2√N + 2: two deviations leave 0.023
	coldMost    = 2.0  // what a cold searcher is sent in a second, over what it bears then: FallMultiple
	idleKept    = 26250 * time.Millisecond
	handshake   = time.Millisecond
)

// modelPlan is how large the model is played.
type modelPlan struct {
	cells     int // 0: the whole size is not played
	scale     int
	sizes     []int // of subsets, 0: whole
	side      []int // those at half and one and a half of the traffic
	trouble   []int
	checks    []int // those that the module is played with
	check     fanout.Fleet
	shareOver int // cells over which shares are counted
}

func modelPlanOf(quick bool) modelPlan {
	p := modelPlan{cells: int(capacity.Parts), scale: 1, sizes: []int{4, 8, 16, 32, 64, 0}, side: []int{8, 16, 64, 0},
		trouble: []int{4, 16, 64, 0}, checks: []int{4, 16, 0}, check: fanout.Planned(2), shareOver: 8}
	// A fortieth of the mixers, a quarter of the holders; meetings are as often, searchers as busy as a slot allows.
	p.check.Mixers, p.check.Holders, p.check.Slots, p.check.Queries = 160, 105, 1, p.check.Queries/4
	p.check.Warm, p.check.Length = 10*time.Second, 10*time.Second
	if quick {
		p.cells, p.scale, p.shareOver = 0, 10, 1
		p.sizes, p.side, p.trouble, p.checks = []int{4, 8, 16, 0}, nil, []int{4, 16, 0}, []int{8, 0}
		p.check = fanout.Planned(2).Scaled(10)
		p.check.Mixers, p.check.Slots, p.check.Warm, p.check.Length = 60, 1, 5*time.Second, 5*time.Second
		p.check.Queries *= 2
	}
	return p
}

func subsetName(d int) string {
	if d == 0 {
		return "whole"
	}
	return strconv.Itoa(d)
}

// fanoutModel plays the fleet's model: whole beside subsets, against the module, and in trouble.
func fanoutModel(p modelPlan) (tables []Table, claims []Claim, err error) {
	add := func(t Table, c []Claim, e error) {
		if err == nil {
			tables, claims, err = append(tables, t), append(claims, c...), e
		}
	}
	t, c, worst := modelPlain(p)
	add(t, c, nil)
	add(modelShares(p))
	add(modelTrouble(p, worst))
	add(modelCold(p))
	add(modelChecked(p))
	if p.cells > 0 && err == nil {
		add(modelWhole(p))
	}
	return tables, claims, err
}

func milli(d time.Duration) string { return fmt.Sprintf("%.3g", d.Seconds()*1e3) }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

// sound claims what holds of every play: each part that was sent is answered or out, and own counts are what is out, then nothing.
func sound(name string, o *fanout.Outcome) []Claim {
	return []Claim{{fmt.Sprintf("%s: %d parts sent, %d answered, %d out, %d counted by the mixers, %d counted once all are answered", name,
		o.Sent, o.Answered, o.Out, o.Counted, o.Stuck), o.Sent > 0 && o.Out == o.Counted && o.Stuck == 0 && o.Sent == o.Answered}}
}

// modelPlain plays plain days by subset and traffic. It gives the worst second by subset at the plan's traffic.
func modelPlain(p modelPlan) (t Table, claims []Claim, worst map[int]float64) {
	t.Header = []string{"traffic", "subset", "part 50", "99", "99.9", "99.99", "query 50", "99 (ms)", "load ±", "worst", "worst second",
		"own part there", "λs", "used", "conns a mixer", "if even", "conns a searcher", "worst", "new a s, mixer", "searcher"}
	type play struct {
		load   float64
		subset int
		fleet  fanout.Fleet
		*fanout.Outcome
	}
	var plays []play
	for _, load := range []float64{1, 0.5, 1.5} {
		sizes := p.side
		if load == 1 {
			sizes = p.sizes
		}
		for _, d := range sizes {
			f := fanout.Planned(1).Scaled(p.scale)
			f.Subset, f.Queries, f.Idle, f.Handshake = d, f.Queries*load, idleKept, handshake
			f.Warm, f.Length = 28*time.Second, 6*time.Second
			plays = append(plays, play{load, d, f, nil})
		}
	}
	parallel(len(plays), func(i int) {
		plays[i].Outcome = plays[i].fleet.Play()
		fmt.Fprintf(progress, "model: subset %s, traffic %.1f\n", subsetName(plays[i].subset), plays[i].load)
	})
	worst = map[int]float64{}
	for _, o := range plays {
		f, all, cells := o.fleet, int(capacity.Parts), capacity.Parts
		d := f.Queries / f.Meets()
		theory := f.Meets() * o.Part.Mean().Seconds()
		t.Rows = append(t.Rows, []string{fmt.Sprint(o.load), subsetName(o.subset), milli(o.Part.At(0.5)), milli(o.Part.At(0.99)),
			milli(o.Part.At(0.999)), milli(o.Part.At(0.9999)), milli(o.Part.Longest(all, 0.5)), milli(o.Part.Longest(all, 0.99)),
			percent(o.Load.Deviation / o.Load.Mean), fmt.Sprintf("%.2f", o.Load.Worst/o.Load.Mean), fmt.Sprintf("%.2f", o.Worst),
			percent(o.Busy), percent(theory), percent(o.Met), fmt.Sprintf("%.0f", cells*o.ConnsMixer),
			fmt.Sprintf("%.0f", cells*d*(1-math.Exp(-f.Meets()*idleKept.Seconds()))), fmt.Sprintf("%.0f", o.ConnsSearcher.Mean),
			fmt.Sprintf("%.0f", o.ConnsSearcher.Worst), fmt.Sprintf("%.0f", cells*o.New),
			fmt.Sprintf("%.1f", o.New*float64(f.Mixers)/float64(f.Holders))})
		name := fmt.Sprintf("model, subset %s, traffic %v", subsetName(o.subset), o.load)
		claims = append(claims, sound(name, o.Outcome)...)
		claims = append(claims, Claim{fmt.Sprintf("%s: share of pairs with a part out, %.4f, is meeting rate times delay, %.4f, to %.2f", name,
			o.Busy, theory, agreeBusy), near(o.Busy, theory, agreeBusy)})
		if o.load == 1 {
			worst[o.subset] = o.Worst
		}
	}
	return t, claims, worst
}

// near tells whether two figures are within a factor.
func near(a, b, factor float64) bool { return a > 0 && b > 0 && a <= b*factor && b <= a*factor }

// modelShares counts by how many mixers each searcher is used, beside the binomial law.
func modelShares(p modelPlan) (Table, []Claim, error) { return sharesOf(p, fanout.Rendezvous) }

func sharesOf(p modelPlan, choose fanout.Chooser) (t Table, claims []Claim, err error) {
	t.Header = []string{"mixers of a searcher by subset", "mean", "deviation", "binomial", "worst", "expected", "worst over mean"}
	f := fanout.Planned(p.shareOver).Scaled(p.scale)
	var sizes []int
	for _, d := range p.sizes {
		if d > 0 {
			sizes = append(sizes, d)
		}
	}
	for i, counts := range fanout.Shares(choose, f.Mixers, f.Cells, f.Holders, sizes) {
		l, theory := fanout.LoadOf(counts), fanout.SharesInTheory(f.Mixers, len(counts), f.Holders, sizes[i])
		t.Rows = append(t.Rows, []string{strconv.Itoa(sizes[i]), fmt.Sprintf("%.1f", l.Mean), fmt.Sprintf("%.1f", l.Deviation),
			fmt.Sprintf("%.1f", theory.Deviation), fmt.Sprint(l.Worst), fmt.Sprintf("%.0f", theory.Worst), fmt.Sprintf("%.2f", l.Worst/l.Mean)})
		claims = append(claims, Claim{fmt.Sprintf("subset %d: the searcher that most mixers use has %.0f of them, at most %.2f times %.0f",
			sizes[i], l.Worst, worstShare, theory.Worst), l.Worst <= worstShare*theory.Worst})
	}
	return t, claims, nil
}

// modelTrouble loses a zone, and restarts all searchers in an hour and in ten minutes.
func modelTrouble(p modelPlan, before map[int]float64) (Table, []Claim, error) {
	return troubleOf(p, before, fanout.Rendezvous)
}

func troubleOf(p modelPlan, before map[int]float64, choose fanout.Chooser) (t Table, claims []Claim, err error) {
	t.Header = []string{"subset", "worst second before", "worst in the second after a zone of 8 is lost", "part 99 then (ms)",
		"cold, restarts in an hour", "in ten minutes"}
	type play struct{ zone, hour, ten *fanout.Outcome }
	plays := make([]play, len(p.trouble))
	parallel(3*len(plays), func(i int) {
		f, to := fanout.Planned(1).Scaled(p.scale), &plays[i/3]
		f.Subset, f.Choose = p.trouble[i/3], choose
		switch i % 3 {
		case 0:
			f.Warm, f.Length = 10*time.Second, time.Second
			f.Zones, f.LostAt, f.Notice = 8, f.Warm, 300*time.Millisecond
			to.zone = f.Play()
		case 1:
			f.Length, f.Restarts = 20*time.Second, time.Hour
			f.Down, f.ColdFor = 5*time.Second, 10*time.Second
			to.hour = f.Play()
		case 2:
			f.Length, f.Restarts = 20*time.Second, 10*time.Minute
			f.Down, f.ColdFor = 5*time.Second, 10*time.Second
			to.ten = f.Play()
		}
		fmt.Fprintf(progress, "model, in trouble: subset %s, %d of 3\n", subsetName(p.trouble[i/3]), i%3+1)
	})
	mean := fanout.Planned(1).Scaled(p.scale)
	fair := mean.Queries * float64(mean.Mixers) / float64(mean.Holders)
	for i, d := range p.trouble {
		o := plays[i]
		after := o.zone.Load.Worst / fair
		t.Rows = append(t.Rows, []string{subsetName(d), fmt.Sprintf("%.2f", before[d]), fmt.Sprintf("%.2f", after), milli(o.zone.Part.At(0.99)),
			fmt.Sprintf("%.2f", o.hour.ColdWorst), fmt.Sprintf("%.2f", o.ten.ColdWorst)})
		claims = append(claims, Claim{fmt.Sprintf("subset %s: worst searcher in the second after a zone is lost has %.2f times the mean before, "+
			"at most %.1f times the worst second before, %.2f", subsetName(d), after, rush, before[d]), after <= rush*before[d]})
		cold := max(o.hour.ColdWorst, o.ten.ColdWorst)
		claims = append(claims, Claim{fmt.Sprintf("subset %s: a cold searcher is sent %.2f times what it bears in a second, at most %.1f",
			subsetName(d), cold, coldMost), cold > 0 && cold <= coldMost})
	}
	return t, claims, nil
}

// modelCold restarts searchers of fleets of few and of many mixers that send as much together.
func modelCold(p modelPlan) (t Table, claims []Claim, err error) {
	t.Header = []string{"mixers", "subset", "cold searchers' seconds", "beyond N + 2√N + 2", "worst, over what it bears"}
	f := fanout.Planned(1)
	each := f.Queries * float64(f.Mixers) / float64(f.Holders)
	f.Holders, f.Length, f.Restarts, f.Down, f.ColdFor = 42, 20*time.Second, 2*time.Minute, 5*time.Second, 10*time.Second
	if p.cells == 0 {
		f.Holders, f.Slots, each = 21, f.Slots/4, each/4
	}
	type play struct {
		fanout.Fleet
		o *fanout.Outcome
	}
	var plays []play
	for _, mixers := range []int{30, 300, int(capacity.Mixers)} {
		for _, d := range []int{4, 0} {
			f := f
			f.Mixers, f.Subset, f.Queries = mixers, d, each*float64(f.Holders)/float64(mixers)
			plays = append(plays, play{Fleet: f})
		}
	}
	parallel(len(plays), func(i int) { plays[i].o = plays[i].Play() })
	for _, l := range plays {
		o := l.o
		t.Rows = append(t.Rows, []string{strconv.Itoa(l.Mixers), subsetName(l.Subset), strconv.Itoa(o.ColdSeconds), strconv.Itoa(o.ColdBeyond),
			fmt.Sprintf("%.2f", o.ColdWorst)})
		claims = append(claims, Claim{fmt.Sprintf("%d mixers, subset %s of %d: %d of %d seconds of cold searchers have more than N + 2√N + 2, "+
			"at most %.2f of them", l.Mixers, subsetName(l.Subset), l.Holders, o.ColdBeyond, o.ColdSeconds, coldBeyond),
			o.ColdSeconds > 0 && float64(o.ColdBeyond) <= coldBeyond*float64(o.ColdSeconds)})
	}
	return t, claims, nil
}

// modelChecked plays the model and the module at one size.
func modelChecked(p modelPlan) (t Table, claims []Claim, err error) {
	f := p.check
	t.Header = []string{fmt.Sprintf("%d mixers, %d cells of %d", f.Mixers, f.Cells, f.Holders), "subset", "part 50", "99", "99.9", "query 50",
		"99 (ms)", "load ±", "worst", "own part there", "used"}
	row := func(who string, d int, o *fanout.Outcome) {
		t.Rows = append(t.Rows, []string{who, subsetName(d), milli(o.Part.At(0.5)), milli(o.Part.At(0.99)), milli(o.Part.At(0.999)),
			milli(o.Query.At(0.5)), milli(o.Query.At(0.99)), percent(o.Load.Deviation / o.Load.Mean),
			fmt.Sprintf("%.2f", o.Load.Worst/o.Load.Mean), percent(o.Busy), percent(o.Met)})
	}
	type play struct {
		model, module, one *fanout.Outcome
		err, oneErr        error
	}
	plays := make([]play, len(p.checks))
	parallel(len(plays), func(i int) {
		f := f
		f.Subset, f.OwnOrder = p.checks[i], true
		plays[i].model = f.Play()
		if plays[i].module, plays[i].err = f.PlayModule(); f.Subset == 0 {
			f.OwnOrder = false
			plays[i].one, plays[i].oneErr = f.PlayModule()
		}
		fmt.Fprintf(progress, "model beside the module: subset %s\n", subsetName(p.checks[i]))
	})
	for i, d := range p.checks {
		o := plays[i]
		if o.err != nil {
			return t, claims, o.err
		}
		row("model", d, o.model)
		row("module", d, o.module)
		if o.one != nil {
			row("module, all told the list in one order", d, o.one)
			if o.oneErr != nil {
				fmt.Fprintln(progress, o.oneErr)
			}
		}
		claims = append(claims, agree(d, o.model, o.module)...)
	}
	return t, claims, nil
}

// agree claims that the model gives what the module does.
func agree(d int, model, module *fanout.Outcome) (claims []Claim) {
	for _, share := range []float64{0.5, 0.99} {
		a, b := model.Part.At(share), module.Part.At(share)
		claims = append(claims, Claim{fmt.Sprintf("subset %s: the %vth percentile of a part's delay is %s ms in the model, %s ms with the module, "+
			"within %.2f", subsetName(d), 100*share, milli(a), milli(b), agreeDelays), near(a.Seconds(), b.Seconds(), agreeDelays)})
	}
	a, b := model.Load.Deviation/model.Load.Mean, module.Load.Deviation/module.Load.Mean
	return append(claims, Claim{fmt.Sprintf("subset %s: the load's deviation is %s in the model, %s with the module, within %.1f",
		subsetName(d), percent(a), percent(b), agreeLoad), near(a, b, agreeLoad)})
}

// modelWhole plays all mixers, searchers and cells, for a short while: how far the plays of one cell tell of it.
func modelWhole(p modelPlan) (t Table, claims []Claim, err error) {
	t.Header = []string{"subset", "cells", "parts", "part 50", "99", "99.9", "query 50", "99 (ms)", "load ±", "worst"}
	for _, d := range []int{16, 0} {
		var cut, all *fanout.Outcome
		for _, cells := range []int{1, p.cells} {
			f := fanout.Planned(cells)
			f.Subset, f.Warm, f.Length = d, time.Second/4, time.Second/4
			o := f.Play()
			name := fmt.Sprintf("model, subset %s, %d cells", subsetName(d), cells)
			fmt.Fprintln(progress, name)
			claims = append(claims, sound(name, o)...)
			q50, q99 := o.Query.At(0.5), o.Query.At(0.99)
			if cells == 1 {
				cut, q50, q99 = o, o.Part.Longest(p.cells, 0.5), o.Part.Longest(p.cells, 0.99)
			}
			all = o
			t.Rows = append(t.Rows, []string{subsetName(d), strconv.Itoa(cells), strconv.FormatUint(o.Part.Count(), 10), milli(o.Part.At(0.5)),
				milli(o.Part.At(0.99)), milli(o.Part.At(0.999)), milli(q50), milli(q99), percent(o.Load.Deviation / o.Load.Mean),
				fmt.Sprintf("%.2f", o.Load.Worst/o.Load.Mean)})
		}
		for _, share := range []float64{0.5, 0.99} {
			a, b := cut.Part.Longest(p.cells, share), all.Query.At(share)
			claims = append(claims, Claim{fmt.Sprintf("subset %s: a query's %vth percentile by one cell is %s ms, by all %d %s ms, within %.2f",
				subsetName(d), 100*share, milli(a), p.cells, milli(b), agreeDelays), near(a.Seconds(), b.Seconds(), agreeDelays)})
		}
	}
	return t, claims, nil
}
