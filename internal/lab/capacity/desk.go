package capacity

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"nettlefold/internal/fleet/desk"
)

// deskFigures has a desk with the table of sites work, and measures what it tells and what taking as much costs. Rounds are in
// real time, as the desk's timer is; nothing that is judged hangs on it.
func deskFigures(mixers int) ([]float64, error) {
	j, _, err := newJudge(mixers, int(ZonesAll))
	if err != nil {
		return nil, err
	}
	// The judge's model time goes on with the wall's, and stands still once the desk has settled.
	began, start, still := time.Now(), j.now, atomic.Int64{}
	d, err := desk.New(func() int64 {
		if at := still.Load(); at > 0 {
			return at
		}
		return start + int64(time.Since(began))
	}, slog.New(slog.DiscardHandler), j.Table)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	raw, err := settled(d, func() error {
		for _, told := range j.told[1:] {
			if err := j.Take(j.now, "", told); err != nil {
				return err
			}
		}
		return nil
	})
	still.Store(start + int64(time.Since(began)))
	cancel()
	<-ended
	if err != nil {
		return nil, err
	}
	_, _, offerTook := Allocated(func() { d.Offer(mostState) })
	if err = d.Take("another", raw); err != nil { // what is made once in a process is not of this one
		return nil, err
	}
	_, taken, takeTook := Allocated(func() { err = d.Take("another", raw) })
	return []float64{float64(len(raw)), taken, offerTook.Seconds(), takeTook.Seconds()}, err
}

// settled waits until the desk's table has the room it needs, and gives what the desk then tells. Reports speak for 1.5 s: they are
// taken anew each time.
func settled(d *desk.Desk, again func() error) (raw []byte, err error) {
	last := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		rounds := d.Standings()[0].Rounds
		d.Do(d.Standings()[0].Name, func(int64) { err = again() })
		if err != nil {
			return nil, err
		}
		for d.Standings()[0].Rounds < rounds+1 && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		if raw = d.Offer(mostState); len(raw) > 0 && len(raw) == last {
			return raw, nil
		}
		last = len(raw)
	}
	return nil, errors.New("the desk does not settle")
}

// deskCurves are of the desk with the table that the program has.
func deskCurves() []Curve {
	return []Curve{{Role: "mixer", Of: "members, tables", Plan: Mixers, Sizes: []int{64, 128, 256, 512, 1024}, Quick: []int{16, 32, 64, 128, 256},
		Quantities: []Quantity{
			{Name: "desk: an exchange", Unit: "B", Form: Affine, Deterministic: true},
			{Name: "desk: bytes allocated to take one", Unit: "B", Form: Affine, Deterministic: true},
			{Name: "desk: telling, without the tables' part", Unit: "s", Form: Power},
			{Name: "desk: taking, without the tables' part", Unit: "s", Form: Power},
		}, Play: deskFigures}}
}
