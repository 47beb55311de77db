package main

import (
	"testing"
	"time"

	"nettlefold/example/toy"
)

// TestLostPartsAreChosenForByTheNewList has one message of the list name a searcher's process as no more while a part is
// out there, and the slice's other holder as draining: the part is lost, and must not go on to that one by the list of before.
func TestLostPartsAreChosenForByTheNewList(t *testing.T) {
	w := prepare(t)
	w.settings["PolicyLimits"].(object)["MayDuplicate"] = false
	held := make(chan toy.Part, 9)
	for _, s := range w.searchers[:2] {
		s.Handle = func(p toy.Part) { held <- p }
	}
	w.start()
	got := make(chan reply, 1)
	go func() { got <- w.ask("a", "all", 0) }()
	<-held
	old, other := w.searchers[0], w.searchers[1]
	if calls(old) == 0 {
		old, other = other, old
	}
	e := old.Entry("SERVING")
	e.Since = float64(time.Now().UnixMilli() + 1)
	m := changed(2, other.Entry("DRAINING"))
	m.Endpoints = append(m.Endpoints, e)
	w.list.Say(m)
	<-got // with no answer: what matters is who was asked
	if n := calls(other); n > 0 {
		t.Errorf("the draining searcher has got %d calls", n)
	}
}
