package mixer

import (
	"testing"
)

func TestFastFailureDrawsNoPicks(t *testing.T) {
	w := warmed(t, 5, 3)
	w.box["box1"].broken = 2
	before := len(w.forwards)
	for range 20 {
		l := w.take(0, 3, 0, 4000*ms, false)
		if w.run(w.now + 300*ms); !l.answeredWhole {
			t.Error("a lookup was not served")
		}
	}
	if asked := len(w.forwards) - before; asked > 10 {
		t.Errorf("%d forwards failed in 20 lookups beside two sound searchers", asked)
	}
}

// A searcher that falls silent is left and, once it answers again, comes back: sooner where a copy may back its tests.
func TestSilentSearcherIsLeft(t *testing.T) {
	for _, copies := range []bool{true, false} {
		w := start(t, 6, 3, func(c *Config) { c.Cells, c.MayCopy, c.MayCancel = 1, copies, !copies })
		w.warmUp(10)
		w.box["box1"].broken = 1
		late := w.late(3, 300*ms)
		if copies && late > 3 || !w.m.searchers["box1"].suspect {
			t.Errorf("copies %v: %d of 20 lookups waited for a silent searcher", copies, late)
		}
		w.box["box1"].broken = 0
		before := w.closed
		w.warmUp(map[bool]int{true: 60, false: 100}[copies])
		if w.closed == before {
			t.Errorf("copies %v: it was tested on a connection that may be silent by itself", copies)
		}
		if w.m.searchers["box1"].suspect {
			t.Errorf("copies %v: a searcher that answers again is still suspect", copies)
		}
	}
}

// Where no second copies are allowed, a part that waits in vain at a silent searcher is withdrawn there and served
// elsewhere in time; the world fails the test should two forwards of a part be out at once.
func TestWhatWaitsInVainIsRecalled(t *testing.T) {
	late := 0
	for seed := range int64(6) {
		w := start(t, seed, 3, func(c *Config) { c.Cells, c.MayCopy, c.MayCancel = 1, false, true })
		w.warmUp(10)
		w.box["box1"].broken = 1
		for range 20 {
			l := w.take(0, 3, 0, 4000*ms, false)
			if w.run(w.now + 2000*ms); !l.answeredWhole {
				late++
			}
		}
		if !w.m.searchers["box1"].suspect {
			t.Error("a silent searcher whose parts are all withdrawn is not suspect")
		}
	}
	if late > 3 {
		t.Errorf("%d of 120 lookups were not served beside one silent searcher of three", late)
	}
}

// TestSuspectsAreTestedInTime has a searcher fail for a while, on fleets of two paces: it is back within a share of the
// expected time, however long that is.
func TestSuspectsAreTestedInTime(t *testing.T) {
	for seed := range int64(12) {
		expected := []int64{1000 * ms, 4000 * ms}[seed%2]
		w := start(t, seed, 1, func(c *Config) { c.Cells, c.Tariffs[0].Expected = 1, expected })
		w.warmUp(10)
		w.box["box0"].broken = 2
		w.late(1, 1500*ms)
		w.box["box0"].broken = 0
		if !w.m.searchers["box0"].suspect {
			t.Fatal("a searcher that always fails is not suspect")
		}
		from := w.now
		for w.m.searchers["box0"].suspect && w.now < from+20000*ms {
			w.take(0, 1, 0, 4000*ms, false)
			w.run(w.now + 50*ms)
		}
		if took := w.now - from; took > 5*expected {
			t.Errorf("a searcher that is well again is missed for %d ms, expected time %d ms", took/ms, expected/ms)
		}
	}
}

// TestErringHoldersServeOn has three of four holders err half of the time, at a load that the fourth cannot bear alone: what
// they do answer is not passed over, and once they are well none is.
func TestErringHoldersServeOn(t *testing.T) {
	var lost [2]int
	for seed := range int64(6) {
		w := warmed(t, seed, 4)
		for phase, how := range []int{5, 0} {
			for _, box := range []string{"box0", "box1", "box2"} {
				w.box[box].broken = how
			}
			var all []*seen
			for range 250 {
				all = append(all, w.take(0, 1, 0, 4000*ms, false))
				w.run(w.now + 20*ms)
			}
			w.run(w.now + 2000*ms)
			for _, l := range all {
				if !l.answeredWhole {
					lost[phase]++
				}
			}
		}
	}
	if lost[0] > 120 || lost[1] > 3 {
		t.Errorf("of 1500 lookups %d were not served while holders err, and %d of 1500 after", lost[0], lost[1])
	}
}

// TestLastResortIsNoTest has one holder fail always and the other half of the time, so that many parts go to the first because
// nobody else is left. That is no test: it must not use up those that find it well again.
func TestLastResortIsNoTest(t *testing.T) {
	w, over := warmed(t, 6, 2), 0.0
	w.box["box0"].broken, w.box["box1"].broken = 2, 5
	for range 250 {
		w.take(0, 1, 0, 4000*ms, false)
		w.run(w.now + 40*ms)
		over = max(over, w.m.tests.Read(w.now, halfLife)-max(testFloor, testShare*w.m.sent.Read(w.now, halfLife)))
	}
	if over > 1 {
		t.Errorf("%.1f tests more were counted than are allowed", over)
	}
}

func TestSlowPartIsNoSilence(t *testing.T) {
	w := warmed(t, 11, 1)
	w.box["box0"].free = [2]int64{w.now + 500*ms, w.now + 500*ms} // five times what forwards take
	l := w.take(0, 1, 0, 4000*ms, false)
	for w.run(w.now + 10*ms); !l.ended; w.run(w.now + 10*ms) {
		if w.m.searchers["box0"].suspect {
			t.Fatal("one slow part made its searcher suspect")
		}
	}
}

func TestLostMessageIsSentAgain(t *testing.T) {
	w := warmed(t, 10, 2)
	w.breakAll(1)
	w.m.copies.Add(w.now, 1e6, halfLife) // no allowance is left for what is merely late
	l := w.take(0, 1, 0, 4000*ms, false)
	w.breakAll(0)
	if w.run(w.now + 740*ms); !l.ended {
		t.Error("a lost message held its lookup until its searcher was suspect")
	}
}

func TestTimeOutsAreRemembered(t *testing.T) {
	w := warmed(t, 13, 3)
	w.box["box1"].free = [2]int64{w.now + 3000*ms, w.now + 3000*ms}
	w.take(0, 3, 0, 4000*ms, false)
	w.run(w.now + 3000*ms)
	for w.m.searchers["box1"].suspect {
		w.warmUp(1)
	}
	again := 0
	for range 10 {
		w.take(0, 2, 0, 4000*ms, false)
		again += w.m.searchers["box1"].calls
		w.run(w.now + 300*ms)
	}
	if again > 2 {
		t.Errorf("a searcher that timed out was the first choice %d of 10 times soon after", again)
	}
}

func TestLostWithItsProcess(t *testing.T) {
	w := newWorld(t, 9, plain(func(c *Config) { c.Cells = 1 }))
	rows := boxes(2, 1)
	w.list(true, rows[0])
	w.box["box0"].broken = 1
	l := w.take(0, 1, 0, 4000*ms, false)
	w.list(true, rows[1])
	w.run(w.now + 200*ms)
	if !l.answeredWhole {
		t.Error("a part out at a searcher that is gone was not sent elsewhere at once")
	}
}

func TestDroppedConnectionsAreClosed(t *testing.T) {
	w := warmed(t, 12, 3)
	w.breakAll(4)
	if late := w.late(2, 3000*ms); late > 6 {
		t.Errorf("%d of 20 lookups waited for connections dropped unseen", late)
	}
}

// TestLateIsNotLost has every eighth part take long, on sound searchers: that says nothing of their connections.
func TestLateIsNotLost(t *testing.T) {
	w := warmed(t, 17, 3)
	for i := range 160 {
		if i%8 == 0 {
			for _, b := range w.box {
				b.free = [2]int64{w.now + 500*ms, w.now + 500*ms}
			}
		}
		w.take(0, 1, 0, 4000*ms, false)
		w.run(w.now + 800*ms)
	}
	if w.closed > 8 {
		t.Errorf("idle connections were closed %d times, though none was dropped", w.closed)
	}
}

// The link to a zone is cut: from the fifth lookup on hardly a part is sent there.
func TestSilentZoneIsLeft(t *testing.T) {
	sent := 0
	for seed := range int64(10) {
		w, there := zones(seed, t)
		for _, id := range there {
			w.box[id].broken = 1
		}
		for i := range 12 {
			w.take(0, 2, w.rng.Intn(20), 4000*ms, false)
			counts, _ := w.counts()
			for _, n := range counts[20:] {
				sent += n * min(i/4, 1)
			}
			w.run(w.now + 2000*ms)
		}
	}
	if sent > 32 {
		t.Errorf("%d of 160 parts sent to a zone that was silent", sent)
	}
}

// A zone that answers, but much later than others, is left as a silent one is, and used again once it is in time.
func TestLateZoneIsLeft(t *testing.T) {
	late, back := 0, 0
	for seed := range int64(10) {
		w, there := zones(seed, t)
		far := func(d int64) {
			for _, id := range there {
				w.box[id].far = d
			}
		}
		far(1900 * ms)
		for i := range 30 {
			l := w.take(0, 6, w.rng.Intn(20), 4000*ms, false)
			if w.run(w.now + 500*ms); !l.ended && i >= 6 {
				late++
			}
		}
		far(0)
		for range 40 {
			w.take(0, 6, w.rng.Intn(20), 4000*ms, false)
			w.run(w.now + 500*ms)
		}
		if !w.m.zones["there"].silent() {
			back++
		}
	}
	if late > 6 || back < 9 {
		t.Errorf("%d of 240 lookups waited for a zone that was late; %d of 10 were back in 20 s", late, back)
	}
}

// zones gives a world of two zones whose mixer knows what forwards take, and the boxes of the second.
func zones(seed int64, t *testing.T) (w *world, there []string) {
	w = newWorld(t, seed, plain(func(c *Config) { c.Cells = 20 }))
	rows := boxes(40, 20)
	for i := range rows {
		if rows[i].Zone = "here"; i >= 20 {
			rows[i].Zone = "there"
			there = append(there, rows[i].Searcher)
		}
	}
	w.list(true, rows...)
	for range 40 {
		w.take(0, 2, w.rng.Intn(20), 4000*ms, false)
		w.run(w.now + 300*ms)
	}
	return w, there
}

func TestAllLostComesBack(t *testing.T) {
	w := warmed(t, 16, 4)
	w.breakAll(1)
	w.warmUp(100)
	w.breakAll(0)
	w.warmUp(40)
	before := w.answers
	if w.warmUp(10); w.answers < before+9 {
		t.Errorf("%d of 10 lookups served 12 s after all searchers came back", w.answers-before)
	}
}
