package sites

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// The router asks for spots under its own lock while a list is taken: each searcher that stays is in its old site or its new one at any
// moment, and the sites' figures are of one list.
func TestListsAreTakenBesideQuestions(t *testing.T) {
	now := int64(time.Hour)
	e := newEyes(func() int64 { return now }, siteloss.Terms{Expected: ms}, []string{"a", "b"})
	const n = 1000
	list := func(zone string, whole bool) (l protocol.MemberList) {
		l.Snapshot = whole
		for i := range n {
			l.Members = append(l.Members, protocol.Member{Entry: routing.Entry{Searcher: fmt.Sprint("s", i), Zone: zone}, Address: fmt.Sprint(i)})
		}
		return l
	}
	lists := []protocol.MemberList{list("a", true), list("b", false), list("a", false), list("b", true)}
	e.Listed(lists[0])
	var all sync.WaitGroup
	done := make(chan struct{})
	all.Go(func() {
		defer close(done)
		for i := range 40 {
			e.Listed(lists[i%len(lists)])
		}
	})
	asked := 0
	for ended := false; !ended; asked++ {
		select {
		case <-done:
			ended = true
		default:
		}
		if at := e.Spot(fmt.Sprint("s", asked%n)); at < 0 {
			t.Fatalf("s%d is in no site", asked%n)
		} else {
			e.Outcome(at, mixer.Succeeded, 1)
		}
		if got, _ := e.evidence(now); got[0].Listed+got[1].Listed < n || got[0].Live+got[1].Live != n {
			t.Fatalf("of two lists at once: %+v", got)
		}
	}
	all.Wait()
	if at := e.Spot("s7"); at != 1 {
		t.Errorf("at the end in site %d", at)
	}
}
