package store

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"nettlefold/internal/routing"
	"nettlefold/internal/sharing"
)

// Exchanger is the store as the keeper needs it. Exchange ends within its own timeout.
type Exchanger interface {
	Exchange(ctx context.Context, sheet []byte) ([][]byte, error)
}

// Router is the module's side as the keeper needs it.
type Router interface {
	Tell(within int64) (now int64, all []routing.Own)
	Told(words []routing.Word)
	Hold(within int64)
	Now() int64
}

// Keeper has one mixer share: each round it tells what the module knows and hands it what is to be believed. It has one
// goroutine, Run's, which alone waits for the store.
type Keeper struct {
	router Router
	store  Exchanger
	log    *slog.Logger
	rng    *rand.Rand

	mu      sync.Mutex
	board   *sharing.Board
	circuit *sharing.Circuit
	rounds  uint64
	failed  uint64
	took    time.Duration
	off     bool
}

// NewKeeper makes the keeper of a mixer that starts now, and has the module hold back what an earlier life may have lent.
// Seed spreads its rounds and tries. The life that loans are addressed to is drawn from the system instead: a configuration may
// give one seed twice, and a loan to an earlier life would then be taken for one to this.
func NewKeeper(router Router, store Exchanger, name, zone string, seed int64, log *slog.Logger) *Keeper {
	rng := rand.New(rand.NewSource(seed ^ 0x5ea1))
	router.Hold(sharing.GivenUp)
	return &Keeper{router: router, store: store, log: log, rng: rng, circuit: sharing.NewCircuit(rng.Float64),
		board: sharing.NewBoard(router.Now(), name, zone, newLife())}
}

// newLife draws what tells one life of a mixer from all others.
func newLife() uint64 {
	var raw [8]byte
	crand.Read(raw[:]) // never fails
	return binary.LittleEndian.Uint64(raw[:])
}

// Run shares until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	// From a chance point on, so that mixers which start together do not ask together.
	timer := time.NewTimer(time.Duration(k.rng.Int63n(sharing.Round)))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		began := time.Now()
		k.Round(ctx)
		timer.Reset(max(time.Millisecond, time.Duration(sharing.Round)-time.Since(began)))
	}
}

// Switch turns sharing off or on while the mixer serves. What is lent stays given up until it has run out, what is
// borrowed is not used further, and no word of others is believed.
func (k *Keeper) Switch(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.off == on {
		k.log.Info("sharing is switched", "on", on)
	}
	k.off = !on
}

// Round tells and hears once. It waits for the store, and for nothing else.
func (k *Keeper) Round(ctx context.Context) {
	now, all := k.router.Tell(sharing.GivenUp)
	k.mu.Lock()
	off := k.off
	var sheet *sharing.Sheet
	if !off {
		sheet = k.board.Compose(now, all)
	}
	words := k.board.Words(now, all)
	if off {
		for i := range words {
			words[i] = routing.Word{Searcher: words[i].Searcher, Started: words[i].Started, AwayUntil: words[i].AwayUntil}
		}
	}
	may := !off && k.circuit.May(now)
	k.rounds++
	k.mu.Unlock()
	k.router.Told(words) // what is lent is given up before it is written
	if !may {
		return
	}
	if sheet.Lends() {
		if _, all = k.router.Tell(sharing.GivenUp); sharing.Confirm(sheet, all) {
			k.log.Debug("a loan is not told: its searcher was sent to meanwhile")
		}
	}
	raw, err := sheet.Append()
	if err != nil {
		k.log.Error("sheet", "error", err)
		return
	}
	began := time.Now()
	sheets, err := k.store.Exchange(ctx, raw)
	took := time.Since(began)
	if ctx.Err() != nil {
		return
	}
	now, all = k.router.Tell(sharing.GivenUp)
	k.mu.Lock()
	was := k.circuit.Open()
	k.circuit.Done(now, int64(took), err == nil)
	k.took = took
	open, late := k.circuit.Open(), took > time.Duration(sharing.Late)
	if err != nil || late {
		k.failed++
	} else {
		for _, s := range sheets {
			if err := k.board.Heard(now, s); err != nil {
				k.log.Debug("a sheet is passed over", "error", err)
			}
		}
	}
	heard := err == nil && !late && !k.off
	if heard {
		words = k.board.Words(now, all)
	}
	k.mu.Unlock()
	if open != was {
		k.log.Warn("circuit to the store", "open", open, "took", took, "error", err)
	}
	if heard {
		k.router.Told(words)
	}
}

// State is how sharing stands, for metrics and for 'explain'.
type State struct {
	sharing.Counts
	On, Open       bool
	Trips          uint64
	Rounds, Failed uint64
	Took           time.Duration // the last exchange
	Newest         time.Duration // age of the newest sheet of another mixer, -1 where there is none
}

// State gives how sharing stands.
func (k *Keeper) State() State {
	now := k.router.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{Counts: k.board.Counts(now), On: !k.off, Open: k.circuit.Open(), Trips: k.circuit.Trips(), Rounds: k.rounds,
		Failed: k.failed, Took: k.took, Newest: time.Duration(k.board.Newest(now))}
}
