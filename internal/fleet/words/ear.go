package words

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"

	"nettlefold/internal/fleet/control"
	"nettlefold/mixer"
)

// Ear is what a mixer has heard of words, from all relays by the one session it has.
type Ear struct {
	relays map[string]*heard
	flaw   faults
}

// heard is what is known of one relay.
type heard struct {
	head  control.Stamp
	known bool  // it has a head
	at    int64 // of the last sign that its words stand, 0: none in this session
	rows  map[string][]entry
	Head
}

// entry is a word with the time when its kind was first heard.
type entry struct {
	Told
	at int64
}

// NewEar makes that of a mixer without a session.
func NewEar() *Ear { return &Ear{relays: map[string]*heard{}} }

// Lost says that the session has ended: its words end with it.
func (e *Ear) Lost() {
	if !e.flaw.forever {
		clear(e.relays)
	}
}

// Take takes rows as they come, settled where all there was when the session opened had been heard before. What comes until then may
// be long over, so a relay's words count only once its head has moved since.
func (e *Ear) Take(now int64, rows []control.Row, settled bool) {
	for _, r := range rows {
		if r.Kind != control.KindWords {
			continue
		}
		name, ok := strings.CutPrefix(r.Name, r.Author)
		if !ok || e.relays[r.Author] == nil && len(e.relays) >= control.MaxSeats {
			continue
		}
		h := e.relays[r.Author]
		if h == nil {
			h = &heard{rows: map[string][]entry{}}
			e.relays[r.Author] = h
		}
		if name == headName {
			h.take(now, r, settled || e.flaw.stale)
			continue
		}
		h.words(now, name, r)
	}
}

// take takes a relay's head.
func (h *heard) take(now int64, r control.Row, settled bool) {
	if h.known && r.Stamp == h.head {
		return
	}
	h.known, h.head, h.Head = true, r.Stamp, Head{}
	if r.Gone || json.Unmarshal(r.Body, &h.Head) != nil || !settled {
		h.at = 0
		return
	}
	h.at = now
}

// words takes a row of a relay's words.
func (h *heard) words(now int64, name string, r control.Row) {
	var all []Told
	if r.Gone || json.Unmarshal(r.Body, &all) != nil || len(all) > perRow || len(h.rows) >= MostWords/perRow && h.rows[name] == nil {
		delete(h.rows, name)
		return
	}
	was := h.rows[name]
	fresh := make([]entry, 0, len(all))
	for _, t := range all {
		if !finite(t.Slow) || !finite(t.Weight) || t.Suspecting < 0 {
			continue
		}
		n := entry{t, now}
		for _, o := range was {
			if o.Searcher == t.Searcher && o.Started == t.Started && o.Kind == t.Kind {
				n.at = o.at
			}
		}
		fresh = append(fresh, n)
	}
	h.rows[name] = fresh
}

func finite(x float64) bool { return x >= 0 && x < 1e9 && !math.IsNaN(x) }

// stands tells whether a relay's words are to be believed.
func (e *Ear) stands(now int64, h *heard) bool {
	return h.at > 0 && now-h.at < Lease || e.flaw.forever && h.known
}

// Standing gives the words that stand, of all relays, and how many stand out beyond them.
func (e *Ear) Standing(now int64) (all []Told, rest int) {
	for _, h := range e.relays {
		if !e.stands(now, h) {
			continue
		}
		rest += h.Rest
		for _, row := range h.rows {
			for _, w := range row {
				all = append(all, w.Told)
			}
		}
	}
	slices.SortFunc(all, func(a, b Told) int {
		return cmp.Or(strings.Compare(a.Searcher, b.Searcher), cmp.Compare(a.Started, b.Started),
			cmp.Compare(rank[a.Kind], rank[b.Kind]), cmp.Compare(a.Say, b.Say), cmp.Compare(a.Slow, b.Slow))
	})
	return all, rest
}

// joined is what relays together say of a process.
type joined struct {
	silentAt, silentUntil int64
	soundAt, soundUntil   int64
	slowAt, slowUntil     int64
	until                 int64
	paces                 []entry
	suspecting            int
}

// Words joins what relays say into what the module is told, in order of the searchers' names. A searcher is silent where one relay's
// quorum says so and none has vouched for it since.
func (e *Ear) Words(now int64) []mixer.PeerReport {
	all := map[process]*joined{}
	for _, h := range e.relays {
		if !e.stands(now, h) {
			continue
		}
		until := h.at + Lease
		if e.flaw.forever {
			until = math.MaxInt64
		}
		for _, row := range h.rows {
			for _, w := range row {
				p := process{w.Searcher, w.Started}
				if all[p] == nil {
					all[p] = &joined{}
				}
				all[p].add(w, until)
			}
		}
	}
	words := make([]mixer.PeerReport, 0, len(all))
	for p, j := range all {
		if w := j.word(); w.Until > now {
			w.Searcher, w.Started = p.searcher, p.started
			words = append(words, w)
		}
	}
	slices.SortFunc(words, func(x, y mixer.PeerReport) int {
		return cmp.Or(strings.Compare(x.Searcher, y.Searcher), cmp.Compare(x.Started, y.Started))
	})
	return words
}

func (j *joined) add(w entry, until int64) {
	j.suspecting += w.Suspecting
	if w.Suspecting > 0 {
		j.until = max(j.until, until)
	}
	switch w.Kind {
	case silent:
		j.silentAt, j.silentUntil = max(j.silentAt, w.at), max(j.silentUntil, until)
	case sound:
		j.soundAt, j.soundUntil = max(j.soundAt, w.at), max(j.soundUntil, until)
	case slow:
		if w.Slow > 0 {
			j.slowAt, j.slowUntil = max(j.slowAt, w.at), max(j.slowUntil, until)
			j.paces = append(j.paces, w)
		}
	}
}

// word is the module's. Answers of the last moment before a word came are newer than what it rests on, so it counts from before them.
func (j *joined) word() (w mixer.PeerReport) {
	w.Until = j.until
	switch {
	case j.silentUntil > 0 && j.soundAt <= j.silentAt:
		w.Silent, w.At, w.Until = true, j.silentAt-recent, j.silentUntil
	case j.soundUntil > 0:
		w.Sound, w.Until = true, j.soundUntil
	}
	if len(j.paces) > 0 && !w.Silent {
		slices.SortFunc(j.paces, func(a, b entry) int { return cmp.Or(cmp.Compare(a.Slow, b.Slow), cmp.Compare(a.Weight, b.Weight)) })
		w.Slow, w.At = j.paces[(len(j.paces)-1)/2].Slow, max(w.At, j.slowAt)
		w.Until = max(w.Until, j.slowUntil)
		for _, p := range j.paces {
			w.Weight += p.Weight
		}
	}
	if j.suspecting > 0 {
		w.Suspecting = (j.suspecting + testers - 1) / testers
	}
	return w
}
