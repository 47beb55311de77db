package sites

import "testing"

// The greedy form loses no more than 2% to the linear programme, which gains nothing that is not there.
func TestGreedyBesideProgramme(t *testing.T) {
	s := Compare(150)
	if s.Failed > 0 || s.Short < 75 || s.Greedy[0] < 0.98 || s.Ordered[len(s.Ordered)-1] > 1+1e-4 {
		t.Errorf("%d short, %d not solved, greedy at least %.4f, the order up to %.4f of none", s.Short, s.Failed, s.Greedy[0],
			s.Ordered[len(s.Ordered)-1])
	}
}
