package scale

import (
	"testing"
	"time"
)

func TestAllTrial(t *testing.T) {
	for _, n := range []int{25, 50, 100} {
		a, err := All(n, 15*time.Second, 6*time.Second)
		t.Logf("%+v %v", a, err)
	}
}
