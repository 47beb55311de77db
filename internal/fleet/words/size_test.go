package words

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"nettlefold/internal/sharing"
	"nettlefold/mixer"
)

// BenchmarkSheet is a mixer's part: choosing what to tell among 37,000 searchers, none of which is slow but by chance.
func BenchmarkSheet(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewSheets(second, "m", "z", 5)
	own := make([]mixer.Observation, 37000)
	for i := range own {
		n := float64(1 + rng.IntN(2))
		own[i] = mixer.Observation{Searcher: fmt.Sprintf("searcher-%05d", i), Started: 1764649432000000000, Heard: 900 * ms, Weight: n}
		for range int(n) {
			own[i].Slow += rng.ExpFloat64() / n
		}
	}
	now, bytes, sheets := second, 0, 0
	for b.Loop() {
		now += Every
		raw, err := s.Next(now, own, nil)
		if err != nil {
			b.Fatal(err)
		}
		if raw != nil {
			bytes, sheets = bytes+len(raw), sheets+1
		}
	}
	b.ReportMetric(float64(bytes)/float64(max(sheets, 1)), "bytes/sheet")
}

// BenchmarkHeard is a relay's part of one sheet of 64 rows, among 900 mixers.
func BenchmarkHeard(b *testing.B) {
	j := NewJudge("r")
	var raws [][]byte
	for i := range 900 {
		var rows []sharing.Row
		for n := range 64 {
			rows = append(rows, sharing.Row{Searcher: fmt.Sprintf("searcher-%05d", (i*7+n*61)%4600), Started: 1764649432000000000, Suspect: 1})
		}
		raws = append(raws, sheet(b, fmt.Sprint("m", i), zone(i), 1, 1, rows...))
	}
	j.flaw.oldLife = true // the same sheets again and again
	n := 0
	for b.Loop() {
		if err := j.Heard(second, fmt.Sprint("m", n%900), raws[n%900]); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(len(raws[0])), "bytes/sheet")
}
