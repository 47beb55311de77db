package several

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestFindsWhatIsPlanted has the verdict fail: each world breaks one rule, by a part of it that is made to.
func TestFindsWhatIsPlanted(t *testing.T) {
	lies := func(effect string) func(string, object) { // a mixer that is told another tariff
		return func(_ string, s object) { s["Profiles"].([]object)[2]["Effect"] = effect }
	}
	untold := Step{"searchers of a drain, and agents that know it tell nobody", func(w *World) error {
		for _, s := range w.Searchers[:2] {
			s.mu.Lock()
			s.draining = time.Now()
			s.mu.Unlock()
			for _, m := range w.Mixers {
				m.Agent.mu.Lock()
				m.Agent.told[s.Name] = time.Now()
				m.Agent.mu.Unlock()
			}
		}
		return nil
	}}
	lose := Step{"connections of clients end, as if mixers ended them", func(w *World) error {
		err := w.Until("parts are out", func() error {
			w.Book.mu.Lock()
			defer w.Book.mu.Unlock()
			out := 0
			for _, all := range w.Book.parts {
				if a := all[len(all)-1]; a.runs && a.answered.IsZero() && !a.given {
					out++
				}
			}
			if out < 8 {
				return fmt.Errorf("%d are", out)
			}
			return nil
		})
		if err != nil {
			return err
		}
		for _, wire := range w.net.wires {
			if matches("*-front", wire.from) {
				wire.reset()
			}
		}
		return nil
	}}
	copied := Holds("a late part has had its copy", func(w *World) error {
		w.Book.mu.Lock()
		defer w.Book.mu.Unlock()
		for _, all := range w.Book.parts {
			for i, a := range all {
				if slices.ContainsFunc(all[:i], func(o *arrival) bool { return w.Book.twice(o, a) }) {
					return nil
				}
			}
		}
		return fmt.Errorf("none has")
	})
	for _, c := range []struct {
		rule  string
		setup Setup
		plan  []Step
	}{
		{"a lookup has one final answer", Setup{}, []Step{Wire("a-m0", "a-front", Fault{Again: true}), Served("b", 20)}},
		{"a lookup has one final answer", Setup{Work: 200 * time.Millisecond, Cores: 64, Rate: 30}, []Step{Served("*", 10), lose, Served("*", 10)}},
		{"a once-only part runs at most once", Setup{Change: lies("retryable"), Work: 100 * time.Millisecond, Rate: 30}, []Step{
			Served("*", 10), Reset("*", "a-s*"), Served("*", 10), Reset("*", "b-s*"), Served("*", 10), Reset("*", "a-s*"),
			Served("*", 10)}},
		{"a part is not sent twice at once", Setup{Change: func(_ string, s object) {
			s["PolicyLimits"].(object)["MayDuplicate"] = true
			s["PolicyLimits"].(object)["Cancel"] = false // else the first is given up once the other is in, and no more out
		}, Rate: 30}, []Step{Served("*", 20), Work("a-s0", time.Second), copied}},
		{"no cold searcher is pushed over", Setup{Rate: 20, FallMultiple: 0.05, ColdFor: 20 * time.Second,
			Change: func(_ string, s object) {
				s["Guarantees"] = object{"ColdFrom": 1.0, "ColdMs": 1.0, "FallMultiple": 100.0, "FallMs": 1000.0}
			}}, []Step{Served("*", 10), KillSearchers("*-s0"), StartSearchers("a-s0"), Holds("it falls", func(w *World) error {
			s := w.Searchers[0]
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.fallen {
				return fmt.Errorf("%s stands", s.Name)
			}
			return nil
		})}},
		{"nothing new goes to a draining searcher", Setup{Grace: time.Millisecond}, []Step{Served("*", 10), untold, Served("*", 20)}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			c.setup.Sites, c.setup.Mixers = []string{"a", "b"}, 2
			if v := play(t, c.setup, c.plan); v.Rules[c.rule] == nil {
				t.Errorf("not found")
			}
		})
	}
}
