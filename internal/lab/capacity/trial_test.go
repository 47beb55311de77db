package capacity

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, tables := range []bool{false, true} {
		for _, n := range []int{6, 12, 24, 48} {
			for _, settle := range []time.Duration{time.Second, 4 * time.Second} {
				f, err := playFleet(n, tables, 20*time.Second, settle, 2*time.Second)
				t.Logf("%v %v %+v %v", tables, settle, f, err)
			}
		}
	}
}
