package tallylog

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/tally"
)

// BenchmarkOpen opens a log with one add per batch, as calls that are far apart leave it. It reports the
// bytes per add on disk and in memory.
func BenchmarkOpen(b *testing.B) {
	const adds = 100_000
	original := fsync
	fsync = func(*os.File) error { return nil }
	defer func() { fsync = original }()
	dir := b.TempDir()
	fillLog(b, dir, adds)
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		l, saved, err := Open(dir, testOptions(dir))
		require.NoError(b, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/adds, "memory-bytes/add")
		b.ReportMetric(float64(l.Size())/adds, "disk-bytes/add")
		require.Equal(b, adds, saved.Set.Len())
		l.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/adds, "us/add")
}

// fillLog writes a log of adds with ids of 16 hex digits, one add per batch.
func fillLog(b *testing.B, dir string, adds int) {
	b.Helper()
	l, _, err := Open(dir, testOptions(dir))
	require.NoError(b, err)
	defer l.Close()
	random := rand.New(rand.NewPCG(1, 1))
	for n := range adds {
		add := tally.Add{ID: fmt.Sprintf("%016x", random.Uint64()), Tally: fmt.Sprint("t", n%8), Amount: int64(n % 9)}
		require.NoError(b, l.Append(&tally.Batch{Runs: []tally.Run{{Origin: firstOrigin, First: uint64(n + 1), Adds: []tally.Add{add}}}}))
	}
}
