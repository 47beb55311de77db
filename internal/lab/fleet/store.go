package fleet

import (
	"math/rand"
	"slices"

	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// Store is a shared store with its troubles, as mixers see it: a key for each mixer, which ends by itself.
type Store struct {
	Stalled bool  // takes nothing and answers nothing
	Drops   bool  // carries out what it is sent, and answers nothing
	Delay   int64 // of an answer, ns; later than sharing.Late is as none
	keys    map[string]entry
	kept    map[string]entry
}

type entry struct {
	raw   []byte
	sheet *sharing.Sheet // as read from raw, once for all that read it
	end   int64
}

func newStore() *Store { return &Store{Delay: ms, keys: map[string]entry{}} }

// Keep keeps the state as it is, for Restore.
func (s *Store) Keep() {
	s.kept = map[string]entry{}
	for k, e := range s.keys {
		s.kept[k] = e
	}
}

// Restore has the store start again with the state that was kept; its keys live as long as they did then.
func (s *Store) Restore(now int64) {
	s.Clear()
	for k, e := range s.kept {
		s.keys[k] = entry{e.raw, e.sheet, now + sharing.Lease}
	}
}

// Clear has it start again empty.
func (s *Store) Clear() { s.keys = map[string]entry{} }

// names gives whose keys there are, in order.
func (s *Store) names(now int64) (names []string) {
	for k, e := range s.keys {
		if e.end > now {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	return names
}

// share starts a mixer's rounds with the store.
func (n *Node) share() {
	w := n.w
	rng := rand.New(rand.NewSource(w.Seed*15485863 + int64(n.Index)*17 + int64(n.life)))
	n.Board = sharing.NewBoard(w.Now, n.Name, n.Zone, rng.Uint64())
	n.Circuit = sharing.NewCircuit(rng.Float64)
	n.M.Hold(w.Now + sharing.GivenUp)
	life := n.life
	var round func()
	round = func() {
		if n.life != life {
			return
		}
		if !n.Paused {
			n.round()
		}
		w.After(sharing.Round, round)
	}
	w.After(1+rng.Int63n(sharing.Round), round)
}

func (n *Node) own() (all []mixer.Observation) {
	n.M.Tell(n.w.Now, sharing.GivenUp, func(o mixer.Observation) { all = append(all, o) })
	return all
}

// retell hands the module what is believed and lent now.
func (n *Node) retell() {
	if n.Board != nil {
		n.M.Told(n.w.Now, n.Board.Words(n.w.Now, n.own()))
	}
}

// round tells and hears once.
func (n *Node) round() {
	w, s := n.w, n.w.Store
	sheet := n.Board.Compose(w.Now, n.own())
	n.retell() // what is lent is given up before it is written
	if n.Liar != nil {
		n.Liar(sheet)
	}
	if !n.Circuit.May(w.Now) {
		return
	}
	if w.Reaches != nil && !w.Reaches(n.Index) || s.Stalled {
		w.After(sharing.Late, func() { n.Circuit.Done(w.Now, sharing.Late+1, false) })
		return
	}
	raw, err := sheet.Append()
	if err != nil {
		panic(err)
	}
	board, delay, drops := n.Board, s.Delay, s.Drops
	w.After(max(delay/2, 1), func() { // when the store carries it out
		read, err := sharing.ReadSheet(raw)
		if err != nil {
			panic(err)
		}
		s.keys[n.Name] = entry{raw, read, w.Now + 2*sharing.Lease}
		var all []entry
		for _, name := range s.names(w.Now) {
			if name != n.Name {
				all = append(all, s.keys[name])
			}
		}
		n.Bytes += len(raw)
		w.After(max(delay-delay/2, 1), func() {
			ok := delay <= sharing.Late && !drops
			n.Circuit.Done(w.Now, delay, ok)
			if !ok || n.Board != board || n.Paused {
				return
			}
			for _, e := range all {
				n.Bytes += len(e.raw)
				n.Board.Receive(w.Now, e.sheet)
			}
			n.retell()
		})
	})
}
