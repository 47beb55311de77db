package mixer

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// mute is a floor that keeps what is sent and nothing else.
type mute struct {
	index map[string]int // of a part, by its id
	sent  []int
}

func (h *mute) Forward(part, _ string, _ int64) { h.sent = append(h.sent, h.index[part]) }
func (h *mute) Cancel(string, int)              {}
func (h *mute) Answer(string, bool)             {}
func (h *mute) Reject(string, int64)            {}
func (h *mute) Fail(string)                     {}
func (h *mute) CloseIdle(string)                {}
func (h *mute) SetTimer(int64, TimerHandler)    {}
func (h *mute) Subscribe()                      {}
func (h *mute) Note(string)                     {}

// BenchmarkQuery is what one query costs the module, by its parts and the holders of each, in a mixer that has met its searchers.
func BenchmarkQuery(b *testing.B) {
	for _, parts := range []int{5, 20, 88, 400} {
		for _, holders := range []int{4, 20} {
			b.Run(fmt.Sprintf("parts=%d/holders=%d", parts, holders), func(b *testing.B) {
				query := queries(parts, holders)
				for range 100 + 10000/parts {
					query()
				}
				b.ReportAllocs()
				least := time.Hour
				for b.Loop() {
					began := time.Now()
					query()
					least = min(least, time.Since(began))
				}
				b.ReportMetric(float64(least.Nanoseconds())/float64(parts), "least-ns/part")
			})
		}
	}
}

// queries gives what serves one query of so many parts after the other, in a module that knows a thousand cells.
func queries(parts, holders int) (query func()) {
	c := Config{Tariffs: []Tariff{{Expected: 57 * ms, Patience: 200 * ms, CompleteFrom: 1, LeastShare: 1}}, Mixers: 6300, Zone: "z0",
		Cells: 1000, Reach: 1, PerCall: 1, MaxForwards: 3, MayCopy: true, MayCancel: true, ColdFrom: 1, FallMultiple: 2}
	floor := &mute{index: map[string]int{}}
	now, rng := int64(1790000000e9), rand.New(rand.NewSource(1))
	m := New(now, c, 1, floor)
	rows := make([]Entry, holders*c.Cells)
	for i := range rows {
		rows[i] = Entry{Searcher: fmt.Sprint("s", i), Cell: i % c.Cells, Zone: fmt.Sprint("z", i%8)}
	}
	m.UpdateList(now, rows, true)
	pieces := make([]PartRequest, parts)
	for i := range pieces {
		pieces[i] = PartRequest{ID: fmt.Sprint("q.", i), Weight: 1 / float64(parts)}
		floor.index[pieces[i].ID] = i
	}
	return func() {
		now += 8 * ms
		start := rng.Intn(c.Cells)
		l := m.StartLookup(now, LookupRequest{ID: "q", NotAfter: now + 57*ms, Parts: parts})
		for i, p := range pieces {
			p.Slice = start + i
			l.AddPart(now, p)
		}
		now += 4 * ms
		for _, i := range floor.sent {
			now += 1000
			l.HandleOutcome(now, i, 0, Succeeded, 4*ms+int64(rng.Intn(int(ms))), false)
		}
		floor.sent = floor.sent[:0]
	}
}

// A query of any size costs at most two allocations a part.
func TestAllocationsOfAPart(t *testing.T) {
	for _, parts := range []int{5, 20, 88, 400} {
		query := queries(parts, 4)
		for range 100 + 40000/parts { // nearly all searchers have been met: each keeps the room for what is out there
			query()
		}
		if all := testing.AllocsPerRun(200, query); all > 2*float64(parts) {
			t.Errorf("%v allocations for a query of %d parts", all, parts)
		}
	}
}
