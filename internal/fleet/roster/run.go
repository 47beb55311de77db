package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Waits between tries to find others.
const (
	firstTry = 250 * time.Millisecond
	lastTry  = 15 * time.Second
	calmTry  = time.Minute // where nobody is missed: two halves that do not know of each other would never meet
	mostPing = 16          // pings in one beat of ours; beyond as many members each waits for its turn
)

// seek joins, and looks again for who is missed, until the context ends: for seeds that were never reached, and for lives that
// are cut off, where they were. Memberlist itself gives up the dead after a while.
func (r *Roster) seek(ctx context.Context) {
	reached := make([]bool, len(r.join))
	changes := r.Watch()
	wait, missed := firstTry, 0
	for next := 0; ; next++ {
		tries, lack := r.missing()
		for i, seed := range r.join {
			if !reached[i] || lack || wait == calmTry && i == next%len(r.join) {
				reached[i] = r.look(ctx, "", seed) || reached[i]
			}
		}
		for node, at := range tries {
			r.look(ctx, node, at)
		}
		now, lack := r.missing()
		lack = lack || slices.Contains(reached, false)
		switch {
		case !lack && len(now) == 0:
			wait = calmTry
		case wait == calmTry || len(now) > missed:
			wait = firstTry
		default:
			wait = min(2*wait, lastTry)
		}
		missed = len(now)
		if !r.pause(ctx, wait, changes) {
			return
		}
	}
}

// pause waits for a time drawn around the given, less where all was calm and somebody is lost; false once the context has ended.
func (r *Roster) pause(ctx context.Context, wait time.Duration, changes <-chan struct{}) bool {
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-changes:
			if away, nobody := r.missing(); wait == calmTry && (nobody || len(away) > 0) {
				return true
			}
		}
	}
}

// missing gives where to look for those who are cut off, eight of them at most, and whether nobody else is here.
func (r *Roster) missing() (at map[string]string, nobody bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, nobody = map[string]string{}, true
	for _, m := range r.ledger.members() {
		switch {
		case m.Life.Life == r.self.Life:
		case m.State < CutOff:
			nobody = false
		case m.State == CutOff:
			if a, ok := r.where[node(m.Life)]; ok && len(at) < 8 {
				at[node(m.Life)] = a.String()
			}
		}
	}
	return at, nobody
}

// look exchanges all with whoever is at an address, under the name of a node where it is known.
func (r *Roster) look(ctx context.Context, node, address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || ctx.Err() != nil {
		return false
	}
	within, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ips, err := r.lookup.LookupHost(within, host)
	if err != nil {
		r.log.Debug("an address to join is not known", "address", address, "error", err)
		return false
	}
	met := false
	for _, ip := range ips[:min(len(ips), 8)] {
		to := net.JoinHostPort(ip, port)
		if node != "" {
			to = node + "/" + to
		}
		n, err := r.ml.Join([]string{to})
		if err != nil {
			r.log.Debug("nobody is met", "address", to, "error", err)
		}
		met = met || n > 0
	}
	return met
}

// ping asks members in turn whether they are there, and has the ledger forget. Memberlist's own pings come to each member the
// more rarely the more there are, and it does not tell whom it doubts; these are the evidence of this process itself.
func (r *Roster) ping(ctx context.Context) {
	beat := time.NewTicker(2 * r.beat)
	defer beat.Stop()
	for next := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		r.mu.Lock()
		r.changed(r.ledger.tick(r.now()))
		r.mu.Unlock()
		all := r.reached()
		n := min(len(all), mostPing)
		began := time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		dumb := make([]Life, 0, n)
		for range n {
			next = (next + 1) % len(all)
			to := all[next]
			wg.Go(func() {
				if _, err := r.ml.Ping(node(to.who), to.at); err == nil {
					r.step(event{what: heard, life: to.who})
					return
				}
				mu.Lock()
				defer mu.Unlock()
				dumb = append(dumb, to.who)
			})
		}
		wg.Wait()
		if time.Since(began) > 2*r.beat {
			continue // this process stood still: what it did not hear meanwhile says nothing of others
		}
		for _, who := range dumb {
			r.step(event{what: silent, life: who})
		}
	}
}

// spot is where somebody is.
type spot struct {
	who Life
	at  *net.UDPAddr
}

// reached gives who else is not lost, in order.
func (r *Roster) reached() (all []spot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.ledger.members() {
		if at, ok := r.where[node(m.Life)]; ok && m.State < CutOff && m.Life.Life != r.self.Life {
			all = append(all, spot{m.Life, at})
		}
	}
	return all
}

// take hands on news, and settles this life's term, until the context ends.
func (r *Roster) take(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.settle:
			r.rank()
		case n := <-r.inbox:
			if r.exchange == nil {
				continue
			}
			if err := r.exchange.Take(n.Name, n.What); err != nil {
				r.log.Warn("news is refused", "from", n.Name, "error", err)
			}
		}
	}
}

// rank sets this life's term, once, at its first exchange with another: above those of all earlier lives of its name.
func (r *Roster) rank() {
	r.mu.Lock()
	if r.term > 0 {
		r.mu.Unlock()
		return
	}
	term := uint32(0)
	for _, m := range r.ledger.members() {
		if m.Name == r.self.Name {
			term = max(term, m.Term)
		}
	}
	r.term = term + 1
	r.mu.Unlock()
	if err := r.ml.UpdateNode(4 * r.beat); err != nil {
		r.log.Debug("our term is told late", "error", err)
	}
}

// leave says goodbye, straight to those who are here and by gossip to all.
func (r *Roster) leave() {
	r.end.Lock()
	defer r.end.Unlock()
	if r.ended {
		return // closed before: memberlist does not leave after its end
	}
	raw := r.say(news{Bye: true})
	for _, to := range r.reached() {
		r.ml.SendToAddress(memberlist.Address{Addr: to.at.String(), Name: node(to.who)}, raw)
	}
	if err := r.ml.Leave(4 * r.beat); err != nil {
		r.log.Debug("left in haste", "error", err)
	}
}

// seen remembers which news has come, the last mostSeen pieces.
type seen struct {
	mu   sync.Mutex
	has  map[[2]uint64]bool
	ring [][2]uint64
	next int
}

func (s *seen) first(life, number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := [2]uint64{life, number}
	if s.has[k] {
		return false
	}
	if s.has == nil {
		s.has, s.ring = map[[2]uint64]bool{}, make([][2]uint64, mostSeen)
	}
	if old := s.ring[s.next]; old != [2]uint64{} {
		delete(s.has, old)
	}
	s.has[k], s.ring[s.next] = true, k
	s.next = (s.next + 1) % mostSeen
	return true
}
