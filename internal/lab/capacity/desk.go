package capacity

import (
	"context"
	"errors"
	"log/slog"
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
	at := j.now // and stands still: reports stay as young as they are
	d, err := desk.New(func() int64 { return at }, slog.New(slog.DiscardHandler), j.Table)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	raw, err := settled(d)
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

// settled waits until the desk's table has the room it needs, and gives what the desk then tells.
func settled(d *desk.Desk) ([]byte, error) {
	var last, raw []byte
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); last = raw {
		for rounds := d.Standings()[0].Rounds; d.Standings()[0].Rounds < rounds+1 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		if raw = d.Offer(mostState); len(raw) > 0 && len(raw) == len(last) {
			return raw, nil
		}
	}
	return nil, errors.New("the desk does not settle")
}

// deskCurves are of the desk with the table that the program has.
func deskCurves() []Curve {
	return []Curve{{Role: "mixer", Of: "members, tables", Plan: Mixers, Sizes: doubled(64), Quick: doubled(16),
		Quantities: []Quantity{
			exact("desk: an exchange", "B", Affine, judgeBytes),
			exact("desk: bytes allocated to take one", "B", Affine),
			rough("desk: telling, without the tables' part", "s", Power),
			rough("desk: taking, without the tables' part", "s", Power),
		}, Play: deskFigures}}
}
