// Package measure plays what the project claims of itself and says whether it holds. Each measurement prints a table and
// gives its claims; a claim that fails makes it fail.
package measure

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
)

// Claim is one thing that has to hold.
type Claim struct {
	What  string
	Holds bool
}

// Result is what a measurement found.
type Result struct {
	Size   string // what was played
	Header []string
	Rows   [][]string
	More   []Table // after the first
	Notes  []string
	Claims []Claim
}

// Table is a further one of a result.
type Table struct {
	Header []string
	Rows   [][]string
}

// Measurements are those there are, by name.
var Measurements = map[string]func(quick bool) (Result, error){
	"capacity":     Capacity,
	"fleet":        Fleet,
	"fanout":       Fanout,
	"shared-store": SharedStore,
	"site-loss":    SiteLoss,
}

// Names gives their names in order.
func Names() (names []string) {
	for name := range Measurements {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Print writes a result, and gives how many claims fail.
func (r Result) Print(w io.Writer) (failed int) {
	fmt.Fprintln(w, r.Size)
	for _, table := range append([]Table{{r.Header, r.Rows}}, r.More...) {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for _, row := range append([][]string{table.Header}, table.Rows...) {
			for _, c := range row {
				fmt.Fprint(t, c, "\t")
			}
			fmt.Fprintln(t)
		}
		t.Flush()
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	for _, c := range r.Claims {
		verdict := "holds"
		if !c.Holds {
			verdict = "FAILS"
			failed++
		}
		fmt.Fprintf(w, "%s: %s\n", verdict, c.What)
	}
	return failed
}

// parallel does n things, as many at once as there are cores. Each keeps to its own place, so the order does not matter.
func parallel(n int, do func(i int)) {
	var wg sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		places <- struct{}{}
		wg.Go(func() {
			do(i)
			<-places
		})
	}
	wg.Wait()
}

func mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// standardError gives that of the values' mean.
func standardError(values []float64) float64 {
	m, sum := mean(values), 0.0
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	n := float64(len(values))
	return math.Sqrt(sum / max(n-1, 1) / max(n, 1))
}

// notBelow tells whether gains, one a seed, are not below nothing by more than chance makes of them: two standard errors.
func notBelow(gains []float64) bool { return mean(gains) >= -2*standardError(gains) }

// quantile gives the value that a share of the values does not exceed.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
