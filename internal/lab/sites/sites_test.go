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

// No site that is there is declared away in worlds of pauses, slow sites and cut lines, and one that is then lost is.
func TestDoubts(t *testing.T) {
	if d := Doubt(0, 40); d.False > 0 || d.Missed > 0 || d.Slowest > 3 {
		t.Errorf("%+v", d)
	}
}

// One seed is one history, a loss is settled in 3 s, and no searcher is pushed over.
func TestPlay(t *testing.T) {
	s := Usual(3, 18, 30, true)
	s.LostAt, s.BackAt, s.Ends, s.ColdFor = 6000*ms, 12_000*ms, 24_000*ms, 6000*ms
	p := Play(s)
	if p != Play(s) {
		t.Error("the same seed plays otherwise")
	}
	if p.Declared <= 0 || p.Declared > 3 || p.Falls > 0 || p.False > 0 {
		t.Errorf("%+v", p)
	}
}
