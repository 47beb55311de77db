package capacity

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// sources give the curves, by subject; a file with curves adds its function here.
var sources = []func() []Curve{}

// Curves gives all there are.
func Curves() (all []Curve) {
	for _, source := range sources {
		all = append(all, source()...)
	}
	return all
}

// Judged tells whether any quantity of the curve is.
func (c Curve) Judged() bool {
	return slices.ContainsFunc(c.Quantities, func(q Quantity) bool { return q.Deterministic })
}

// All plays curves one after the other.
func All(all []Curve, quick bool, progress io.Writer) (fits []Fitted, err error) {
	for i, c := range all {
		fmt.Fprintf(progress, "curve %d of %d: ", i+1, len(all))
		f, err := c.Run(quick, progress)
		if err != nil {
			return nil, err
		}
		fits = append(fits, f...)
	}
	return fits, nil
}

// Allocated tells what do allocates, once: how often, how many bytes, and how long it takes. Nothing else may run beside it.
func Allocated(do func()) (allocations, bytes float64, took time.Duration) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	do()
	took = time.Since(began)
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs - before.Mallocs), float64(after.TotalAlloc - before.TotalAlloc), took
}

// Held tells how many bytes what make gives holds on the heap once everything else is collected. Nothing else may run beside it.
func Held[T any](make func() T) (made T, bytes float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	made = make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return made, float64(int64(after.HeapAlloc) - int64(before.HeapAlloc))
}
