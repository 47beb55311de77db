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

// The model has lease holders, a control state in which the head in force grants the lease to whoever
// requests it, and a network that delays renewals and actions. The tests try many interleavings of a few
// steps. Where the receiver of actions doesn't check fencing tokens, actions of different holders must
// arrive at least MinSeparation apart; where it does, no action may arrive after one under a higher token.

const (
	tick      = time.Second
	endOfTime = 12 * tick
	never     = -endOfTime
	holders   = 3
	heads     = 2
)

// action is sent by a holder under its lease.
type action struct {
	holder       int
	fencingToken uint64
	sentAt       time.Duration
}

// renewalReply is a reply of the control state that is still in transit.
type renewalReply struct {
	holder          int
	requestedAt     time.Duration
	fencingToken    uint64
	predecessorIdle time.Duration
}

// world is a state of the model.
type world struct {
	timing        Timing
	now           time.Duration
	fencingToken  uint64 // of the control state
	holder        int    // in the control state, -1 if there is none
	epoch         uint64
	head          int
	trackers      [heads]RenewalTracker
	leases        [holders]Lease
	replies       []renewalReply
	actions       []action               // in transit
	lastArrivals  [holders]time.Duration // of each holder's actions, never if none has arrived
	highestToken  uint64                 // of the actions that have arrived
	violation     error
	activeHolders int
	actionsLeft   int
	takeoversLeft int
	headsLeft     int // changes of the head that are still possible

	// Faults that the tests inject.
	noTakeoverDelay   bool // a successor doesn't wait
	countFromReceipt  bool // a renewal is valid from when its reply arrives
	staleTracker      bool // a head keeps the renewals of an older epoch
	idleWithRoundTrip bool // a successor adds its round trip and two ticks to the predecessor's idle time
}

// newWorld returns a world with the given number of holders and possible changes of the head. fenced
// states that the receiver of actions checks fencing tokens.
func newWorld(activeHolders, headChanges int, fenced bool) *world {
	w := &world{
		timing: Timing{HoldFor: tick, MinSeparation: 2 * tick, MaxTransit: tick},
		holder: -1, epoch: 1, activeHolders: activeHolders, actionsLeft: 3, takeoversLeft: activeHolders, headsLeft: headChanges,
	}
	if fenced {
		w.timing.MinSeparation = 0
	}
	for h := range holders {
		w.leases[h], w.lastArrivals[h] = *New(w.timing, 0), never
	}
	w.trackers[0].SetEpoch(0, 1)
	return w
}

func (w *world) clone() *world {
	c := *w
	c.replies = slices.Clone(w.replies)
	c.actions = slices.Clone(w.actions)
	for i := range c.trackers {
		c.trackers[i].renewals = maps.Clone(w.trackers[i].renewals)
	}
	return &c
}

// step is an event that may come next.
type step struct {
	name string
	do   func(w *world)
}

func (w *world) steps() (steps []step) {
	if w.now < endOfTime && !w.deliveryDue() {
		steps = append(steps, step{"tick", func(w *world) { w.now += tick }})
	}
	if w.headsLeft > 0 {
		steps = append(steps, step{"change head", (*world).changeHead})
	}
	for h := range w.activeHolders {
		if w.holder == h || w.takeoversLeft > 0 {
			steps = append(steps, step{fmt.Sprint("request renewal by ", h), func(w *world) { w.requestRenewal(h) }})
		}
		if w.actionsLeft > 0 && w.leases[h].Valid(w.now) {
			steps = append(steps, step{fmt.Sprint("send action of ", h), func(w *world) { w.sendAction(h) }})
		}
	}
	for i, r := range w.replies {
		steps = append(steps, step{fmt.Sprint("deliver renewal to ", r.holder), func(w *world) { w.deliverRenewal(i) }})
	}
	for i, a := range w.actions {
		steps = append(steps, step{fmt.Sprint("deliver action of ", a.holder), func(w *world) {
			w.actions = append(w.actions[:i:i], w.actions[i+1:]...)
			w.deliverAction(a)
		}})
	}
	return steps
}

func (w *world) changeHead() {
	w.headsLeft--
	w.epoch++
	w.head = (w.head + 1) % heads
	if w.staleTracker && w.trackers[w.head].renewals != nil {
		w.trackers[w.head].epoch = w.epoch
	}
	w.trackers[w.head].SetEpoch(w.now, w.epoch)
}

func (w *world) sendAction(h int) {
	w.actionsLeft--
	w.actions = append(w.actions, action{h, w.leases[h].FencingToken(), w.now})
}

// deliverAction checks and records the arrival of an action. Only the last arrival of each other holder
// matters, because earlier ones are further apart.
func (w *world) deliverAction(a action) {
	for other, at := range w.lastArrivals {
		if separation := w.now - at; other != a.holder && w.violation == nil && separation < w.timing.MinSeparation {
			w.violation = fmt.Errorf("actions of holders %d and %d arrived %v apart, want at least %v", other, a.holder, separation, w.timing.MinSeparation)
		}
	}
	if a.fencingToken < w.highestToken && w.violation == nil {
		w.violation = fmt.Errorf("action with fencing token %d arrived after one with token %d", a.fencingToken, w.highestToken)
	}
	w.lastArrivals[a.holder] = w.now
	w.highestToken = max(w.highestToken, a.fencingToken)
}

// deliveryDue reports whether an action has to arrive before time advances.
func (w *world) deliveryDue() bool {
	for _, a := range w.actions {
		if w.now-a.sentAt >= w.timing.MaxTransit {
			return true
		}
	}
	return false
}

func (w *world) requestRenewal(h int) {
	if w.holder != h {
		w.holder = h
		w.fencingToken++
		w.takeoversLeft--
	}
	idle := w.trackers[w.head].RecordRenewal(w.now, w.epoch, "orders", fmt.Sprint(h))
	if len(w.replies) < 2 {
		w.replies = append(w.replies, renewalReply{h, w.now, w.fencingToken, idle})
	}
}

func (w *world) deliverRenewal(i int) {
	reply := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	r := Renewal{
		RequestedAt: reply.requestedAt, ReceivedAt: w.now, FencingToken: reply.fencingToken,
		MayHavePredecessor: reply.fencingToken > 1 && !w.noTakeoverDelay, PredecessorIdle: reply.predecessorIdle,
	}
	if w.countFromReceipt {
		r.RequestedAt = w.now
	}
	if w.idleWithRoundTrip {
		r.PredecessorIdle += w.now - reply.requestedAt + 2*tick
	}
	w.leases[reply.holder].Renew(r)
}

func (w *world) Choices() int           { return len(w.steps()) }
func (w *world) Name(choice int) string { return w.steps()[choice].name }

func (w *world) Next(choice int) simtest.World {
	next := w.clone()
	w.steps()[choice].do(next)
	return next
}

// Fingerprint ignores the order in which messages were sent, because any of them may arrive next.
func (w *world) Fingerprint() string {
	sorted := w.clone()
	slices.SortFunc(sorted.replies, func(a, b renewalReply) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.requestedAt, b.requestedAt),
			cmp.Compare(a.fencingToken, b.fencingToken), cmp.Compare(a.predecessorIdle, b.predecessorIdle))
	})
	slices.SortFunc(sorted.actions, func(a, b action) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.sentAt, b.sentAt))
	})
	return fmt.Sprint(*sorted)
}

func (w *world) Check() error { return w.violation }

// maxStates bounds the search in CI. For an exhaustive search with two holders, run
// go test ./internal/leases -run Interleavings -timeout 0 -states 3000000.
const maxStates = 60000

var statesFlag = flag.Int("states", maxStates, "maximum number of states that a search visits")

func TestInterleavingsOfTwoHolders(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		result := simtest.Search(newWorld(2, 0, fenced), *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
		result = simtest.Walk(newWorld(2, 0, fenced), 20000, 60, 5)
		require.NoError(t, result.Broken, result.String())
	}
}

// TestInterleavingsOfThreeHoldersAndTwoHeads covers repeated handovers, and changes of the head that
// tracks the renewals.
func TestInterleavingsOfThreeHoldersAndTwoHeads(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		result := simtest.Search(newWorld(3, 2, fenced), *statesFlag)
		require.NoError(t, result.Broken, result.String())
		t.Log(result.String())
		result = simtest.Walk(newWorld(3, 2, fenced), 10000, 80, 5)
		require.NoError(t, result.Broken, result.String())
	}
}

// TestInjectedFaultsAreDetected checks that the model finds each of the injected faults.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := map[string]func(w *world){
		"no takeover delay":    func(w *world) { w.noTakeoverDelay = true },
		"count from receipt":   func(w *world) { w.countFromReceipt = true },
		"stale tracker":        func(w *world) { w.staleTracker = true },
		"idle with round trip": func(w *world) { w.idleWithRoundTrip = true },
	}
	for name, inject := range faults {
		for _, fenced := range []bool{false, true} {
			w := newWorld(3, 2, fenced)
			inject(w)
			require.Error(t, simtest.Walk(w, 60000, 80, 6).Broken, "fault %q not detected, fenced %v", name, fenced)
		}
	}
}

// TestTakeoverDelay checks that a successor waits no longer than the rules require, counted from the
// predecessor's last renewal.
func TestTakeoverDelay(t *testing.T) {
	unfenced := Timing{HoldFor: 900 * time.Millisecond, MaxTransit: 800 * time.Millisecond, MinSeparation: 3 * time.Second}
	fenced := Timing{HoldFor: 900 * time.Millisecond, MaxTransit: 800 * time.Millisecond}
	for _, c := range []struct {
		timing          Timing
		hadPredecessor  bool
		predecessorIdle time.Duration
		validFrom       time.Duration
	}{
		{unfenced, true, 0, 14700 * time.Millisecond},
		{unfenced, true, 1500 * time.Millisecond, 13200 * time.Millisecond},
		{unfenced, true, time.Minute, 10 * time.Second},
		{fenced, true, 0, 11700 * time.Millisecond},
		{fenced, true, 1500 * time.Millisecond, 10200 * time.Millisecond},
		{unfenced, false, 0, 10 * time.Second},
	} {
		l := New(c.timing, 6)
		require.True(t, l.Renew(Renewal{
			RequestedAt: 9900 * time.Millisecond, ReceivedAt: 10 * time.Second, FencingToken: 7,
			MayHavePredecessor: c.hadPredecessor, PredecessorIdle: c.predecessorIdle,
		}))
		require.Equal(t, c.validFrom, l.ValidFrom(), "timing %+v, predecessor %v, idle %v", c.timing, c.hadPredecessor, c.predecessorIdle)
	}
}

// TestRenewalTracker checks that renewals of other epochs are not used: whatever another head confirmed
// is taken to be as late as possible.
func TestRenewalTracker(t *testing.T) {
	r := new(RenewalTracker)
	r.SetEpoch(10, 3)
	require.EqualValues(t, 5, r.RecordRenewal(15, 3, "orders", "a"))
	require.EqualValues(t, 9, r.RecordRenewal(19, 3, "orders", "a"), "same holder again, no other request in this epoch")
	require.EqualValues(t, 2, r.RecordRenewal(21, 3, "orders", "b"))
	require.EqualValues(t, 6, r.RecordRenewal(25, 3, "orders", "b"), "request repeated because its reply was lost")
	require.EqualValues(t, 0, r.RecordRenewal(30, 4, "orders", "c"), "epoch not seen before")
}
