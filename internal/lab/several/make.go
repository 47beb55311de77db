package several

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"nettlefold/example/toy"
)

// claim takes addresses of the loopback that no other world has.
func (w *World) claim() error {
	for range 100 {
		w.block = fmt.Sprintf("127.%d.%d", 100+rand.Intn(100), rand.Intn(250))
		l, err := net.Listen("tcp", w.block+".254:9000")
		if err == nil {
			w.lock = l
			return nil
		}
	}
	return errors.New("no block of the loopback is free")
}

func (w *World) host(index int) string { return fmt.Sprintf("%s.%d", w.block, index+1) }

// make makes parties and wires, and starts them.
func (w *World) make() error {
	if err := w.claim(); err != nil {
		return err
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "nettlefold-several"); err != nil {
		return err
	}
	n := 0
	party := func(name string) int {
		n++
		w.parties[w.host(n-1)] = name
		return n - 1
	}
	for k, site := range w.Sites {
		for i := range w.Setup.Searchers {
			s := &Searcher{Name: fmt.Sprintf("%s-s%d", site, i), Site: site, Cell: i % cells, w: w,
				free: make([]time.Time, w.Cores), work: w.Work}
			s.index = party(s.Name)
			s.toy = &toy.Searcher{Name: s.Name, Zone: site, Cell: s.Cell, Address: w.address(s.index, portServe), Handle: s.handle,
				Withdrawn: w.Book.gave, Ended: func(c *toy.Conn) { w.Book.gave(c, "") }}
			w.Searchers = append(w.Searchers, s)
		}
		for i := range w.Setup.Mixers {
			m := &Mixer{process: process{Name: fmt.Sprintf("%s-m%d", site, i), Site: site, w: w},
				searchers: map[string]string{}, routes: map[string]string{}, control: map[string]string{}}
			m.index = party(m.Name)
			m.Agent = &Agent{w: w, list: &toy.List{}, changed: make(chan struct{}), told: map[string]time.Time{}}
			w.Mixers = append(w.Mixers, m)
		}
		for i := range w.Setup.Relays {
			r := &Relay{process: process{Name: fmt.Sprintf("%s-r%d", site, i), Site: site, w: w}, control: map[string]string{}}
			r.index = party(r.Name)
			if w.StandIn != nil {
				r.stand = w.StandIn(r.Name)
			}
			w.Relays = append(w.Relays, r)
		}
		f := &Front{Name: site + "-front", Site: site, w: w, mixers: map[string]string{}, well: map[string]bool{},
			idle: map[string][]*link{}, rate: w.Setup.Rate, rng: rand.New(rand.NewSource(w.Seed*100 + int64(k)))}
		f.index = party(f.Name)
		w.Fronts = append(w.Fronts, f)
	}
	if err := w.lay(); err != nil {
		return err
	}
	for _, s := range w.Searchers {
		if err := s.begin(); err != nil {
			return err
		}
	}
	for _, r := range w.Relays {
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, m := range w.Mixers {
		l, err := net.Listen("tcp", w.address(m.index, portAgent))
		if err != nil {
			return err
		}
		at := &http.Server{Handler: m.Agent}
		w.agents = append(w.agents, at)
		w.wg.Go(func() { at.Serve(l) })
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, f := range w.Fronts {
		f.run(&w.wg)
	}
	return nil
}

// lay lays the wires: from each front to each mixer, from each mixer to each searcher, and between mixers, with packets.
func (w *World) lay() error {
	seed := w.Seed << 20
	join := func(kind, from, to string, x, y, port, base int) (string, *wire, error) {
		seed++
		at := w.address(y, base+x)
		made, err := w.net.wire(kind, from, to, at, w.address(y, port), w.host(x), seed)
		return at, made, err
	}
	var err error
	for _, m := range w.Mixers {
		for _, f := range w.Fronts {
			if f.mixers[m.Name], _, err = join("", f.Name, m.Name, f.index, m.index, portServe, portWire); err != nil {
				return err
			}
		}
		for _, s := range w.Searchers {
			if m.searchers[s.Name], _, err = join("", m.Name, s.Name, m.index, s.index, portServe, portWire); err != nil {
				return err
			}
		}
	}
	for _, r := range w.Relays {
		for _, m := range w.Mixers {
			if m.control[r.Name], _, err = join("", m.Name, r.Name, m.index, r.index, portServe, portWire); err != nil {
				return err
			}
		}
		for _, o := range w.Relays {
			if o != r {
				if o.control[r.Name], _, err = join("", o.Name, r.Name, o.index, r.index, portServe, portWire); err != nil {
					return err
				}
			}
		}
	}
	if !w.Fleet {
		return nil
	}
	between := map[[2]string]*wire{}
	for _, m := range w.Mixers {
		for _, o := range w.Mixers {
			if m == o {
				continue
			}
			at, made, err := join("gossip ", m.Name, o.Name, m.index, o.index, portGossip, portGossipWire)
			if err != nil {
				return err
			}
			if made.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(at))); err != nil {
				return err
			}
			m.routes[o.Name] = at
			between[[2]string{m.Name, o.Name}] = made
		}
	}
	for pair, there := range between {
		seed++
		back, own := between[[2]string{pair[1], pair[0]}], seed
		w.wg.Go(func() { there.packets(back, own) })
	}
	return nil
}

// settings are the platform's, for one mixer.
func (w *World) settings(m *Mixer) object {
	ms := func(d time.Duration) float64 { return float64(d) / 1e6 }
	s := object{
		"Locality": m.Site, "NInstances": len(w.Mixers), "MembershipMode": "pushed",
		"FamilyInfo": object{"Sets": cells, "Width": 1, "Slabs": slabs, "PerCall": 4, "CompleteFrom": []float64{1, 0.5, 1},
			"LeastShare": []float64{1, 0.5, 1}, "ClassPartial": []float64{0, 0, 0}, "FetchParts": []int{0, 0, 0}},
		"PolicyLimits": object{"MaxAttempts": 3, "MayDuplicate": false, "Cancel": true, "RetryAfter": true,
			"MaxRetryAfterMs": 500.0, "MaxOpen": 200, "MaxStreams": 100, "ConnectTimeoutMs": 250.0, "KeepaliveMs": 30000.0},
		"Guarantees": object{"ColdFrom": w.ColdFrom, "ColdMs": ms(w.ColdFor), "FallMultiple": w.FallMultiple, "FallMs": ms(w.FallFor)},
		"Fees":       object{"CrossZone": 0.05},
		"Profiles": []object{
			{"Name": allParts, "AimMs": ms(w.Patience) / 2, "DeadlineMs": ms(w.Patience), "Effect": "retryable"},
			{"Name": anyHalf, "AimMs": ms(w.Patience) / 2, "DeadlineMs": ms(w.Patience), "Effect": "retryable"},
			{"Name": onceOnly, "AimMs": ms(w.Patience) / 2, "DeadlineMs": ms(w.Patience), "Effect": "fragile"}},
	}
	if w.Change != nil {
		w.Change(m.Name, s)
	}
	return s
}

// fleet gives what a mixer's own settings have beside its admin listener.
func (w *World) fleet(m *Mixer) string {
	all := w.control(&m.process, m.control)
	if w.Own != nil {
		all += w.Own(m.Name)
	}
	if !w.Fleet {
		return all
	}
	within := strings.Builder{}
	for _, site := range w.Sites {
		fmt.Fprintf(&within, `<site name="%s"/>`, site)
	}
	for _, o := range w.Mixers {
		if o != m {
			fmt.Fprintf(&within, `<route to="%s" address="%s"/><join address="%s"/>`, o.Name, m.routes[o.Name], m.routes[o.Name])
		}
	}
	alone := map[bool]string{true: "yes", false: "no"}[len(w.Sites) < 3] // as settings want it where no quorum is possible
	own := w.address(m.index, portGossip)
	return all + fmt.Sprintf(`<fleet listen="%s" site="%s" alone="%s">%s</fleet>`, own, m.Site, alone, &within)
}
