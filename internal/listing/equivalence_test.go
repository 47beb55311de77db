package listing_test

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"nettlefold/internal/listing"
	"nettlefold/mixer"
)

// simulation runs one mixer in model time and records its calls. It implements mixer.Environment.
type simulation struct {
	m        *mixer.Mixer
	now      int64 // ns
	timers   timerHeap
	lookup   *mixer.Lookup // the only open one
	endings  int           // answers, rejections and failures of the current lookup
	inFlight []*attempt    // in the order in which they were sent
	attempts map[string][]*attempt
}

type attempt struct {
	searcher   string
	started    int64 // start of the process that it was sent to
	part, copy int
	sentAt     int64
	lookup     *mixer.Lookup
}

type timer struct {
	at      int64
	count   int // breaks ties
	handler mixer.TimerHandler
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].count < h[j].count
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *simulation) Forward(part, searcher string, _ int64) {
	var i int
	fmt.Sscanf(part, "p%d", &i)
	state, _ := s.m.SearcherState(s.now, searcher)
	a := &attempt{searcher: searcher, started: state.Started, part: i, copy: len(s.attempts[part]), sentAt: s.now, lookup: s.lookup}
	s.attempts[part] = append(s.attempts[part], a)
	s.inFlight = append(s.inFlight, a)
}
func (s *simulation) Cancel(string, int)   {}
func (s *simulation) Answer(string, bool)  { s.endings++ }
func (s *simulation) Reject(string, int64) { s.endings++ }
func (s *simulation) Fail(string)          { s.endings++ }
func (s *simulation) CloseIdle(string)     {}
func (s *simulation) Subscribe()           {}
func (s *simulation) Note(string)          {}
func (s *simulation) SetTimer(after int64, handler mixer.TimerHandler) {
	heap.Push(&s.timers, timer{s.now + after, s.timers.Len() + int(s.now), handler})
}

func newSimulation() *simulation {
	s := &simulation{now: 1e18, attempts: map[string][]*attempt{}}
	s.m = mixer.New(s.now, mixer.Config{
		Tariffs: []mixer.Tariff{{Expected: 1e9, Patience: 2e9, CompleteFrom: 1, LeastShare: 1}},
		Zone:    "z0", Mixers: 3, Cells: cells, Reach: 2, PerCall: 2, MaxForwards: 3, MayCopy: true, MayCancel: true,
		ColdFrom: 0.3, ColdFor: 20e9, FallMultiple: 2, FallFor: 1e9, Sized: true,
	}, 7, s)
	return s
}

const cells = 3

// advance advances model time by d ns and fires the timers that become due.
func (s *simulation) advance(d int64) {
	until := s.now + d
	for len(s.timers) > 0 && s.timers[0].at <= until {
		t := heap.Pop(&s.timers).(timer)
		s.now = max(s.now, t.at)
		t.handler.HandleTimer(s.now)
	}
	s.now = until
}

// startLookup starts a lookup with the given number of parts.
func (s *simulation) startLookup(parts int) {
	s.attempts, s.endings = map[string][]*attempt{}, 0
	s.lookup = s.m.StartLookup(s.now, mixer.LookupRequest{ID: "q", NotAfter: s.now + 2e9, Parts: parts})
	for i := range parts {
		s.lookup.AddPart(s.now, mixer.PartRequest{ID: fmt.Sprint("p", i), Slice: i, Weight: 1 / float64(parts)})
	}
}

// answerOldest answers the n oldest attempts in flight.
func (s *simulation) answerOldest(n int) {
	for range min(n, len(s.inFlight)) {
		a := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		a.lookup.HandleOutcome(s.now, a.part, a.copy, mixer.Succeeded, attemptNanos, false)
	}
}

const attemptNanos = 3e8 // duration reported for an answered attempt

// endLostAttempts cancels attempts to processes that no longer run. Where the backend is not listed any more
// and cancelled is false, the client disconnects instead.
//
// A full list makes the mixer review all lookups that have lost attempts, even those lost before; in batches
// only the changed backends do so. So that both mixers stay comparable, no attempt may be lost when a list
// arrives.
func (s *simulation) endLostAttempts(listed map[string]mixer.Entry, cancelled bool) {
	s.advance(2) // lookups that the changes have scheduled for review are reviewed
	before := s.inFlight
	var kept []*attempt
	s.inFlight = nil // collects the attempts that are sent meanwhile
	for _, a := range before {
		if e, ok := listed[a.searcher]; ok && e.Started == a.started {
			kept = append(kept, a)
		} else if cancelled || ok {
			a.lookup.HandleOutcome(s.now, a.part, a.copy, mixer.Cancelled, 0, false)
		} else {
			kept = append(kept, a)
			s.disconnectClient()
		}
	}
	s.inFlight = append(kept, s.inFlight...)
}

// disconnectClient ends the open lookup, if there is one, as its client does by disconnecting.
func (s *simulation) disconnectClient() {
	if s.lookup != nil {
		s.lookup.Abandon(s.now)
		s.lookup = nil
	}
}

// TestTrackedBatchesMatchFullMessages runs the same random events against two mixers. One receives each message
// of the membership list in a single call, as service discovery wrote it; the other receives the entries that a
// Tracker returns for it, in batches. All observable state of the two must stay equal, including random
// choices; therefore the first mixer is given the entries in the order in which the Tracker returns them,
// followed by those that it leaves out.
func TestTrackedBatchesMatchFullMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, batched := newSimulation(), newSimulation()
		var tracker listing.Tracker
		listed := map[string]mixer.Entry{}
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		drawEntry := func(name string) mixer.Entry {
			e, ok := listed[name]
			if !ok {
				e = mixer.Entry{Searcher: name, Cell: int(name[0]) % cells, Zone: "z0"}
			}
			switch rapid.IntRange(0, 8).Draw(t, "change") {
			case 0:
				e.Status = mixer.Draining
			case 1:
				e.Status = mixer.Live
			case 2:
				e.Started = rapid.SampledFrom([]int64{0, 5e17, 1e18, direct.now - 1e9}).Draw(t, "started")
			case 3:
				e.Cell = rapid.IntRange(-1, cells).Draw(t, "cell")
			case 4:
				e.Zone = rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
			case 5:
				e.Size = rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "size")
			case 6:
				if ok {
					e.Status = mixer.Dead
				}
			}
			return e
		}
		sendMessage := func(t *rapid.T, full bool) {
			for _, n := range names {
				directState, _ := direct.m.SearcherState(direct.now, n)
				batchedState, _ := batched.m.SearcherState(batched.now, n) // needed in both: it updates the credit of a cold backend
				if directState.Suspect || directState.ZoneSilent || batchedState.Suspect || batchedState.ZoneSilent {
					direct.disconnectClient()
					batched.disconnectClient()
				}
			}
			var message []mixer.Entry
			for _, n := range rapid.Permutation(names).Draw(t, "order") {
				if rapid.IntRange(0, 3).Draw(t, "named") > 0 {
					message = append(message, drawEntry(n))
				}
			}
			if full {
				clear(listed)
			}
			for _, e := range message {
				if listed[e.Searcher] = e; e.Status == mixer.Dead {
					delete(listed, e.Searcher)
				}
			}
			changes := tracker.Apply(message, full)
			ordered := []mixer.Entry{} // the message as the direct mixer receives it
			for _, e := range changes {
				if slices.Contains(message, e) {
					ordered = append(ordered, e)
				} else if !full {
					t.Fatalf("Apply() returned %v, which is not in the message %v", e, message)
				}
			}
			for _, e := range message {
				if !slices.Contains(ordered, e) {
					ordered = append(ordered, e)
				}
			}
			direct.m.UpdateList(direct.now, ordered, full)
			for remaining := changes; len(remaining) > 0; {
				n := min(len(remaining), rapid.IntRange(1, 3).Draw(t, "batch"))
				batched.m.UpdateList(batched.now, remaining[:n], false)
				remaining = remaining[n:]
			}
			cancelled := rapid.Bool().Draw(t, "cancelled")
			direct.endLostAttempts(listed, cancelled)
			batched.endLostAttempts(listed, cancelled)
		}
		both := func(do func(*simulation)) {
			do(direct)
			do(batched)
		}
		sendMessage(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"full list": func(t *rapid.T) { sendMessage(t, true) },
			"changes":   func(t *rapid.T) { sendMessage(t, false) },
			"lookup": func(t *rapid.T) {
				if direct.lookup != nil && direct.endings == 0 {
					t.Skip("a lookup is open")
				}
				parts := rapid.IntRange(1, 5).Draw(t, "parts")
				both(func(s *simulation) { s.startLookup(parts) })
			},
			"answers": func(t *rapid.T) {
				n := rapid.IntRange(1, 5).Draw(t, "answers")
				both(func(s *simulation) { s.answerOldest(n) })
			},
			"client disconnects": func(*rapid.T) { both((*simulation).disconnectClient) },
			"time": func(t *rapid.T) {
				d := rapid.Int64Range(1, 1e8).Draw(t, "ns")
				both(func(s *simulation) {
					if len(s.inFlight) > 0 && s.now+d-s.inFlight[0].sentAt > attemptNanos/2 {
						s.disconnectClient() // an attempt in flight for too long is lost without any change of the list
					}
					s.advance(d)
				})
			},
			"": func(t *rapid.T) {
				if len(direct.inFlight) != len(batched.inFlight) || direct.endings != batched.endings {
					t.Fatalf("batched: %d attempts in flight and %d endings, want %d and %d as without batches",
						len(batched.inFlight), batched.endings, len(direct.inFlight), direct.endings)
				}
				for _, n := range names {
					want, wantKnown := direct.m.SearcherState(direct.now, n)
					got, gotKnown := batched.m.SearcherState(batched.now, n)
					if gotKnown != wantKnown || got != want {
						t.Fatalf("%s: batched: state %+v, want %+v as without batches", n, got, want)
					}
				}
			},
		})
	})
}
