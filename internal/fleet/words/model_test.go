package words

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/mixer"
)

// Model of 7 relays with real judges, tables and sessions, and hollow mixers with real sheets, which meet one searcher now and then.
// Times of the module are its own: a lone forward makes suspect after 8 of the usual 100 ms, a suspect is tested after 0.8 s,
// then twice as long each time up to 6.4 s, times the suspects that it is told of.
const (
	perMixer = 0.31 // parts a second that a mixer sends the searcher
	usually  = 100 * ms
	tick     = 50 * ms
	way      = 10 * ms
)

type hollow struct {
	sheets  *Sheets
	relay   int
	phase   int64
	next    int64 // part for the searcher
	out     []int64
	heard   int64
	suspect bool
	wait    int64
	testAt  int64
	word    mixer.PeerReport
}

func (h *hollow) shuns(now int64) bool {
	told := mixer.PeerReport{}
	if now < h.word.Until {
		told = h.word
	}
	if h.suspect {
		return now < h.testAt+h.wait*int64(told.Suspecting)
	}
	return told.Silent && h.heard < told.At
}

type model struct {
	t       *testing.T
	rng     *rand.Rand
	now     int64
	judges  []*Judge
	relays  []*control.Relay
	session []*control.Session
	ears    []*Ear
	seen    []uint64
	mixers  []*hollow
	on      bool
	bytes   []int64 // told to a mixer of each relay
	up      int64   // bytes of sheets
	posts   int64
	took    time.Duration // rounds
	rounds  int
	worst   time.Duration
}

func newModel(t *testing.T, seed uint64, relays, each int, on bool) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: 1000 * second, on: on}
	var seats []control.Seat
	for i := range relays {
		seats = append(seats, control.Seat{Name: fmt.Sprint("r-", i)})
	}
	for i, s := range seats {
		r, err := control.NewRelay(m.now, control.RelayOptions{Name: s.Name, Life: "1", Seats: seats})
		if err != nil {
			t.Fatal(err)
		}
		m.relays, m.judges, m.ears = append(m.relays, r), append(m.judges, NewJudge(s.Name)), append(m.ears, NewEar())
		m.session = append(m.session, control.NewSession(m.now, "m", true, false, 0))
		for n := range each {
			name := fmt.Sprintf("mixer-%d-%d", i, n)
			m.mixers = append(m.mixers, &hollow{sheets: NewSheets(m.now, name, fmt.Sprint("z", n%3), uint64(i*each+n+1)), relay: i,
				phase: m.rng.Int64N(Round), next: m.now + m.gap(), heard: m.now - second})
		}
	}
	m.seen, m.bytes = make([]uint64, relays), make([]int64, relays)
	return m
}

func (m *model) gap() int64 { return int64(m.rng.ExpFloat64() / perMixer * float64(second)) }

const sought = "searcher-00001"

// meet has a mixer meet the searcher until now, which answers or does not.
func (m *model) meet(h *hollow, answers bool) {
	for ; h.next <= m.now; h.next += m.gap() {
		if h.shuns(h.next) {
			continue
		}
		if answers {
			h.heard, h.suspect, h.wait, h.out = h.next, false, 0, nil
			continue
		}
		if h.suspect {
			h.distrust(h.next+8*usually, m.rng)
		} else {
			h.out = append(h.out, h.next)
		}
	}
	silence := int64(0)
	for _, at := range h.out {
		silence += m.now - at
	}
	if !answers && !h.suspect && silence > 8*usually {
		h.suspect = true
		h.distrust(m.now, m.rng)
	}
}

func (h *hollow) distrust(now int64, rng *rand.Rand) {
	h.wait = min(max(2*h.wait, 800*ms), 6400*ms)
	h.testAt, h.out = now+h.wait/2+rng.Int64N(h.wait), nil
}

func (m *model) name(i int) string {
	each := len(m.mixers) / len(m.relays)
	return fmt.Sprintf("mixer-%d-%d", i/each, i%each)
}

// step goes on by a tick.
func (m *model) step(answers bool) {
	m.now += tick
	hands := func(h *hollow) bool { return (m.now-h.phase)%Round < tick }
	doubted := make([][]Told, len(m.ears))
	words := make([]mixer.PeerReport, len(m.ears))
	for i, e := range m.ears {
		doubted[i], _ = e.Standing(m.now)
		for _, w := range e.Words(m.now) {
			if w.Searcher == sought {
				words[i] = w
			}
		}
	}
	for i, h := range m.mixers {
		m.meet(h, answers)
		if !m.on || !hands(h) {
			continue
		}
		if w := words[h.relay]; w.Sound && !h.word.Sound && h.suspect {
			h.wait, h.testAt = 0, m.now
		}
		h.word = words[h.relay]
		own := []mixer.Observation{{Searcher: sought, Started: 1, Heard: h.heard, Suspect: h.suspect}}
		raw, err := h.sheets.Next(m.now, own, doubted[h.relay])
		if err != nil {
			m.t.Fatal(err)
		}
		if raw != nil {
			m.posts++
			m.up += int64(len(raw))
			if err := m.judges[h.relay].Heard(m.now, m.name(i), raw); err != nil {
				m.t.Fatal(err)
			}
		}
	}
	if m.on {
		m.carry()
	}
}

// carry has relays judge, tell each other, and tell a mixer each.
func (m *model) carry() {
	for i, r := range m.relays {
		if (m.now+int64(i)*70*ms)%Round < tick {
			began := time.Now()
			rows := m.judges[i].Round(m.now)
			took := time.Since(began)
			m.took, m.worst = m.took+took, max(m.worst, took)
			m.rounds++
			r.Words(m.now, rows)
		}
	}
	for i, r := range m.relays {
		rows, upto := r.Table().Since(m.seen[i], []string{control.KindWords}, 1000, 1<<20)
		m.seen[i] = upto
		for j, other := range m.relays {
			if i != j {
				other.Table().Merge(rows)
			}
		}
	}
	for i, s := range m.session {
		for {
			p, ok, _ := s.Next(m.now, m.relays[i].Table())
			if !ok {
				break
			}
			raw, err := json.Marshal(p)
			if err != nil {
				m.t.Fatal(err)
			}
			m.bytes[i] += int64(len(raw))
			m.ears[i].Take(m.now+way, p.Rows, !p.Snapshot)
		}
	}
}

// until plays until nine of ten mixers do as is asked, and gives ns from now on; -1: not within a minute.
func (m *model) until(answers bool, is func(h *hollow) bool) int64 {
	began := m.now
	for m.now < began+60*second {
		m.step(answers)
		n := 0
		for _, h := range m.mixers {
			n += truth(is(h))
		}
		if n*10 >= 9*len(m.mixers) {
			return m.now - began
		}
	}
	return -1
}

// TestModel takes a searcher's silence and its return through the relays, and alone.
func TestModel(t *testing.T) {
	t.Parallel()
	for _, each := range []int{60, 900} {
		seeds := 10
		if each == 900 {
			seeds = 2
		}
		var away, back [2][]int64
		var bytes, posts, up, most int64
		var took, worst time.Duration
		rounds := 0
		for seed := range seeds {
			for i, on := range []bool{false, true} {
				m := newModel(t, uint64(seed), 7, each, on)
				for range 4 * second / tick {
					m.step(true)
				}
				m.posts, m.up = 0, 0
				clear(m.bytes)
				a := m.until(false, func(h *hollow) bool { return h.suspect || h.shuns(m.now) })
				began := m.now
				for range 8 * second / tick {
					m.step(false)
				}
				b := m.until(true, func(h *hollow) bool { return !h.suspect && !h.shuns(m.now) })
				away[i], back[i] = append(away[i], a), append(back[i], b)
				if on {
					sum := int64(0)
					for _, n := range m.bytes {
						sum += n
						most = max(most, n*second/(m.now-began+a))
					}
					bytes += sum * second / (m.now - began + a) / int64(len(m.bytes))
					posts += m.posts * 1000 / int64(len(m.mixers))
					up += m.up / int64(len(m.mixers))
					took, rounds, worst = took+m.took, rounds+m.rounds, max(worst, m.worst)
				}
			}
		}
		n := int64(seeds)
		t.Logf("%d mixers a relay, %d seeds: told %s; alone %s", each, seeds, figures(away[1]), figures(away[0]))
		t.Logf("  back: with words %s; alone %s", figures(back[1]), figures(back[0]))
		t.Logf("  a mixer hears %d bytes a second (at most %d), posts %.1f sheets and %d bytes; a round takes %v, at most %v", bytes/n, most,
			float64(posts)/1000/float64(n), up/n, took/time.Duration(rounds), worst)
		if slices.Max(away[1]) > 5*second || slices.Min(away[1]) < 0 || mean(away[1]) >= mean(away[0])/2 {
			t.Errorf("told after %s, alone %s", figures(away[1]), figures(away[0]))
		}
		if slices.Min(back[1]) < 0 || slices.Max(back[1]) > 30*second {
			t.Errorf("back after %s", figures(back[1]))
		}
		if most > control.Rate/4 {
			t.Errorf("%d bytes a second", most)
		}
	}
}

func mean(all []int64) (sum int64) {
	for _, x := range all {
		sum += x
	}
	return sum / int64(len(all))
}

func figures(all []int64) string {
	return fmt.Sprintf("%.2f s (%.2f to %.2f)", float64(mean(all))/1e9, float64(slices.Min(all))/1e9, float64(slices.Max(all))/1e9)
}
