package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"syscall"
	"time"

	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/fleet/sites"
)

// hollow is a mixer without what serves: its real roster on loopback sockets and, with tables, its desk and judge of sites. Left
// out are clients, sockets to searchers, forwards and probes.
type hollow struct {
	*roster.Roster
	desk *desk.Desk
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// wards are the sites of hollow mixers, in turn.
var wards = []string{"a", "b", "c"}

func startHollow(i int, tables bool, join []string) (*hollow, error) {
	h := &hollow{}
	o := roster.Options{Self: roster.Life{Name: fmt.Sprintf("mixer-%05d", i), Site: wards[i%len(wards)], Build: "v1"},
		Listen: "127.0.0.1:0", Join: join}
	var table *sites.Table
	if tables {
		began := time.Now()
		clock := func() int64 { return int64(time.Second + time.Since(began)) }
		var err error
		if table, err = sites.New(clock, judgeTerms, o.Self.Site, wards, slog.New(slog.DiscardHandler)); err != nil {
			return nil, err
		}
		if h.desk, err = desk.New(clock, slog.New(slog.DiscardHandler), table); err != nil {
			return nil, err
		}
		o.Exchange = h.desk
	}
	r, err := roster.Start(o)
	if err != nil {
		return nil, err
	}
	h.Roster = r
	if tables {
		if err := table.Join(r); err != nil {
			r.Close()
			return nil, err
		}
	}
	return h, nil
}

func (h *hollow) run() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.wg.Go(func() { h.Run(ctx) })
	if h.desk != nil {
		h.wg.Go(func() { h.desk.Run(ctx) })
	}
}

// kill ends it without a goodbye.
func (h *hollow) kill() {
	h.Close()
	h.stop()
	h.wg.Wait()
}

// here counts the lives that it has here.
func (h *hollow) here() (n int) {
	for _, m := range h.Members() {
		if m.State == roster.Here {
			n++
		}
	}
	return n
}

// judgeTerms are what the program has with its default settings.
var judgeTerms = siteloss.Terms{Every: int64(2 * roster.Beat), Expected: int64(time.Second), Warming: int64(15 * time.Second),
	Beat: int64(2 * time.Second)}

// fleetFigures are of one mixer among so many, on the mean over all.
type fleetFigures struct {
	Members         int
	Met             float64 // s from their start together until all have all here; 0: not within the time given
	Packets, Bytes  float64 // UDP a second, sent by one, which on the mean is what comes to one
	Streams, Stream float64 // TCP a second: streams opened, bytes both ways
	Core            float64 // of a core, the process's processor time over its members
	Held            float64 // bytes of heap and stacks
}

// out and in of one mixer: all that is counted, once as sent and once as received.
func (f fleetFigures) bytes() float64 { return f.Bytes + f.Stream }

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heldBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func trafficOf(all []*hollow) (t roster.Traffic) {
	for _, h := range all {
		one := h.Traffic()
		t.Packets += one.Packets
		t.PacketBytes += one.PacketBytes
		t.Streams += one.Streams
		t.StreamOut += one.StreamOut
		t.StreamIn += one.StreamIn
	}
	return t
}

// startFleet starts hollow mixers together, all through one seed.
func startFleet(members int, tables bool) (all []*hollow, err error) {
	var join []string
	for i := range members {
		h, err := startHollow(i, tables, join)
		if err != nil {
			return all, err
		}
		if all = append(all, h); i == 0 {
			join = []string{h.Address()}
		}
	}
	for _, h := range all {
		h.run()
	}
	return all, nil
}

func endFleet(all []*hollow) {
	var wg sync.WaitGroup
	for _, h := range all {
		wg.Go(h.kill)
	}
	wg.Wait()
}

// meet waits until all have all here, and gives after how many s, 0 where they have not within the time.
func meet(all []*hollow, within time.Duration) float64 {
	for began := time.Now(); time.Since(began) < within; time.Sleep(20 * time.Millisecond) {
		met := true
		for i := len(all) - 1; met && i >= 0; i-- {
			met = all[i].here() == len(all)
		}
		if met {
			return time.Since(began).Seconds()
		}
	}
	return 0
}

// playFleet has a fleet meet and settle, and counts over a window.
func playFleet(members int, tables bool, within, settle, window time.Duration) (f fleetFigures, err error) {
	before := heldBytes()
	all, err := startFleet(members, tables)
	defer endFleet(all)
	if err != nil {
		return f, err
	}
	f.Members = members
	f.Met = meet(all, within)
	time.Sleep(settle)
	n, s := float64(members), 0.0
	began, busy, was := time.Now(), processorTime(), trafficOf(all)
	time.Sleep(window)
	busy, s = processorTime()-busy, time.Since(began).Seconds()
	t := trafficOf(all)
	f.Core = busy.Seconds() / s / n
	f.Packets, f.Bytes = float64(t.Packets-was.Packets)/s/n, float64(t.PacketBytes-was.PacketBytes)/s/n
	f.Streams = float64(t.Streams-was.Streams) / s / n
	f.Stream = float64(t.StreamOut+t.StreamIn-was.StreamOut-was.StreamIn) / s / n
	f.Held = (heldBytes() - before) / n
	return f, nil
}
