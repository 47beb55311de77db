package transport

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

func listOf(from, to int, whole bool) (l protocol.MemberList) {
	l.Snapshot = whole
	for i := from; i < to; i++ {
		l.Members = append(l.Members, protocol.Member{Entry: routing.Entry{Searcher: fmt.Sprint("s", i)}, Address: fmt.Sprint("a:", i)})
	}
	return l
}

// A long list leaves the lock free after each few searchers; none that it still has is ever taken for gone, in whatever order it has them.
func TestListsHoldTheLockForAFewSearchersOnly(t *testing.T) {
	s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour}, slog.New(slog.DiscardHandler))
	defer s.Close()
	const n = 10 * batch
	rests := 0
	was := map[string]string{}
	changed := 0
	check := func(stay func(i int) bool) func() {
		return func() {
			rests++
			if !s.mu.TryLock() {
				t.Fatal("the lock is held between two batches")
			}
			defer s.mu.Unlock()
			now := 0
			for i := range n {
				name := fmt.Sprint("s", i)
				to := s.all[name]
				if to != nil && to.gone && stay(i) {
					t.Fatalf("%s is taken for gone", name)
				}
				state := "unknown"
				if to != nil {
					state = fmt.Sprint(to.address, to.gone)
				}
				if was[name] != state {
					now++
				}
				was[name] = state
			}
			if rests > 1 {
				changed = max(changed, now)
			}
		}
	}
	for i := range n {
		was[fmt.Sprint("s", i)] = "unknown"
	}
	s.relist(listOf(0, n, true), check(func(int) bool { return true }))
	if rests < 2*n/batch-1 || changed > batch {
		t.Errorf("%d rests in a list of %d, %d changed at once", rests, n, changed)
	}
	rests, changed = 0, 0
	half := listOf(n/2, n, true)
	half.Members[0].Status = mixer.Dead
	s.relist(half, check(func(i int) bool { return i > n/2 }))
	if rests < n/2/batch+n/batch-1 || changed > batch {
		t.Errorf("%d rests in a list of %d after one of %d, %d changed at once", rests, n/2, n, changed)
	}
	for i := range n {
		if to := s.all[fmt.Sprint("s", i)]; to.gone != (i <= n/2) {
			t.Errorf("s%d: gone is %v", i, to.gone)
		}
	}
	s.relist(listOf(0, 1, false), func() { t.Error("one change rests") })
	if s.all["s0"].gone || !s.all["s1"].gone || s.all["s9"].address != "a:9" {
		t.Error("one change has changed another searcher, or not its own")
	}
	s.relist(listOf(0, 2, true), func() {})
	for i := range n {
		if to := s.all[fmt.Sprint("s", i)]; to.gone != (i > 1) {
			t.Errorf("s%d after a list of two: gone is %v", i, to.gone)
		}
	}
}

// A searcher with many connections counts for as many.
func TestConnectionsCountInABatch(t *testing.T) {
	s := NewSearchers(charter.Limits{KeepAliveTimeout: time.Hour}, slog.New(slog.DiscardHandler))
	defer s.Close()
	s.relist(listOf(0, 3, true), func() {})
	s.mu.Lock()
	for range batch {
		to := s.all["s0"]
		to.conns = append(to.conns, &conn{to: to, cancel: func() {}})
		s.conns++
	}
	s.mu.Unlock()
	rests := 0
	moved := listOf(0, 3, false)
	moved.Members[0].Address = "b:0"
	unused, _ := s.relist(moved, func() { rests++ })
	if rests != 1 || len(unused) != batch || len(s.all["s0"].conns) != 0 || s.conns != 0 {
		t.Errorf("%d rests, %d claimed, %d left", rests, len(unused), len(s.all["s0"].conns))
	}
}
