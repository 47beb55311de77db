package simtest

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// steps is a world of two counters, each raised by one at a time up to a limit; one pair of values is forbidden.
type steps struct {
	a, b, limit int
	forbidden   [2]int
}

func (w steps) Choices() int {
	n := 0
	for _, at := range []int{w.a, w.b} {
		if at < w.limit {
			n++
		}
	}
	return n
}

func (w steps) raisesA(choice int) bool { return choice == 0 && w.a < w.limit }

func (w steps) Next(choice int) World {
	if w.raisesA(choice) {
		w.a++
	} else {
		w.b++
	}
	return w
}

func (w steps) Name(choice int) string {
	if w.raisesA(choice) {
		return "a"
	}
	return "b"
}

func (w steps) Fingerprint() string { return fmt.Sprint(w.a, w.b) }

func (w steps) Check() error {
	if [2]int{w.a, w.b} == w.forbidden {
		return errors.New("forbidden")
	}
	return nil
}

// TestSearch: every state once, the shortest way to what is broken, the same each time, and a stop that is told.
func TestSearch(t *testing.T) {
	sound := steps{limit: 90, forbidden: [2]int{-1, -1}}
	require.Equal(t, Result{States: 91 * 91, Whole: true}, Search(sound, 1<<20))
	require.Equal(t, Result{States: 100}, Search(sound, 100))
	first := Search(steps{limit: 90, forbidden: [2]int{2, 1}}, 1<<20)
	require.EqualError(t, first.Broken, "forbidden")
	require.Len(t, first.Path, 3)
	require.False(t, first.Whole)
	for range 5 {
		require.Equal(t, first, Search(steps{limit: 90, forbidden: [2]int{2, 1}}, 1<<20))
	}
}
