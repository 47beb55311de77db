package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"nettlefold/example/toy"
)

// TestLostPartsAreChosenForByTheNewList has one message of the list name a searcher's process as no more while a part is
// out there, and the slice's other holder as draining: the part is lost, and must not go on to that one by the list of before.
// Parts are known to take long, so that the one which is out is not given up before the list is heard, but 5 times that later.
func TestLostPartsAreChosenForByTheNewList(t *testing.T) {
	const took = 400 * time.Millisecond
	w := unhurried(t, took)
	w.settings["PolicyLimits"].(object)["MayDuplicate"] = false
	held := make(chan toy.Part, 1)
	for _, s := range w.searchers[:2] {
		s.Handle = func(p toy.Part) {
			if strings.HasPrefix(p.ID, "lost") {
				select {
				case held <- p: // the first is never answered
					return
				default:
				}
			}
			time.AfterFunc(took, func() { p.Answer("ok", p.Value()) })
		}
	}
	w.start()
	var warm sync.WaitGroup
	for i := range 8 {
		warm.Go(func() {
			if r := w.ask(fmt.Sprint("warm", i), "all", 0); r.status != http.StatusOK {
				t.Errorf("a lookup before is answered %d", r.status)
			}
		})
	}
	warm.Wait()
	got := make(chan reply, 1)
	w.left = "3000"
	go func() { got <- w.ask("lost", "all", 0) }()
	w.until("the part is out", func() bool { return len(held) == 1 })
	sent := func(s *toy.Searcher) (n int) {
		for _, f := range s.Frames() {
			if strings.HasPrefix(f, "Qlost.0 ") {
				n++
			}
		}
		return n
	}
	old, other := w.searchers[0], w.searchers[1]
	if sent(old) == 0 {
		old, other = other, old
	}
	e := old.Entry("SERVING")
	e.Since = float64(time.Now().UnixMilli() + 1)
	m := changed(2, other.Entry("DRAINING"))
	m.Endpoints = append(m.Endpoints, e)
	w.list.Say(m)
	<-got // with no answer: what matters is who was asked
	if n := sent(other); n > 0 {
		t.Errorf("the part was sent to the draining searcher %d times", n)
	}
}
