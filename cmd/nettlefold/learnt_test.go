package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nettlefold/example/toy"
	"nettlefold/mixer"
)

// TestSwitchKeepsWhatIsLearnt plays the switch from one process to the next: lookups are answered from the first second on, the
// searcher that was slow is left at once, one that starts cold just then gets no more than it bears, and a record that is cut
// off is refused with its reason and costs nothing.
func TestSwitchKeepsWhatIsLearnt(t *testing.T) {
	w := prepare(t)
	file := filepath.Join(t.TempDir(), "learnt.json")
	admin := loopback(202, 1, 19090)
	w.own(admin, `<learnt file="`+file+`"/>`)
	w.of("Guarantees")["ColdMs"], w.of("Guarantees")["ColdFrom"], w.of("Guarantees")["FallMultiple"] = 10000.0, 0.05, 1.0
	w.searchers[0].Took = 10 * time.Millisecond // slow, not so late that it is held silent
	w.start()
	w.until("a first start says that it has no record", func() bool { return strings.Contains(w.log.String(), "the start is cold") })
	var wg sync.WaitGroup
	for i := range 24 { // some at once, so that all searchers are met
		wg.Go(func() { w.ask(fmt.Sprint("a", i), "all", 0, 1, 2, 3) })
		time.Sleep(3 * time.Millisecond)
	}
	wg.Wait()
	stands := func(i int) (st mixer.SearcherState) {
		why := struct{ Standing *mixer.SearcherState }{&st}
		if err := json.Unmarshal([]byte(fetch("http://"+admin+"/why?searcher="+w.searchers[i].Name)), &why); err != nil {
			t.Error(err)
		}
		return st
	}
	n := 0 // on a busy machine one may be held silent or look slow for a while
	w.until("all searchers are known and sound, the slow one as slow", func() bool {
		n++
		w.ask(fmt.Sprint("k", n), "all", 0, 1, 2, 3)
		for i := range w.searchers {
			if st := stands(i); st.Weight == 0 || st.Suspect {
				return false
			}
		}
		return stands(0).Unit > 1.5*stands(1).Unit
	})
	turn := func() {
		w.signal(syscall.SIGTERM)
		if code := w.exit(5 * time.Second); code != 0 {
			t.Fatalf("left with %d", code)
		}
	}
	turn()
	since := float64(time.Now().UnixMilli())
	w.known = func(i int, m *toy.Member) {
		if i == 2 { // a process that has just started, of which the record knows another
			m.Since = since
		}
	}
	w.list.Say(w.whole(2, w.known))
	w.write(w.listAt)
	slow, cold := calls(w.searchers[0]), calls(w.searchers[2])
	w.execute()
	w.healthy()
	w.until("what was learnt is taken over by the three of four processes that still run", func() bool {
		return strings.Contains(w.log.String(), "learnt figures are taken over") && strings.Contains(w.log.String(), `"processes":4,"met":3`)
	})
	for i := range 8 {
		w.ask(fmt.Sprint("b", i), "all", 0)
	}
	if got := calls(w.searchers[0]) - slow; got > 0 {
		t.Errorf("%d of the first 8 parts went to the slow searcher", got)
	}
	if n := w.satisfied("c", 20); n != 20 {
		t.Errorf("%d of 20 lookups served after the switch", n)
	}
	// A core answers one call in 5 ms at the most; it bears a twentieth of that, and somewhat more by the second.
	age := time.Since(time.UnixMilli(int64(since))).Seconds()
	if most, got := 1+age*200*(0.05+age/10), float64(calls(w.searchers[2])-cold); got > most {
		t.Errorf("%v calls to a searcher that has started %v s ago, at most %v are safe", got, age, most)
	}
	turn()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw[:len(raw)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	w.execute()
	w.healthy()
	w.until("a record that is cut off is refused by name", func() bool { return strings.Contains(w.log.String(), "truncated") })
	if n := w.satisfied("d", 10); n != 10 {
		t.Errorf("%d of 10 lookups served without a record", n)
	}
}
