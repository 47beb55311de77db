package tally

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// More walks than CI has time for: go test ./internal/tally -run RandomWalks -timeout 0 -walks 20000 -first 1000.
var (
	walkCount = flag.Uint64("walks", 150, "random walks to go")
	firstSeed = flag.Uint64("first", 1, "the first one's seed")
)

const (
	walkRounds     = 3  // of trouble, each followed by a time in which all goes well
	eventsPerRound = 60 // of a round
	healTicks      = 24 // in which all merges
	distinctIDs    = 12
	conflictOneIn  = 20 // one add in so many has another amount
)

// walk is a random history of a core.
type walk struct {
	*cluster
	random     *rand.Rand
	diskLosses int // since all last went well
	trace      []string
}

func newWalk(seed uint64, planted fault) *walk {
	random := rand.New(rand.NewPCG(seed, seed))
	copies := 1 + random.IntN(2)
	machines := 2*copies + 1
	return &walk{cluster: newCluster(machines, copies, planted, limits{}).converge(), random: random}
}

func (w *walk) randomNode() int { return w.random.IntN(len(w.nodes)) }

func (w *walk) record(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// step lets something happen.
func (w *walk) step() {
	i, j := w.randomNode(), w.randomNode()
	switch n := w.random.IntN(100); {
	case n < 15:
		w.addRandom(i)
	case n < 45:
		w.deliver(i, j)
	case n < 65:
		if len(w.nodes[i].disk.pending) > 0 {
			w.record("sync %d", i)
			w.completeSync(i)
		}
	case n < 85:
		w.record("tick")
		w.disrupted = true // whatever waits for longer is as good as cut off
		w.tick()
	case n < 88:
		w.record("cut %d %d", i, j)
		w.disrupted, w.cutLinks[[2]int{i, j}], w.cutLinks[[2]int{j, i}] = true, true, true
	case n < 90:
		w.record("all links are well")
		w.cutLinks = map[[2]int]bool{}
	case n < 94:
		w.record("settle")
		w.settle()
	case n < 97:
		written := w.random.IntN(2) == 0 && len(w.nodes[i].disk.pending) > 0
		w.record("power %d, written: %v", i, written)
		w.losePower(i, written)
	case n < 98:
		w.failWrite(i)
	case w.diskLosses < w.remoteCopies:
		w.diskLosses++
		w.record("disk %d", i)
		w.loseDisk(i)
	}
}

func (w *walk) addRandom(i int) {
	add := Add{ID: fmt.Sprint("id", w.random.IntN(distinctIDs)), Tally: "t", Amount: 1}
	if w.random.IntN(conflictOneIn) == 0 {
		add.Amount = 2
	}
	w.record("add %v at %d", add, i)
	w.submit(call{i, add})
}

func (w *walk) deliver(i, j int) {
	link := [2]int{i, j}
	if len(w.links[link]) == 0 || w.cutLinks[link] {
		return
	}
	w.record("deliver %d %d", i, j)
	m := w.links[link][0]
	w.links[link] = w.links[link][1:]
	w.receive(j, m)
}

// diskFails has a machine's write fail; the disk works again at once, without what was to be written.
func (w *walk) failWrite(i int) {
	n := w.nodes[i]
	if len(n.disk.pending) == 0 {
		return
	}
	w.record("the disk of %d fails", i)
	n.disk.pending = nil
	w.execute(i, n.replica.WriteFailed(w.now))
	w.execute(i, n.replica.DiskRecovered(w.now))
}

// run goes the whole walk, and gives the rule that is broken, if one is.
func (w *walk) run() error {
	for range walkRounds {
		for range eventsPerRound {
			w.step()
			if err := w.check(); err != nil {
				return err
			}
		}
		if err := w.heal(healTicks); err != nil {
			return err
		}
		if err := w.checkReplication(); err != nil {
			return err
		}
		w.diskLosses = 0
		w.record("healed")
	}
	return nil
}

// addsAreCopied: while all goes well, an add at any machine is acknowledged soon, and on enough disks.
func (w *walk) checkReplication() error {
	for i := range w.nodes {
		add := Add{ID: fmt.Sprint("well ", w.lastToken), Tally: "t", Amount: 1}
		before := len(w.acked)
		w.submit(call{i, add})
		for range 6 {
			w.settle()
		}
		if len(w.acked) != before+1 {
			return fmt.Errorf("m%d did not acknowledge %v", i, add)
		}
		if last := w.acked[before]; last.disks <= w.remoteCopies {
			return fmt.Errorf("m%d acknowledged %v on %d disks", i, add, last.disks)
		}
	}
	return nil
}

// TestRandomWalks: adds, some repeated at other machines and some in conflict, while links are cut, power and disks are lost, and writes
// fail; in between all goes well for a while, and all machines come to the same totals.
func TestRandomWalks(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*walkCount; seed++ {
		w := newWalk(seed, noFault)
		require.NoError(t, w.run(), "seed %d: %v", seed, w.trace)
	}
}

func TestRandomWalksDetectInjectedFaults(t *testing.T) {
	for name, planted := range map[string]fault{
		"acknowledged before the sync": ackBeforeSync, "merged by sum": countPerOrigin, "a dot used again": reuseDots,
	} {
		found := false
		for seed := uint64(1); seed <= *walkCount && !found; seed++ {
			found = newWalk(seed, planted).run() != nil
		}
		require.True(t, found, name)
	}
}

// TestMergesInAnyOrderComeToTheSame: sets that took the same runs in other orders, some of them twice, hold and count the same.
func TestSetMergeOrderIndependence(t *testing.T) {
	ids := []string{"a", "0000000000000001", "5c0e7a21d94b36f8", "5C0E7A21D94B36F8", "000000000000000g"}
	rapid.Check(t, func(t *rapid.T) {
		add := rapid.Custom(func(t *rapid.T) Add {
			return Add{
				ID:     rapid.SampledFrom(ids).Draw(t, "id"),
				Tally:  rapid.SampledFrom([]string{"t", "u"}).Draw(t, "tally"),
				Amount: rapid.Int64Range(-3, 3).Draw(t, "by"),
			}
		})
		var runs []Run
		for origin := range rapid.IntRange(1, 4).Draw(t, "origins") {
			runs = append(runs, Run{Origin: Origin(origin + 1), First: 1, Adds: rapid.SliceOfN(add, 1, 5).Draw(t, "adds")})
		}
		sets := []*Set{NewSet(), NewSet()}
		for _, set := range sets {
			order := rapid.Permutation(append(runs, runs...)).Draw(t, "order")
			for i := range order {
				if !set.Insert(&order[i]) {
					t.Fatal("a gap")
				}
			}
		}
		for _, tally := range []string{"t", "u"} {
			if sets[0].Total(tally) != sets[1].Total(tally) {
				t.Fatalf("%s: %d and %d", tally, sets[0].Total(tally), sets[1].Total(tally))
			}
		}
		if fmt.Sprint(sets[0].allAdds()) != fmt.Sprint(sets[1].allAdds()) {
			t.Fatalf("%v and %v", sets[0].allAdds(), sets[1].allAdds())
		}
		for _, id := range ids {
			one, _, _ := sets[0].Lookup(id)
			other, _, _ := sets[1].Lookup(id)
			if one != other {
				t.Fatalf("%s: %v and %v", id, one, other)
			}
		}
	})
}
