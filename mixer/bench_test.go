package mixer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// nullEnvironment is an Environment that records the forwarded parts and ignores all else.
type nullEnvironment struct {
	index map[string]int // of each part, by its ID
	sent  []int
}

func (e *nullEnvironment) Forward(part, _ string, _ int64) { e.sent = append(e.sent, e.index[part]) }
func (e *nullEnvironment) Cancel(string, int)              {}
func (e *nullEnvironment) Answer(string, bool)             {}
func (e *nullEnvironment) Reject(string, int64)            {}
func (e *nullEnvironment) Fail(string)                     {}
func (e *nullEnvironment) CloseIdle(string)                {}
func (e *nullEnvironment) SetTimer(int64, TimerHandler)    {}
func (e *nullEnvironment) Subscribe()                      {}
func (e *nullEnvironment) Note(string)                     {}

// BenchmarkLookup measures the cost of one lookup in a mixer with statistics of its searchers, by
// its number of parts and the holders of each.
func BenchmarkLookup(b *testing.B) {
	for _, parts := range []int{5, 20, 88, 400} {
		for _, holders := range []int{4, 20} {
			b.Run(fmt.Sprintf("parts=%d/holders=%d", parts, holders), func(b *testing.B) {
				serve := newServe(parts, holders)
				for range 100 + 10000/parts {
					serve()
				}
				b.ReportAllocs()
				least := time.Hour
				for b.Loop() {
					began := time.Now()
					serve()
					least = min(least, time.Since(began))
				}
				b.ReportMetric(float64(least.Nanoseconds())/float64(parts), "least-ns/part")
			})
		}
	}
}

// newServe returns a function that serves one lookup of the given number of parts, in a mixer with
// 1000 cells.
func newServe(parts, holders int) (serve func()) {
	c := Config{Tariffs: []Tariff{{Expected: 57 * ms, Patience: 200 * ms, CompleteFrom: 1, LeastShare: 1}}, Mixers: 6300, Zone: "z0",
		Cells: 1000, Reach: 1, PerCall: 1, MaxForwards: 3, MayCopy: true, MayCancel: true, ColdFrom: 1, FallMultiple: 2}
	env := &nullEnvironment{index: map[string]int{}}
	now, rng := int64(1790000000e9), rand.New(rand.NewSource(1))
	m := New(now, c, 1, env)
	list := make([]Entry, holders*c.Cells)
	for i := range list {
		list[i] = Entry{Searcher: fmt.Sprint("s", i), Cell: i % c.Cells, Zone: fmt.Sprint("z", i%8)}
	}
	m.UpdateList(now, list, true)
	requests := make([]PartRequest, parts)
	for i := range requests {
		requests[i] = PartRequest{ID: fmt.Sprint("q.", i), Weight: 1 / float64(parts)}
		env.index[requests[i].ID] = i
	}
	return func() {
		now += 8 * ms
		start := rng.Intn(c.Cells)
		l := m.StartLookup(now, LookupRequest{ID: "q", NotAfter: now + 57*ms, Parts: parts})
		for i, r := range requests {
			r.Slice = start + i
			l.AddPart(now, r)
		}
		now += 4 * ms
		for _, i := range env.sent {
			now += 1000
			l.HandleOutcome(now, i, 0, Succeeded, 4*ms+int64(rng.Intn(int(ms))), false)
		}
		env.sent = env.sent[:0]
	}
}

// A lookup of any size costs at most two allocations per part.
func TestAllocationsPerPart(t *testing.T) {
	for _, parts := range []int{5, 20, 88, 400} {
		serve := newServe(parts, 4)
		for range 100 + 40000/parts { // after this nearly all searchers have buffers for forwards in flight
			serve()
		}
		if got := testing.AllocsPerRun(200, serve); got > 2*float64(parts) {
			t.Errorf("lookup of %d parts: got %v allocations, want at most %d", parts, got, 2*parts)
		}
	}
}
