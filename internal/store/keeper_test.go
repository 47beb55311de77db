package store

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"nettlefold/internal/routing"
	"nettlefold/internal/sharing"
)

// fakes of the module's side and of the store, for the keeper.
type fakeRouter struct {
	mu    sync.Mutex
	now   int64
	told  [][]routing.Word
	order []string
	held  int64
	all   []routing.Own
	race  bool // something is sent just before words are told, as is seen by who asks after that
}

func (r *fakeRouter) Tell(int64) (int64, []routing.Own) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now += int64(250 * time.Millisecond)
	all := slices.Clone(r.all)
	if r.race && len(r.order) > 0 && r.order[len(r.order)-1] == "told" {
		all[0].Quiet = false
	}
	return r.now, all
}
func (r *fakeRouter) Told(w []routing.Word) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, w)
	r.order = append(r.order, "told")
}
func (r *fakeRouter) Hold(within int64) { r.held = within }
func (r *fakeRouter) Now() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

type fakeStore struct {
	r      *fakeRouter
	answer func() ([][]byte, error)
	calls  int
	sheet  []byte
}

func (s *fakeStore) Exchange(_ context.Context, sheet []byte) ([][]byte, error) {
	s.calls++
	s.sheet = sheet
	s.r.mu.Lock()
	s.r.order = append(s.r.order, "written")
	s.r.mu.Unlock()
	return s.answer()
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// lender is a keeper of one whose share of a cold searcher another asks for in every round.
func lender(t *testing.T) (*fakeRouter, *fakeStore, *Keeper) {
	r := &fakeRouter{all: []routing.Own{{Searcher: "s", Started: 7, Cold: true, Rate: 1, Loan: 1, Quiet: true}}}
	s := &sharing.Sheet{Version: 1, Mixer: "other", Zone: "z", Life: 5, Rows: []sharing.Row{{Searcher: "s", Started: 7, Ask: 100}}}
	st := &fakeStore{r: r, answer: func() ([][]byte, error) {
		s.Number++
		raw, err := s.Append()
		return [][]byte{raw}, err
	}}
	return r, st, NewKeeper(r, st, "me", "z", 1, quietLog())
}

// written is the sheet that was written last.
func (s *fakeStore) written(t *testing.T) *sharing.Sheet {
	t.Helper()
	sheet, err := sharing.ReadSheet(s.sheet)
	if err != nil {
		t.Fatal(err)
	}
	return sheet
}

func TestWhatIsLentIsGivenUpBeforeItIsWritten(t *testing.T) {
	r, st, k := lender(t)
	if r.held != sharing.GivenUp {
		t.Errorf("own shares are held back for %d ns at start, want %d", r.held, sharing.GivenUp)
	}
	lent := -1
	for i := 0; i < 30 && lent < 0; i++ {
		r.order, r.told = nil, nil
		k.Round(t.Context())
		if len(r.order) == 0 || r.order[0] != "told" {
			t.Fatalf("round %d: %v", i, r.order)
		}
		if k.State().Lent > 0 {
			lent = i
			if len(r.told[0]) != 1 || r.told[0][0].AwayUntil == 0 {
				t.Fatalf("lent, and the module was told %+v before it was written", r.told[0])
			}
		}
	}
	if lent < 0 {
		t.Fatal("nothing was lent")
	}
	// Switched off, what is lent stays given up; nothing is written.
	calls := st.calls
	k.Switch(false)
	r.told = nil
	k.Round(t.Context())
	if st.calls != calls || len(r.told) != 1 || len(r.told[0]) != 1 || r.told[0][0].AwayUntil == 0 || k.State().On {
		t.Errorf("switched off: %d exchanges more, told %+v", st.calls-calls, r.told)
	}
}

func TestALoanIsNotToldOfAProcessSentToMeanwhile(t *testing.T) {
	r, st, k := lender(t)
	told := map[bool]int{}
	for _, race := range []bool{false, true} {
		r.race = race
		for range 20 {
			r.order = append(r.order, "round")
			k.Round(t.Context())
			if st.written(t).Lends() {
				told[race]++
			}
		}
	}
	if told[false] == 0 || told[true] != 0 {
		t.Errorf("loans told: %d, and %d of a process that was sent to between making the sheet and giving up", told[false], told[true])
	}
}

func TestKeeperOpensItsCircuitAndWaitsForNobodyElse(t *testing.T) {
	r := &fakeRouter{}
	entered, leave := make(chan bool), make(chan bool)
	st := &fakeStore{r: r, answer: func() ([][]byte, error) { entered <- true; <-leave; return nil, errors.New("away") }}
	k := NewKeeper(r, st, "me", "z", 1, quietLog())
	for range 3 {
		done := make(chan bool)
		go func() { k.Round(t.Context()); done <- true }()
		<-entered
		k.State() // while the store is waited for, nothing else is
		k.Switch(true)
		leave <- true
		<-done
	}
	if s := k.State(); !s.Open || s.Failed != 3 {
		t.Errorf("%+v", s)
	}
	k.Round(t.Context())
	if st.calls != 3 {
		t.Error("asked while the circuit is open")
	}
}

func TestALifeIsNewAlsoWithTheSameSeed(t *testing.T) {
	lives := map[uint64]bool{}
	for range 3 { // the same mixer, started again with the same configuration
		r := &fakeRouter{}
		st := &fakeStore{r: r, answer: func() ([][]byte, error) { return nil, nil }}
		NewKeeper(r, st, "me", "z", 1, quietLog()).Round(t.Context())
		lives[st.written(t).Life] = true
	}
	if len(lives) != 3 {
		t.Errorf("three starts have %d lives", len(lives))
	}
}
