package duty

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/simtest"
)

// Two holders, a control state that gives the duty to whoever asks, and a network that holds confirmations and acts up. Orders of a few
// steps are tried: no two acts of different holders arrive within Lease of each other.

const (
	tick   = time.Second
	lastAt = 12 * tick
	never  = -lastAt
)

var terms = Terms{Act: tick, Lease: 2 * tick, Flight: tick}

type act struct {
	holder int
	at     time.Duration
}

type confirmation struct {
	holder int
	asked  time.Duration
	fence  uint64
}

type world struct {
	now      time.Duration
	fence    uint64 // of the control state
	owner    int
	leases   [2]Lease
	replies  []confirmation
	flights  []act            // sent, not arrived
	latest   [2]time.Duration // when the newest act of each holder arrived, never if none did
	broken   error
	acts     int
	takeover int
	hasty    bool // planted: a successor does not wait
	sleepy   bool // planted: a confirmation counts from when it arrives
}

func newWorld() *world {
	return &world{owner: -1, acts: 3, takeover: 2, leases: [2]Lease{*New(terms, 0), *New(terms, 0)}, latest: [2]time.Duration{never, never}}
}

func (w *world) clone() *world {
	c := *w
	c.replies = append([]confirmation(nil), w.replies...)
	c.flights = append([]act(nil), w.flights...)
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
	for h := range 2 {
		if w.owner == h || w.takeover > 0 {
			steps = append(steps, step{fmt.Sprint("asks ", h), func(w *world) { w.ask(h) }})
		}
		if w.acts > 0 && w.leases[h].MayAct(w.now) {
			steps = append(steps, step{fmt.Sprint("acts ", h), func(w *world) { w.acts--; w.flights = append(w.flights, act{h, w.now}) }})
		}
	}
	for i, r := range w.replies {
		steps = append(steps, step{fmt.Sprint("confirmed ", r.holder), func(w *world) { w.confirm(i) }})
	}
	for i, f := range w.flights {
		steps = append(steps, step{fmt.Sprint("arrives of ", f.holder), func(w *world) {
			w.flights = append(w.flights[:i:i], w.flights[i+1:]...)
			w.arrive(f.holder)
		}})
	}
	return steps
}

// arrive books an act's arrival. Of the other holder's only the newest matters: earlier ones are further apart.
func (w *world) arrive(holder int) {
	if apart := w.now - w.latest[1-holder]; w.broken == nil && apart < terms.Lease {
		w.broken = fmt.Errorf("acts of two holders arrive %v apart", apart)
	}
	w.latest[holder] = w.now
}

// overdue tells whether something sent has to arrive before time goes on.
func (w *world) overdue() bool {
	for _, f := range w.flights {
		if w.now-f.at >= terms.Flight {
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
	if len(w.replies) < 2 {
		w.replies = append(w.replies, confirmation{h, w.now, w.fence})
	}
}

func (w *world) confirm(i int) {
	r := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	if w.sleepy {
		r.asked = w.now
	}
	w.leases[r.holder].Confirmed(r.asked, w.now, r.fence, r.fence > 1 && !w.hasty)
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
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.asked, b.asked), cmp.Compare(a.fence, b.fence))
	})
	slices.SortFunc(sorted.flights, func(a, b act) int { return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.at, b.at)) })
	return fmt.Sprint(*sorted)
}

func (w *world) Check() error { return w.broken }

// mostStates bounds the search in CI; go test ./internal/duty -run TwoHolders -timeout 0 -states 3000000 has it whole.
const mostStates = 60000

var statesFlag = flag.Int("states", mostStates, "states that a search through orders may see")

func TestOrdersOfTwoHolders(t *testing.T) {
	result := simtest.Search(newWorld(), *statesFlag)
	require.NoError(t, result.Broken, result.String())
	t.Log(result.String())
	result = simtest.Walk(newWorld(), 20000, 60, 5)
	require.NoError(t, result.Broken, result.String())
}

func TestPlantedFaultsAreFound(t *testing.T) {
	hasty := newWorld()
	hasty.hasty = true
	require.Error(t, simtest.Walk(hasty, 20000, 60, 5).Broken)
	sleepy := newWorld()
	sleepy.sleepy = true
	require.Error(t, simtest.Walk(sleepy, 60000, 60, 6).Broken)
}
