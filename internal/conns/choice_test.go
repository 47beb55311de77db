package conns

import (
	"fmt"
	"math/bits"
	"math/rand"
	"testing"
	"time"
)

// TestRareOnesGoFirst plays searchers used at steady rates, some often and most rarely, with room for a third of them: the order by
// next use shakes hands less often than closing the one idle longest does.
func TestRareOnesGoFirst(t *testing.T) {
	const searchers, room, uses = 300, 100, 60000
	shake := func(b Budget) (handshakes int) {
		rng, now := rand.New(rand.NewSource(1)), int64(0)
		p, peers, open := New(b, int64(time.Hour)), make([]Peer, searchers), make([]*plain, searchers)
		zipf := rand.NewZipf(rng, 1.1, 8, searchers-1)
		for range uses {
			now += int64(rng.ExpFloat64() * 1e6)
			i := int(zipf.Uint64())
			p.Use(now, &peers[i])
			if open[i] == nil || open[i].state == none {
				handshakes++
				if p.Stats().Open >= room {
					e, why := p.Spare(now)
					p.Close(e, why)
				}
				open[i] = &plain{}
				p.Open(now, &open[i].Entry, open[i], &peers[i])
			}
			open[i].used = now
			p.Idle(&open[i].Entry, Sound)
		}
		return handshakes
	}
	longest, rarest := shake(Budget{}), shake(Budget{Open: room})
	t.Logf("%d uses: %d handshakes where the longest idle goes first, %d where the one next used last does", uses, longest, rarest)
	if rarest >= longest {
		t.Error("the order by next use is no better")
	}
}

// TestStepsGrowAsLogarithms counts comparisons to close one of many idle connections and to put a new one in its place.
func TestStepsGrowAsLogarithms(t *testing.T) {
	const times = 1000
	for _, b := range []Budget{{}, {Open: 1 << 20}} {
		for n := 1 << 6; n <= 1<<16; n <<= 2 {
			p, now := New(b, int64(time.Hour)), int64(0)
			open := func() {
				now++
				c, of := &plain{used: now}, &Peer{}
				p.Use(now, of)
				p.Open(now, &c.Entry, c, of)
				p.Idle(&c.Entry, Sound)
			}
			for range n {
				open()
			}
			began := p.Stats().Steps
			for range times {
				e, why := p.Spare(now)
				p.Close(e, why)
				open()
			}
			each, most := float64(p.Stats().Steps-began)/times, 6*float64(bits.Len(uint(n)))
			if t.Logf("budget %+v, %d idle: %.1f comparisons", b, n, each); each > most {
				t.Errorf("%.1f comparisons, want at most %.0f", each, most)
			}
		}
	}
}

// TestQuietSweepTouchesOne has a sweep find nothing due among many idle connections without a comparison.
func TestQuietSweepTouchesOne(t *testing.T) {
	p := New(Budget{}, int64(time.Hour))
	for now := range int64(10000) {
		c := &plain{used: now}
		p.Open(now, &c.Entry, c, nil)
		p.Idle(&c.Entry, Sound)
	}
	began := p.Stats().Steps
	if e, _ := p.Due(10000); e != nil || p.Stats().Steps != began {
		t.Errorf("%v is due, after %d comparisons", e, p.Stats().Steps-began)
	}
}

// BenchmarkUse is what one part costs the pool: its connection is busy, then idle again, among so many.
func BenchmarkUse(b *testing.B) {
	for name, budget := range map[string]Budget{"unset": {}, "set": {Open: 1 << 20}} {
		for _, n := range []int{1000, 4000, 37000} {
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				p, now := New(budget, int64(time.Hour)), int64(0)
				all, peers, rng := make([]plain, n), make([]Peer, n), rand.New(rand.NewSource(1))
				for i := range all {
					now++
					all[i].used = now
					p.Open(now, &all[i].Entry, &all[i], &peers[i])
					p.Idle(&all[i].Entry, Sound)
				}
				b.ReportAllocs()
				for b.Loop() {
					now++
					i := rng.Intn(n)
					p.Use(now, &peers[i])
					p.Busy(&all[i].Entry)
					all[i].used = now
					p.Idle(&all[i].Entry, Sound)
				}
			})
		}
	}
}
