package transport

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"

	"pgregory.net/rapid"
)

// tally counts what each forward came to, which it numbers in their order.
type tally struct {
	mu  sync.Mutex
	all [][]mixer.Outcome
}

func (c *tally) Asked() {}
func (c *tally) Spot(string) int16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, nil)
	return int16(len(c.all) - 1)
}
func (c *tally) Outcome(spot int16, o mixer.Outcome, _ int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[spot] = append(c.all[spot], o)
}

// TestStates takes connections through their states in any order, with nobody waiting for anybody: each part comes to one
// outcome, none is told never to have run that the searcher has got, and none is lost unless the searcher broke it off.
func TestStates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var mu sync.Mutex
		var held []toy.Part
		broken := map[*conn]bool{} // connections whose parts may be lost
		far := &toy.Searcher{Handle: func(p toy.Part) {
			mu.Lock()
			defer mu.Unlock()
			held = append(held, p)
		}}
		counts := &tally{}
		rt := routerOf(t, mixer.AtMostOnce, 1, "s") // one try: the next forward is that of the next part
		rt.Eyes = counts
		w := playOn(t, far, quiet, rt)
		defer far.Stop()
		defer w.s.Close()
		next := func() (p toy.Part) { // one that the searcher holds
			mu.Lock()
			defer mu.Unlock()
			if len(held) > 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(r, "part")
				p, held = held[i], append(held[:i:i], held[i+1:]...)
			}
			return p
		}
		var sent []*Parcel
		var spots []int
		lose := func(id string) { // what is on the connection of a part, of any for ""
			for _, p := range sent {
				broken[p.conn] = broken[p.conn] || id == "" || p.Part.ID == id
			}
		}
		list := func(m protocol.Member) {
			m.Searcher = "s"
			w.s.Listed(protocol.MemberList{Members: []protocol.Member{m}})()
		}
		send := func(r *rapid.T) {
			id := string(rune('a'+len(sent)/26)) + string(rune('a'+len(sent)%26))
			counts.mu.Lock()
			spots = append(spots, len(counts.all))
			counts.mu.Unlock()
			ticket, err := rt.Take(routing.Lookup{ID: id, Tariff: "t", Expires: time.Now().Add(5 * time.Second), Parts: []routing.Part{{Weight: 1}}})
			if err != nil {
				r.Skip(err)
			}
			step := pick(t, ticket)
			if len(step.Calls) == 0 { // it holds back
				spots = spots[:len(spots)-1]
				return
			}
			p := &Parcel{Forward: step.Calls[0].Forwards[0], Part: protocol.Part{ID: id + ".0"}}
			sent = append(sent, p)
			w.s.Send("s", rapid.Bool().Draw(r, "fresh"), []*Parcel{p})
		}
		answer := func(*rapid.T) {
			if p := next(); p.Conn != nil {
				p.Answer("ok", "")
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"send": send, "send 2": send, "send 3": send, "answer": answer, "answer 2": answer,
			"give up": func(r *rapid.T) {
				if len(sent) > 0 {
					p := rapid.SampledFrom(sent).Draw(r, "of")
					w.s.Withdraw(p)
					p.Forward.Report(mixer.Cancelled, nil)
				}
			},
			"end": func(r *rapid.T) {
				if len(sent) > 0 {
					p := rapid.SampledFrom(sent).Draw(r, "of")
					w.s.Abandon(map[*routing.Forward]*Parcel{p.Forward: p})
				}
			},
			"arrive": func(*rapid.T) {
				w.until("all is out", func() bool {
					return !slices.ContainsFunc(sent, func(p *Parcel) bool { return !p.Forward.Over() && !w.is(p, written) })
				})
			},
			"move": func(*rapid.T) {
				list(protocol.Member{Address: "127.0.0.1:1"})
				list(protocol.Member{Address: far.Address})
			},
			"restart": func(*rapid.T) { lose(""); list(protocol.Member{StartTime: time.Now()}) },
			"break": func(*rapid.T) {
				if p := next(); p.Conn != nil {
					lose(p.ID)
					p.Conn.Close()
				}
			},
		})
		w.until("no more is to come", func() bool {
			for p := next(); p.Conn != nil; p = next() {
				p.Answer("ok", "")
			}
			counts.mu.Lock()
			defer counts.mu.Unlock()
			for i, p := range sent { // a forward is over just before its outcome is told
				if !p.Forward.Over() || len(counts.all[spots[i]]) == 0 {
					return false
				}
			}
			return true
		})
		frames := "\n" + strings.Join(far.Frames(), "\n")
		counts.mu.Lock()
		defer counts.mu.Unlock()
		for i, p := range sent {
			switch o := counts.all[spots[i]]; {
			case len(o) != 1:
				r.Fatalf("%s: outcomes %v", p.Part.ID, o)
			case o[0].NeverRan() && strings.Contains(frames, "\nQ"+p.Part.ID+" "):
				r.Fatalf("%s: outcome %v, but it is at the searcher", p.Part.ID, o[0])
			case o[0] == mixer.ConnectionReset && !broken[p.conn]:
				r.Fatalf("%s: lost by ourselves", p.Part.ID)
			}
		}
	})
}
