package leases

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// Holders, a control state that gives the duty to whoever asks at the head in force, and a network that holds confirmations and acts up. Orders
// of a few steps are tried. Where engines check no tokens, no two acts of different holders arrive within Apart of each other; where they do, no
// act arrives after one under a higher token.

const (
	tick    = time.Second
	lastAt  = 12 * tick
	never   = -lastAt
	holders = 3
	heads   = 2
)

type act struct {
	holder int
	fence  uint64
	at     time.Duration
}

type confirmation struct {
	holder int
	asked  time.Duration
	fence  uint64
	quiet  time.Duration
}

type world struct {
	terms    Timing
	now      time.Duration
	fence    uint64 // of the control state
	owner    int
	epoch    uint64
	head     int
	register [heads]RenewalTracker
	leases   [holders]Lease
	replies  []confirmation
	flights  []act                  // sent, not arrived
	latest   [holders]time.Duration // when the newest act of each holder arrived, never if none did
	highest  uint64                 // token of the acts that arrived
	broken   error
	among    int // holders that take part
	acts     int
	takeover int
	views    int // changes of the head that may come yet

	hasty     bool // planted: a successor does not wait
	sleepy    bool // planted: a confirmation counts from when it arrives
	forgetful bool // planted: a head goes on with what it remembers of an older epoch
	late      bool // planted: a successor counts from its own claim's way back, not from when the head took it
}

// newWorld is one of so many holders, in which the head may change so many times.
func newWorld(among, views int, fenced bool) *world {
	w := &world{
		terms: Timing{HoldFor: tick, MinSeparation: 2 * tick, MaxTransit: tick},
		owner: -1, epoch: 1, among: among, acts: 3, takeover: among, views: views,
	}
	if fenced {
		w.terms.MinSeparation = 0
	}
	for h := range holders {
		w.leases[h], w.latest[h] = *New(w.terms, 0), never
	}
	w.register[0].SetEpoch(0, 1)
	return w
}

func (w *world) clone() *world {
	c := *w
	c.replies = slices.Clone(w.replies)
	c.flights = slices.Clone(w.flights)
	for i := range c.register {
		c.register[i].renewals = maps.Clone(w.register[i].renewals)
	}
	return &c
}

type step struct {
	name string
	do   func(w *world)
}

func (w *world) steps() (steps []step) {
	if w.now < lastAt && !w.overdue() {
		steps = append(steps, step{"a tick", func(w *world) { w.now += tick }})
	}
	if w.views > 0 {
		steps = append(steps, step{"another head", (*world).changeHead})
	}
	for h := range w.among {
		if w.owner == h || w.takeover > 0 {
			steps = append(steps, step{fmt.Sprint("asks ", h), func(w *world) { w.ask(h) }})
		}
		if w.acts > 0 && w.leases[h].Valid(w.now) {
			steps = append(steps, step{fmt.Sprint("acts ", h), func(w *world) { w.send(h) }})
		}
	}
	for i, r := range w.replies {
		steps = append(steps, step{fmt.Sprint("confirmed ", r.holder), func(w *world) { w.confirm(i) }})
	}
	for i, f := range w.flights {
		steps = append(steps, step{fmt.Sprint("arrives of ", f.holder), func(w *world) {
			w.flights = append(w.flights[:i:i], w.flights[i+1:]...)
			w.arrive(f)
		}})
	}
	return steps
}

func (w *world) changeHead() {
	w.views--
	w.epoch++
	w.head = (w.head + 1) % heads
	if w.forgetful && w.register[w.head].renewals != nil {
		w.register[w.head].epoch = w.epoch
	}
	w.register[w.head].SetEpoch(w.now, w.epoch)
}

func (w *world) send(h int) {
	w.acts--
	w.flights = append(w.flights, act{h, w.leases[h].FencingToken(), w.now})
}

// arrive books an act's arrival. Of the other holders' only the newest matters: earlier ones are further apart.
func (w *world) arrive(a act) {
	for other, at := range w.latest {
		if apart := w.now - at; other != a.holder && w.broken == nil && apart < w.terms.MinSeparation {
			w.broken = fmt.Errorf("acts of two holders arrive %v apart", apart)
		}
	}
	if a.fence < w.highest && w.broken == nil {
		w.broken = fmt.Errorf("an act under token %d arrives after one under %d", a.fence, w.highest)
	}
	w.latest[a.holder] = w.now
	w.highest = max(w.highest, a.fence)
}

// overdue tells whether something sent has to arrive before time goes on.
func (w *world) overdue() bool {
	for _, f := range w.flights {
		if w.now-f.at >= w.terms.MaxTransit {
			return true
		}
	}
	return false
}

func (w *world) ask(h int) {
	if w.owner != h {
		w.owner = h
		w.fence++
		w.takeover--
	}
	quiet := w.register[w.head].RecordRenewal(w.now, w.epoch, "orders", fmt.Sprint(h))
	if len(w.replies) < 2 {
		w.replies = append(w.replies, confirmation{h, w.now, w.fence, quiet})
	}
}

func (w *world) confirm(i int) {
	r := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	c := Renewal{RequestedAt: r.asked, ReceivedAt: w.now, FencingToken: r.fence, HadPredecessor: r.fence > 1 && !w.hasty, PredecessorIdle: r.quiet}
	if w.sleepy {
		c.RequestedAt = w.now
	}
	if w.late {
		c.PredecessorIdle += w.now - r.asked + 2*tick
	}
	w.leases[r.holder].Renew(c)
}

func (w *world) Choices() int           { return len(w.steps()) }
func (w *world) Name(choice int) string { return w.steps()[choice].name }

func (w *world) Next(choice int) simtest.World {
	next := w.clone()
	w.steps()[choice].do(next)
	return next
}

// Fingerprint leaves out in which order messages were sent: any of them may arrive next.
func (w *world) Fingerprint() string {
	sorted := w.clone()
	slices.SortFunc(sorted.replies, func(a, b confirmation) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.asked, b.asked), cmp.Compare(a.fence, b.fence), cmp.Compare(a.quiet, b.quiet))
	})
	slices.SortFunc(sorted.flights, func(a, b act) int { return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.at, b.at)) })
	return fmt.Sprint(*sorted)
}

func (w *world) Check() error { return w.broken }

// mostStates bounds the search in CI; go test ./internal/leases -run OrdersOf -timeout 0 -states 3000000 has that of two holders whole.
const mostStates = 60000

var statesFlag = flag.Int("states", mostStates, "states that a search through orders may see")

func TestOrdersOfTwoHolders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		result := simtest.Search(newWorld(2, 0, fenced), *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
		result = simtest.Walk(newWorld(2, 0, fenced), 20000, 60, 5)
		require.NoError(t, result.Broken, result.String())
	}
}

// TestOrdersOfThreeHoldersAndTwoHeads: the duty changes hands more than once, and whoever remembers the confirmations is replaced.
func TestOrdersOfThreeHoldersAndTwoHeads(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		result := simtest.Search(newWorld(3, 2, fenced), *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
		result = simtest.Walk(newWorld(3, 2, fenced), 10000, 80, 5)
		require.NoError(t, result.Broken, result.String())
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	plants := map[string]func(w *world){
		"hasty":     func(w *world) { w.hasty = true },
		"sleepy":    func(w *world) { w.sleepy = true },
		"forgetful": func(w *world) { w.forgetful = true },
		"late":      func(w *world) { w.late = true },
	}
	for name, plant := range plants {
		for _, fenced := range []bool{false, true} {
			w := newWorld(3, 2, fenced)
			plant(w)
			require.Error(t, simtest.Walk(w, 60000, 80, 6).Broken, "%s, fenced %v", name, fenced)
		}
	}
}

// TestASuccessorWaitsForWhatHasNotPassed: no longer than the rules ask, counted from the former holder's last confirmation.
func TestASuccessorWaitsForWhatHasNotPassed(t *testing.T) {
	unfenced := Timing{HoldFor: 900 * time.Millisecond, MaxTransit: 800 * time.Millisecond, MinSeparation: 3 * time.Second}
	fenced := Timing{HoldFor: 900 * time.Millisecond, MaxTransit: 800 * time.Millisecond}
	for _, c := range []struct {
		terms       Timing
		inherited   bool
		quiet, from time.Duration
	}{
		{unfenced, true, 0, 14700 * time.Millisecond},
		{unfenced, true, 1500 * time.Millisecond, 13200 * time.Millisecond},
		{unfenced, true, time.Minute, 10 * time.Second},
		{fenced, true, 0, 11700 * time.Millisecond},
		{fenced, true, 1500 * time.Millisecond, 10200 * time.Millisecond},
		{unfenced, false, 0, 10 * time.Second},
	} {
		l := New(c.terms, 6)
		require.True(t, l.Renew(Renewal{RequestedAt: 9900 * time.Millisecond, ReceivedAt: 10 * time.Second, FencingToken: 7, HadPredecessor: c.inherited, PredecessorIdle: c.quiet}))
		require.Equal(t, c.from, l.ValidFrom())
	}
}

// TestTheRegisterKnowsNothingOfOtherEpochs: what another head confirmed before is taken for as late as it can have been.
func TestTheRegisterKnowsNothingOfOtherEpochs(t *testing.T) {
	r := new(RenewalTracker)
	r.SetEpoch(10, 3)
	require.EqualValues(t, 5, r.RecordRenewal(15, 3, "orders", "a"))
	require.EqualValues(t, 9, r.RecordRenewal(19, 3, "orders", "a"), "the same holder again: nobody else asked in this epoch")
	require.EqualValues(t, 2, r.RecordRenewal(21, 3, "orders", "b"))
	require.EqualValues(t, 6, r.RecordRenewal(25, 3, "orders", "b"), "a claim that is repeated, as its reply was lost")
	require.EqualValues(t, 0, r.RecordRenewal(30, 4, "orders", "c"), "another epoch that was not heard of before")
}
