// Package simtest is the kit of tests that try orders of events one by one: a search through every order that a small world allows,
// and a file system that loses and tears what was not synced. Nothing in it sleeps or opens a socket.
package simtest

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
)

// World is a state that a search goes on from. Its choices are numbered; each gives another world. Methods of different worlds may be
// called at the same time.
type World interface {
	// Choices is how many events may come next.
	Choices() int
	// Next gives the world after an event, and leaves this one as it is.
	Next(choice int) World
	// Name tells an event for the report.
	Name(choice int) string
	// Fingerprint tells worlds apart.
	Fingerprint() string
	// Check gives the rule that is broken, if one is.
	Check() error
}

// Result is what a search met.
type Result struct {
	States int
	Broken error    // the first broken rule
	Path   []string // the events that lead to it
	Whole  bool     // whether every order was tried
}

// digest stands for a fingerprint: searches of millions of states keep nothing longer.
type digest [16]byte

func digestOf(w World) (d digest) {
	sum := sha256.Sum256([]byte(w.Fingerprint()))
	copy(d[:], sum[:])
	return d
}

// node is a state and the event that led to it.
type node struct {
	world  World // nil once it was expanded
	parent int   // -1 for the start
	choice int   // of the parent
}

// successor is a state that an expanded node leads to.
type successor struct {
	world  World
	digest digest
}

// search is what was seen so far; a level is the nodes that are one event further than those of the level before.
type search struct {
	start World
	most  int
	nodes []node
	seen  map[digest]bool
}

// Search tries all orders, shortest first, until a rule is broken or so many states were seen. States of one level are expanded side by
// side and taken in their order, so the result is the same each time.
func Search(start World, most int) Result {
	s := &search{start: start, most: most, nodes: []node{{start, -1, 0}}, seen: map[digest]bool{digestOf(start): true}}
	for from := 0; from < len(s.nodes); {
		to := min(len(s.nodes), from+levelPart)
		expanded, broken := s.expand(from, to)
		for i := range expanded {
			if broken[i] != nil {
				return Result{States: len(s.nodes), Broken: broken[i], Path: s.path(from + i)}
			}
			if !s.add(from+i, expanded[i]) {
				return Result{States: len(s.nodes)}
			}
			s.nodes[from+i].world = nil // only its way is needed any more
		}
		from = to
	}
	return Result{States: len(s.nodes), Whole: true}
}

// levelPart is how many states are expanded before their successors are sifted, which bounds what is held at a time.
const levelPart = 2048

// expand gives the successors of some nodes, and the rule that each of them breaks.
func (s *search) expand(from, to int) (expanded [][]successor, broken []error) {
	expanded, broken = make([][]successor, to-from), make([]error, to-from)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= to-from {
					return
				}
				world := s.nodes[from+i].world
				if broken[i] = world.Check(); broken[i] == nil {
					expanded[i] = successors(world)
				}
			}
		})
	}
	workers.Wait()
	return expanded, broken
}

func successors(world World) []successor {
	all := make([]successor, world.Choices())
	for choice := range all {
		next := world.Next(choice)
		all[choice] = successor{next, digestOf(next)}
	}
	return all
}

// add takes the successors that were not seen before; false if there are too many.
func (s *search) add(parent int, all []successor) bool {
	for choice, next := range all {
		if s.seen[next.digest] {
			continue
		}
		if len(s.nodes) >= s.most {
			return false
		}
		s.seen[next.digest] = true
		s.nodes = append(s.nodes, node{next.world, parent, choice})
	}
	return true
}

// path names the events that lead to a node, by going that way once more.
func (s *search) path(at int) (names []string) {
	var choices []int
	for ; s.nodes[at].parent >= 0; at = s.nodes[at].parent {
		choices = append(choices, s.nodes[at].choice)
	}
	world := s.start
	for i := len(choices) - 1; i >= 0; i-- {
		names = append(names, world.Name(choices[i]))
		world = world.Next(choices[i])
	}
	return names
}

// String tells a result with the way to what broke.
func (r Result) String() string {
	if r.Broken == nil {
		return fmt.Sprintf("%d states, all orders: %v", r.States, r.Whole)
	}
	text := fmt.Sprintf("%v, after", r.Broken)
	for _, name := range r.Path {
		text += "\n  " + name
	}
	return text
}
