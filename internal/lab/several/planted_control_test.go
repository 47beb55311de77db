package several

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nettlefold/internal/fleet/control"
)

// lyingRelay stands in for a control relay: it tells the one row that it was handed, whatever others have, and numbers alone.
type lyingRelay struct {
	mu     sync.Mutex
	row    control.Row
	number uint64
}

func (l *lyingRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/rows":
		w.Header().Set("X-Control-Life", "1")
		out, told := http.NewResponseController(w), false
		for {
			l.mu.Lock()
			row := l.row
			l.mu.Unlock()
			line := []byte{}
			if row.Name != "" && !told || r.URL.Query().Get("as") == "relay" && !told {
				p := control.Piece{Index: 1, Snapshot: true, Rows: []control.Row{}}
				if row.Name != "" {
					p.Rows = append(p.Rows, row)
				}
				line, _ = json.Marshal(p)
				told = true
			}
			if _, err := w.Write(append(line, '\n')); err != nil || out.Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	case "/control/self":
		w.WriteHeader(http.StatusNoContent)
	case "/control/status":
		json.NewEncoder(w).Encode(control.Status{Majority: 2})
	case "/control/versions":
		l.mu.Lock()
		defer l.mu.Unlock()
		l.number++
		fmt.Fprintf(w, `{"epoch":1,"number":%d,"author":"a-r0","held":1}`, 1000+l.number)
	}
}

// tells has the stand-in tell a version of a plan.
func (l *lyingRelay) tells(name string) Step {
	return step(func(w *World) error {
		s, err := w.given.stamp(name)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.row = control.Row{Kind: control.KindSettings, Name: "settings", Stamp: s, Body: json.RawMessage(w.given.versions[name].Body)}
		return err
	}, "a stand-in of a control relay tells %s", name)
}

// TestFindsWhatIsPlantedInVersions has the verdict fail: each world breaks one rule of the control tier, by a part of it that is
// made to.
func TestFindsWhatIsPlantedInVersions(t *testing.T) {
	t.Parallel()
	few := make(chan struct{}, 2) // worlds at a time, beside those of the plans: a machine has to run them
	old, minority := &lyingRelay{}, &lyingRelay{}
	stands := func(l *lyingRelay) func(string) http.Handler {
		return func(relay string) http.Handler {
			if relay == "a-r0" {
				return l
			}
			return nil
		}
	}
	lies := func(mixer string, lie func(*Standing)) func(string, *Standing) { // once it has any version in force
		return func(name string, s *Standing) {
			if name == mixer && s.InForce != (control.Stamp{}) {
				lie(s)
			}
		}
	}
	asked := 0
	var claimed atomic.Pointer[control.Stamp]
	claims := step(func(w *World) error {
		s, err := w.given.stamp("first")
		claimed.Store(&s)
		return err
	}, "a-m0 claims the first version")
	first := Give("b-r0", "first", Half(0.3))
	told := Holds("a-m0 has told of a version", func(w *World) error {
		w.given.mu.Lock()
		defer w.given.mu.Unlock()
		if w.given.last["a-m0"].InForce == (control.Stamp{}) {
			return errors.New("of none")
		}
		return nil
	})
	for _, c := range []struct {
		rule  string
		setup Setup
		plan  []Step
	}{
		{ruleAgree, Setup{StandIn: stands(old)}, []Step{first, old.tells("first"), InForce("*", "first"),
			Give("b-r0", "next", Half(0.5)), InForce("!a", "next"), Agree()}},
		{ruleMinority, Setup{StandIn: stands(minority)}, []Step{Cut("a", "!a"), GiveToMinority("a-r0", Half(0.3))}},
		{ruleUnder, Setup{Lie: func(mixer string, s *Standing) {
			if c := claimed.Load(); mixer == "a-m0" && c != nil {
				s.InForce = *c
			}
		}}, []Step{Cut("a-m0", "*-r0"), Alone("a-m0"), first, InForce("!a", "first"), claims, InForce("*", "first"), Under("*", "first")}},
		{ruleBack, Setup{Lie: lies("a-m0", func(s *Standing) {
			if asked++; asked > 3 {
				s.InForce = control.Stamp{}
			}
		})}, []Step{first, told, Holds("a-m0 has told of none again", func(w *World) error {
			w.given.mu.Lock()
			defer w.given.mu.Unlock()
			if w.given.last["a-m0"].InForce != (control.Stamp{}) {
				return errors.New("of one")
			}
			return nil
		})}},
		{ruleRejected, Setup{Lie: lies("a-m0", func(s *Standing) { s.Rejected = s.InForce })}, []Step{first, InForce("*", "first")}},
		{ruleGiven, Setup{Lie: lies("a-m0", func(s *Standing) { s.InForce.Number += 7 })}, []Step{first, told}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			few <- struct{}{}
			defer func() { <-few }()
			c.setup.Mixers, c.setup.Relays, c.setup.Limit = 1, 1, 15*time.Second
			if v := play(t, c.setup, c.plan); v.Rules[c.rule] == nil {
				t.Errorf("not found")
			}
		})
	}
}
