package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"nettlefold/internal/lab/fleet"
	"nettlefold/internal/lab/standin"
	"nettlefold/internal/routing"
	"nettlefold/internal/sharing"
	"nettlefold/internal/store"
	"nettlefold/mixer"
)

const sharingNow = int64(10 * time.Second) // of model time

// outstanding gives what a mixer knows by itself of searchers that all stand out, so that sheets are as full as they may be.
func outstanding(searchers int) (all []mixer.Observation) {
	for i := range searchers {
		all = append(all, mixer.Observation{Searcher: fmt.Sprintf("searcher-%05d", i), Started: 1_700_000_000_000_000_000 + int64(i),
			Heard: sharingNow - 300_000_000, Pace: 1e8, Slow: 3 + float64(i%997)/1000, Weight: 5, Suspect: i%2 == 0})
	}
	return all
}

func newBoard(i int) *sharing.Board {
	return sharing.NewBoard(0, fmt.Sprintf("mixer-%05d", i), siteNames(int(Regions))[i%int(Regions)], numbered(i, "").Life)
}

// sheetsOf gives the sheets of so many mixers, each with all that it may tell of the searchers.
func sheetsOf(mixers, searchers int) (raws [][]byte, err error) {
	all := outstanding(searchers)
	for i := range mixers {
		raw, err := newBoard(i).Compose(sharingNow, all).Append()
		if err != nil {
			return nil, err
		}
		raws = append(raws, raw)
	}
	return raws, nil
}

// boardFigures measures a board that hears so many mixers, of whom each tells all that it may.
func boardFigures(mixers, searchers int) ([]float64, error) {
	raws, err := sheetsOf(mixers+1, searchers)
	if err != nil {
		return nil, err
	}
	carried := 0
	for _, raw := range raws[1:] {
		carried += len(raw)
	}
	own := outstanding(searchers)
	hear := func(b *sharing.Board) (err error) {
		for _, raw := range raws[1:] {
			if e := b.Heard(sharingNow, raw); e != nil {
				err = e
			}
		}
		return err
	}
	b, held := Held(func() *sharing.Board {
		b := newBoard(0)
		if err = hear(b); err == nil {
			b.Words(sharingNow, own)
		}
		return b
	})
	if err != nil {
		return nil, err
	}
	runtime.KeepAlive(b)
	again := newBoard(0)
	reads, _, readTook := Allocated(func() { err = hear(again) })
	_, bytes, took := Allocated(func() {
		again.Compose(sharingNow+1, own)
		again.Words(sharingNow+2, own)
	})
	return []float64{float64(carried), held, reads, bytes, float64(readTook+took) / 1e9}, err
}

// storeFigures has mixers whose sheets tell of so many searchers use a store on a loopback socket, and counts what the last sends
// and is sent in eight rounds, which is a whole turn: who there is is read once in it.
func storeFigures(mixers, searchers int) ([]float64, error) {
	const turn = 8
	server := &standin.Server{}
	if err := server.Start(""); err != nil {
		return nil, err
	}
	defer server.Stop()
	raws, err := sheetsOf(mixers, searchers)
	if err != nil {
		return nil, err
	}
	var c *store.Client
	for i, raw := range raws {
		if c != nil {
			c.Close()
		}
		c = store.New(store.Options{Address: server.Address(), Site: "lab", Mixer: fmt.Sprintf("mixer-%05d", i),
			Timeout: 10 * time.Second, Protocol: 3})
		if _, err := c.Exchange(context.Background(), raw); err != nil {
			return nil, err
		}
	}
	defer c.Close()
	for range turn - 1 {
		if _, err := c.Exchange(context.Background(), raws[mixers-1]); err != nil {
			return nil, err
		}
	}
	was, busy := c.Stats, processorTime()
	heard := 0
	for range turn {
		sheets, err := c.Exchange(context.Background(), raws[mixers-1])
		if err != nil {
			return nil, err
		}
		heard += len(sheets)
	}
	if heard != turn*(mixers-1) {
		return nil, fmt.Errorf("%d sheets of %d others in %d rounds", heard, mixers-1, turn)
	}
	busy = processorTime() - busy
	a := 1e9 / float64(sharing.Round) / turn // of a second
	sent, read := a*float64(c.Stats.Sent-was.Sent), a*float64(c.Stats.Read-was.Read)
	return []float64{a * float64(c.Stats.Commands-was.Commands), sent, read, float64(mixers) * (sent + read), a * busy.Seconds()}, nil
}

// tellFigures measures what a round costs the router beside its lookups: telling of all searchers, and being told of them.
func tellFigures(searchers int) ([]float64, error) {
	c := fleet.Usual(1, 1, 0.5, 0, true).Charter
	c.Zone, c.Mixers, c.Cells = "a", int(Mixers), max(1, searchers/16)
	r, err := routing.New(c, map[string]int{"all": 0}, 1<<20, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, err
	}
	var rows []routing.Entry
	for i := range searchers {
		name := fmt.Sprintf("searcher-%05d", i)
		rows = append(rows, routing.Entry{Searcher: name, Started: 1 + int64(i), Cell: i % c.Cells, Zone: "a"})
	}
	r.Listed(rows, true)
	now, all := r.Tell(sharing.GivenUp)
	if len(all) != searchers {
		return nil, fmt.Errorf("%d of %d searchers are told of", len(all), searchers)
	}
	words := make([]routing.Word, searchers)
	for i, o := range all {
		words[i] = routing.Word{Searcher: o.Searcher, Started: o.Started, Slow: 2, Weight: 3, At: now, Until: now + sharing.Lease}
	}
	_, bytes, tell := Allocated(func() { r.Tell(sharing.GivenUp) })
	_, _, told := Allocated(func() { r.Told(words) })
	b := newBoard(0)
	b.Compose(now, all)
	_, composed, compose := Allocated(func() { b.Compose(now+1, all) })
	_, worded, word := Allocated(func() { b.Words(now+2, all) })
	return []float64{bytes, composed + worded, tell.Seconds(), told.Seconds(), (compose + word).Seconds()}, nil
}

// sheetFigures measures one sheet with so many rows.
func sheetFigures(rows int) ([]float64, error) {
	raws, err := sheetsOf(1, rows)
	if err != nil {
		return nil, err
	}
	s, err := sharing.ReadSheet(raws[0])
	if err != nil {
		return nil, err
	}
	if len(s.Rows) != rows {
		return nil, fmt.Errorf("%d rows of %d", len(s.Rows), rows)
	}
	return []float64{float64(len(raws[0]))}, nil
}

// sharingCurves are of the shared store: boards and sheets in model time, the store's commands over loopback sockets.
func sharingCurves() []Curve {
	return []Curve{
		{Role: "mixer", Of: "rows", Plan: 64, Sizes: doubled(4), Quick: doubled(4),
			Quantities: []Quantity{exact("sharing: a sheet", "B", Affine, sheetBytes)}, Play: sheetFigures},
		{Role: "mixer", Of: "members heard, full sheets", Plan: Mixers, Sizes: doubled(48), Quick: doubled(8),
			Quantities: []Quantity{
				exact("sharing: sheets heard in a round", "B", Affine, sheetsHeard),
				exact("sharing: bytes held by a board", "B", Affine, boardHeld),
				exact("sharing: allocations to read the sheets of a round", "", Affine),
				exact("sharing: bytes allocated to tell and judge a round", "B", Affine),
				rough("sharing: a round", "s", Power, boardTime),
			}, Play: func(n int) ([]float64, error) { return boardFigures(n, 200) }},
		{Role: "mixer", Of: "members of a store", Plan: Mixers, Sizes: doubled(16), Quick: doubled(4),
			Quantities: []Quantity{
				exact("store: commands sent by a mixer", "1/s", Flat, storeCommands),
				exact("store: bytes sent by a mixer", "B/s", Affine, storeSent),
				exact("store: bytes read by a mixer", "B/s", Affine, storeRead),
				exact("store: bytes of all mixers", "B/s", Quadratic, storeAll),
				rough("store: of a core, the stand-in's part in it", "", Power),
			}, Play: func(n int) ([]float64, error) { return storeFigures(n, 100) }},
		{Role: "mixer", Of: "members of a store, empty sheets", Plan: Mixers, Sizes: doubled(16), Quick: doubled(4),
			Quantities: []Quantity{
				exact("store: bytes sent by a mixer", "B/s", Affine, emptySent),
				exact("store: bytes read by a mixer", "B/s", Affine, emptyRead),
			}, Play: func(n int) ([]float64, error) {
				f, err := storeFigures(n, 0)
				if err != nil {
					return nil, err
				}
				return f[1:3], nil
			}},
		{Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: doubled(1024), Quick: doubled(256),
			Quantities: []Quantity{
				exact("sharing: bytes allocated to tell of all", "B", Affine, Law{Affine, 0, 104, 0}),
				exact("sharing: bytes allocated to make a sheet and judge", "B", Affine),
				rough("sharing: telling, under the router's lock", "s", Power, tellTime),
				rough("sharing: being told, under the router's lock", "s", Power, toldTime),
				rough("sharing: making a sheet and judging", "s", Power),
			}, Play: tellFigures},
	}
}
