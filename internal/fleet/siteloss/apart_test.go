package siteloss

import (
	"math"
	"testing"
)

// scene plays a mixer of site 0 of three by what it sees and what others say of site 1, until all has stood.
type scene struct {
	e            Evidence
	silent       bool // no mixer of site 1 is heard
	other        Kind // what site 2 says of it
	own          Kind // what another mixer of ours says
	alone        bool
	steps        int
	heardThrough bool // site 1's mixers speak, by others
}

func (c scene) play(t *testing.T) Verdict {
	terms := terms(0, 3)
	terms.Alone = c.alone
	s, err := New(0, terms, 1)
	if err != nil {
		t.Fatal(err)
	}
	var v Verdict
	for i := 1; i <= 10+max(c.steps, 40); i++ {
		now, e, silent, other, own := int64(i)*tick, Evidence{Answered: 9}, false, Sound, Sound
		if i > 10 {
			e, silent, other, own = c.e, c.silent, c.other, c.own
		}
		in := Inputs{Sites: []Evidence{{Answered: 9}, e, {Answered: 9}}}
		if !c.alone {
			heard := now
			if silent {
				heard = 10 * tick
			}
			in.Mixers = []Mixer{{Life: 2, Site: 0, Heard: now}, {Life: 3, Site: 1, Heard: heard}, {Life: 4, Site: 2, Heard: now}}
			in.Reports = Reports{{Life: 2, Views: []Kind{Sound, own, Sound}}, {Life: 4, Views: []Kind{Sound, other, Sound}}}
			if !silent || c.heardThrough {
				in.Reports = in.Reports.Join(Reports{{Life: 3, Views: []Kind{Sound, Sound, Sound}}})
			}
		}
		v = s.Step(now, in).Sites[1]
	}
	return v
}

func TestToldApart(t *testing.T) {
	sure, gone := Evidence{Answered: 9}, Evidence{Lost: 9}
	for name, c := range map[string]struct {
		scene
		kind          Kind
		declared, out bool
	}{
		"sound":                  {scene{e: Evidence{Answered: 9}}, Sound, false, false},
		"slow":                   {scene{e: Evidence{Answered: 4, Late: 3, Lost: 4}}, Slow, false, false},
		"the list is late":       {scene{e: Evidence{Answered: 9, ListAge: 99 * tick}}, ListLate, false, false},
		"lost":                   {scene{e: gone, silent: true, other: Lost, own: Lost}, Lost, true, true},
		"lost, by the list too":  {scene{e: Evidence{Listed: 4}, silent: true, other: Lost, own: Lost}, Lost, true, true},
		"no majority of our own": {scene{e: gone, silent: true, other: Lost, own: Sound}, Unsure, false, false},
		"only the line":          {scene{e: gone, silent: true, other: Sound, own: Lost}, LineCut, false, true},
		"it speaks by others":    {scene{e: gone, silent: true, other: Unsure, own: Lost, heardThrough: true}, LineCut, false, true},
		"its mixers":             {scene{e: sure, silent: true, other: MixersGone, own: MixersGone}, MixersGone, true, false},
		"its searchers":          {scene{e: gone, other: SearchersGone, own: SearchersGone}, SearchersGone, true, true},
		"alone":                  {scene{e: gone, alone: true}, Lost, true, true},
		"alone and sound":        {scene{e: Evidence{Answered: 1, Lost: 2}, alone: true}, Slow, false, false},
		"lost, nothing sent":     {scene{silent: true, other: Lost, own: Lost}, Lost, true, true},
		"lost for ever":          {scene{e: gone, silent: true, other: Lost, own: Lost, steps: 64*40 + 20}, Forgotten, true, true},
		"one that hears nothing": {scene{silent: true, other: Sound, own: Sound}, Unsure, false, false},
		"it answers us":          {scene{e: Evidence{Answered: 9}, other: Lost, own: Lost}, Sound, false, false},
	} {
		if v := c.play(t); v.Kind != c.kind || v.Declared != c.declared || v.Out() != c.out || v.Reason == "" {
			t.Errorf("%s: %+v, out %v", name, v, v.Out())
		}
	}
}

// Bad terms are no start: a quorum needs three sites.
func TestTermsAreChecked(t *testing.T) {
	for i, bad := range []Terms{{}, terms(0, 2), terms(3, 3), terms(0, MaxSites+1), {Sites: 3, Every: 1, Expected: 1, Warming: 1}} {
		if _, err := New(0, bad, 1); err == nil {
			t.Error(i, "is taken")
		}
	}
}

// Demand is planned from the declaration on, and not for what chance makes of it; what cells bear follows holders and work.
func TestForeseeAndBearing(t *testing.T) {
	flow := func(rate float64) []Flow { return []Flow{{Slices: []int{0}, Rate: rate, Work: 0.02}} }
	for _, c := range []struct{ before, now, want float64 }{{90, 60, 90}, {90, 95, 90}, {90, 200, 180}} {
		if got := Foresee(flow(c.before), flow(c.now), 2)[0].Rate; math.Abs(got-c.want) > 0.02*c.want {
			t.Errorf("before %v, now %v: %v planned for", c.before, c.now, got)
		}
	}
	b, now := NewBearing(1, 1e9), int64(0)
	learn := func(work, late, holders float64, steps int) float64 {
		for range steps {
			now += 1e9
			b.Learn(now, []Served{{work, late, holders}})
			holders = 1
		}
		return b.Bears()[0]
	}
	if got := learn(9, 0, 1, 20); got < 9.5 || got > 10.6 {
		t.Errorf("while it serves 9: %v", got)
	}
	was := b.Bears()[0]
	learn(6, 0.5, 1, 2) // late, since a third went and nobody has said so
	if got := learn(6, 0.5, 2.0/3, 1); math.Abs(got-was*2/3) > 1e-9 {
		t.Errorf("two thirds of %v are left: %v", was, got)
	}
	if got := learn(6, 0.5, 1, 20); got >= was*2/3 || got < 6 {
		t.Errorf("late all the time: %v", got)
	}
}
