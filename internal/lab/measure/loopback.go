package measure

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"nettlefold/internal/lab/fleet"
	"nettlefold/internal/lab/standin"
	"nettlefold/internal/routing"
	"nettlefold/internal/store"
	"nettlefold/mixer"
)

// site is mixers with their real routers in real time, searchers as queues in this process, and the store on a socket.
type site struct {
	setup     fleet.Setup
	routers   []*routing.Router
	searchers map[string]*queue
	mu        sync.Mutex
	took      []float64 // ms, of lookups answered
	all, in   int
}

// queue is a searcher: cores that serve one part at a time.
type queue struct {
	mu   sync.Mutex
	free []time.Time
}

// serve books a part and gives how long it takes from now on.
func (q *queue) serve(work time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, first := time.Now(), 0
	for i := range q.free {
		if q.free[i].Before(q.free[first]) {
			first = i
		}
	}
	begin := q.free[first]
	if begin.Before(now) {
		begin = now
	}
	q.free[first] = begin.Add(work)
	return q.free[first].Sub(now)
}

// lookup has one mixer take a lookup and carries its forwards to the searchers.
func (s *site) lookup(ctx context.Context, at int, id string, slices []int, rng *rand.Rand) {
	r, began := s.routers[at], time.Now()
	l := routing.Lookup{ID: id, Tariff: "all", Expires: began.Add(time.Duration(s.setup.Charter.Tariffs[0].Patience))}
	for _, slice := range slices {
		l.Parts = append(l.Parts, routing.Part{Slice: slice, Weight: 1 / float64(len(slices))})
	}
	ticket, err := r.Take(l)
	for err == nil {
		step, fault := ticket.Pick(ctx)
		if fault != nil {
			break
		}
		for _, call := range step.Calls {
			q := s.searchers[call.Searcher]
			for _, f := range call.Forwards {
				if !f.Leave() {
					continue
				}
				work := time.Duration((rng.ExpFloat64() + rng.ExpFloat64()) / 2 * float64(s.setup.Work))
				time.AfterFunc(q.serve(work), func() { f.Report(mixer.Succeeded, nil) })
			}
		}
		if step.Final != nil {
			took := time.Since(began)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.all++
			if step.Final.Verdict == routing.Answered && step.Final.Whole {
				s.took = append(s.took, float64(took)/1e6)
				if took <= time.Duration(s.setup.Charter.Tariffs[0].Expected) {
					s.in++
				}
			}
			return
		}
	}
	s.mu.Lock()
	s.all++
	s.mu.Unlock()
}

// play runs a site for a time, with the store at an address or alone where that is "". It gives the clients of the store.
func (s *site) play(address string, last time.Duration) []*store.Client {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(context.Background())
	var wg, clients sync.WaitGroup
	var all []*store.Client
	s.searchers = map[string]*queue{}
	var rows []routing.Entry
	for i := range s.setup.Searchers {
		name := fmt.Sprintf("s%d", i)
		s.searchers[name] = &queue{free: make([]time.Time, s.setup.Cores)}
		rows = append(rows, routing.Entry{Searcher: name, Cell: i % s.setup.Charter.Cells, Zone: "a"})
	}
	for i := range s.setup.Mixers {
		c := s.setup.Charter
		c.Zone, c.Mixers = "a", s.setup.Mixers
		r, err := routing.New(c, map[string]int{"all": 0}, 1<<20, s.setup.Seed*100+int64(i), log)
		if err != nil {
			panic(err)
		}
		r.Listed(rows, true)
		s.routers = append(s.routers, r)
		wg.Go(func() { r.Run(ctx) })
		if address != "" {
			client := store.New(store.Options{Address: address, Site: "lab", Mixer: fmt.Sprintf("m%d", i), Timeout: 200 * time.Millisecond, Protocol: 3})
			all = append(all, client)
			k := store.NewKeeper(r, client, fmt.Sprintf("m%d", i), "a", int64(i+1), log)
			wg.Go(func() { k.Run(ctx) })
		}
	}
	end := time.Now().Add(last)
	for i := range s.setup.Mixers {
		clients.Go(func() {
			rng := rand.New(rand.NewSource(s.setup.Seed*1000 + int64(i)))
			for n := 0; ; n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / s.setup.Rates[i] * 1e9))
				if time.Now().After(end) {
					return
				}
				first, own := rng.Intn(s.setup.Charter.Cells), rand.New(rand.NewSource(rng.Int63()))
				clients.Go(func() {
					s.lookup(ctx, i, fmt.Sprint(n), []int{first, (first + 1) % s.setup.Charter.Cells}, own)
				})
			}
		})
	}
	clients.Wait()
	cancel()
	wg.Wait()
	for _, c := range all {
		c.Close()
	}
	return all
}

// loopback plays eight mixers in real time, alone, with the stand-in store on a socket, and with one that stalls.
func loopback(quick bool, row func(string, float64, float64), claim func(bool, string, ...any)) error {
	last := 30 * time.Second
	if quick {
		last = 6 * time.Second
	}
	const mixers = 8
	server := &standin.Server{}
	if err := server.Start(""); err != nil {
		return err
	}
	defer server.Stop()
	stalled := &standin.Server{}
	if err := stalled.Start(""); err != nil {
		return err
	}
	defer stalled.Stop()
	stalled.Trouble(standin.Troubles{Stall: true})
	var sites [3]site
	var clients [3][]*store.Client
	var wg sync.WaitGroup
	for arm, address := range []string{"", server.Address(), stalled.Address()} {
		sites[arm].setup = fleet.Usual(1, mixers, 0.5, 0, false)
		wg.Go(func() { clients[arm] = sites[arm].play(address, last) })
	}
	wg.Wait()
	p99 := func(s *site) float64 { return quantile(s.took, 0.99) }
	share := func(s *site) float64 { return float64(s.in) / float64(max(s.all, 1)) }
	row(fmt.Sprintf("loopback, %d mixers, %s: ms at the 99th percentile", mixers, last), p99(&sites[0]), p99(&sites[1]))
	row("loopback: in expected time", share(&sites[0]), share(&sites[1]))
	row("loopback, store stalled: ms at the 99th percentile", p99(&sites[0]), p99(&sites[2]))
	row("loopback, store stalled: in expected time", share(&sites[0]), share(&sites[2]))
	commands, bytes := 0.0, 0.0
	for _, c := range clients[1] {
		commands += float64(c.Stats.Commands) / mixers / last.Seconds()
		bytes += float64(c.Stats.Read+c.Stats.Sent) / mixers / last.Seconds()
	}
	row("loopback: commands a mixer and second", 0, commands)
	row("loopback: bytes a mixer and second", 0, bytes)
	claim(commands > 1 && commands <= 20, "a mixer sends at most 20 commands a second, %.1f", commands)
	claim(share(&sites[2]) >= share(&sites[0])-0.01, "loopback, store stalled: in expected time %.4f, alone %.4f", share(&sites[2]), share(&sites[0]))
	// The arms run beside each other on the same seeds. What a run can tell is the spread of the 99th percentile itself, about
	// a tenth at a few thousand lookups.
	claim(p99(&sites[1]) <= 1.1*p99(&sites[0])+2, "no added time at the 99th percentile that the run can tell: %.1f ms, alone %.1f ms", p99(&sites[1]), p99(&sites[0]))
	return nil
}
