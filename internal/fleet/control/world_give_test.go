package control

import (
	"fmt"
	"slices"
)

// request is a version that waits at a relay for answers.
type request struct {
	at, life   int // tick, and life of the relay
	relay      int
	q          uint64
	doc        string
	bad, epoch bool
	most       Stamp // the greatest that a majority of the relays held at the time
	lives      [relays]int
	done, ok   bool
}

const patience = 12 // ticks

// ask has a relay ask the others for a version to be given.
func (w *world) ask(i int, bad, epoch bool) *request {
	n := w.nodes[i]
	if n.paused {
		return &request{done: true}
	}
	w.given++
	q := &request{at: w.at, life: n.lives, relay: i, doc: fmt.Sprintf(`{"v":%d}`, w.given), bad: bad, epoch: epoch}
	var held []Stamp
	for j, o := range w.nodes[:relays] {
		held, q.lives[j] = append(held, o.relay.table.Settings()), o.lives
	}
	slices.SortFunc(held, Stamp.Compare)
	q.most = held[relays-(relays/2+1)]
	w.lately(i)
	q.q = n.relay.Ask(w.now())
	w.asks = append(w.asks, q)
	return q
}

// give has a relay give a version, and waits for what becomes of it.
func (w *world) give(i int, bad, epoch bool) bool {
	q := w.ask(i, bad, epoch)
	for !q.done && w.wrong == "" {
		w.step()
	}
	return q.ok
}

// lately checks that whom a relay says to hear was reached within Away.
func (w *world) lately(i int) {
	n := w.nodes[i]
	names, _ := n.relay.Contact(w.now())
	for _, name := range names {
		j := slices.IndexFunc(seats, func(s Seat) bool { return s.Name == name })
		if n.heard[j]*int(tick) > int(Away+tick) {
			w.fail("%s says to hear %s, not reached for %d ticks", n.name, name, n.heard[j])
		}
	}
}

// answer gives a version that has waited, where that may be by now, and checks that it might: a majority must have been reached since
// the question, and have been heard out in this life; and the version must go beyond all that the relay was told, and beyond what
// a majority held at the question, unless one of the relays has lost that since.
func (w *world) answer(q *request) {
	n := w.nodes[q.relay]
	if q.done = n.lives != q.life || w.at-q.at > patience; q.done || n.paused {
		return
	}
	w.lately(q.relay)
	row, err := n.relay.Give(w.now(), q.q, []byte(q.doc), nil, q.epoch)
	if err != nil {
		return
	}
	s := row.Stamp
	q.done, q.ok = true, true
	w.note("%s gives %v, bad %v, after %d ticks", n.name, s, q.bad, w.at-q.at)
	if was := w.docs[s]; was != "" {
		w.fail("%s numbers %v twice", n.name, s)
	}
	w.docs[s], w.bad[s] = q.doc, q.bad
	reached, exchanged, kept := 1, 1, true
	for j, o := range w.nodes[:relays] {
		if kept = kept && o.lives == q.lives[j]; j != q.relay {
			reached += truth(w.at-n.heard[j] > q.at)
			exchanged += truth(n.exchanged[j])
		}
	}
	if reached < 2 || exchanged < 2 {
		w.fail("%s gives %v, having reached %d since it asked, having exchanged with %d", n.name, s, reached, exchanged)
	}
	if s.Compare(n.has) <= 0 || s.Compare(n.told) <= 0 {
		w.fail("%s gives %v beside %v and %v", n.name, s, n.has, n.told)
	}
	if kept && s.Compare(q.most) <= 0 {
		w.fail("%s gives %v, and a majority held %v when it asked", n.name, s, q.most)
	}
	n.has = s
	n.newest[s] = true
}
