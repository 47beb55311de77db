package routing

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/mixer"
)

// TestWatchedForward has a forward's outcome told to who watches it: when it comes, however it does, at once where it has come, and no
// more after that was ended.
func TestWatchedForward(t *testing.T) {
	for how, end := range map[string]func(g *rig, f *Forward){
		"reported": func(_ *rig, f *Forward) { f.Report(mixer.ConnectionReset, nil) },
		"due": func(g *rig, f *Forward) {
			g.r.mu.Lock()
			defer g.r.mu.Unlock()
			g.r.run(f, f.HandleTimer)
		},
		"lookup gone": func(g *rig, f *Forward) {
			g.r.mu.Lock()
			defer g.r.mu.Unlock()
			g.r.run(f, func(int64) { f.slot.t.close() })
		},
	} {
		t.Run(how, func(t *testing.T) {
			g := newRig(t, 1)
			g.list(true)
			f := g.pick(g.take("a", 1)).Calls[0].Forwards[0]
			var told, late atomic.Int32
			over, other := func() { told.Add(1) }, func() { late.Add(1) }
			f.Watch(&over)
			if told.Load() != 0 {
				t.Error("told before its time")
			}
			end(g, f)
			if told.Load() != 1 || !f.Over() {
				t.Errorf("told %d times, over %v", told.Load(), f.Over())
			}
			if f.Watch(&other); late.Load() != 1 {
				t.Errorf("who comes later is told %d times", late.Load())
			}
			f.Report(mixer.Succeeded, nil)
			if told.Load() != 1 || late.Load() != 1 {
				t.Error("a second outcome is told")
			}
		})
	}
	g := newRig(t, 1)
	g.list(true)
	f := g.pick(g.take("a", 1)).Calls[0].Forwards[0]
	over := func() { t.Error("told though that was ended") }
	f.Watch(&over)
	f.Watch(nil)
	f.Report(mixer.ConnectionReset, nil)
}

// TestWatchRacesOutcome has watching and the outcome come together: it is always told.
func TestWatchRacesOutcome(t *testing.T) {
	for range 300 {
		g := newRig(t, 1)
		g.list(true)
		f := g.pick(g.take("a", 1)).Calls[0].Forwards[0]
		told := make(chan bool, 2)
		over := func() { told <- true }
		var wg sync.WaitGroup
		wg.Go(func() { f.Watch(&over) })
		wg.Go(func() { f.Report(mixer.ConnectionReset, nil) })
		wg.Wait()
		select {
		case <-told:
		case <-time.After(5 * time.Second):
			t.Fatal("not told")
		}
	}
}
