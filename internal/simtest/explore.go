// Package simtest is the kit of tests that try orders of events one by one: a search through every order that a small world allows,
// and a file system that loses and tears what was not synced. Nothing in it sleeps or opens a socket.
package simtest

import "fmt"

// World is a state that a search goes on from. Its choices are numbered; each gives another world.
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

// Search tries all orders, shortest first, until a rule is broken or so many states were seen.
func Search(start World, most int) Result {
	type node struct {
		world  World
		parent int
		name   string
	}
	nodes := []node{{start, -1, ""}}
	seen := map[string]bool{start.Fingerprint(): true}
	for at := 0; at < len(nodes); at++ {
		world := nodes[at].world
		if err := world.Check(); err != nil {
			result := Result{States: len(nodes), Broken: err}
			for i := at; nodes[i].parent >= 0; i = nodes[i].parent {
				result.Path = append([]string{nodes[i].name}, result.Path...)
			}
			return result
		}
		for choice := range world.Choices() {
			next := world.Next(choice)
			if print := next.Fingerprint(); !seen[print] {
				if len(nodes) >= most {
					return Result{States: len(nodes)}
				}
				seen[print] = true
				nodes = append(nodes, node{next, at, world.Name(choice)})
			}
		}
		nodes[at].world = nil // only its way is needed any more
	}
	return Result{States: len(nodes), Whole: true}
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
