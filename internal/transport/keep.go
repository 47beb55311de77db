package transport

import (
	"errors"
	"math"
	"time"

	"nettlefold/internal/conns"
	"nettlefold/internal/protocol"
	"nettlefold/mixer"
)

// epoch is from where the pool's time is counted.
var epoch = time.Now()

// since gives a time as the pool has it.
func since(t time.Time) int64 { return int64(t.Sub(epoch)) }

// Used tells the pool when the connection was last written to or read from. The lock is held.
func (l *conn) Used() int64 { return since(l.used) }

// peer gives the pool's account of a searcher, nil where no budget is set. The lock is held.
func (s *Searchers) peer(to *searcher) *conns.Peer {
	if s.peers == nil {
		return nil
	}
	p := s.peers[to]
	if p == nil {
		p = &conns.Peer{}
		s.peers[to] = p
	}
	return p
}

// judge tells the pool what a connection is worth now. The lock is held.
func (s *Searchers) judge(l *conn) {
	switch {
	case l.closed:
	case l.nc == nil || l.live() > 0:
		s.pool.Busy(&l.kept)
	default:
		class := conns.Sound
		if silent, _ := l.silent(); silent {
			class = conns.Silent
		}
		switch {
		case l.spent || l.worn(s.lim):
			class = conns.Spent
		case l.to.gone:
			class = conns.Gone
		case l.to.draining && class == conns.Sound:
			class = conns.Draining
		}
		s.pool.Idle(&l.kept, class)
	}
}

// rest notes that a forward on the connection has had its outcome. It is called under the router's lock, where the table's
// must not be taken: what the connection is worth now is asked before that is next of use.
func (s *Searchers) rest(l *conn) {
	s.restMu.Lock()
	defer s.restMu.Unlock()
	if !l.told {
		l.told = true
		s.resting = append(s.resting, l)
	}
}

// settle has the pool know of so many connections on which a forward has had its outcome, and tells whether that was all of them.
// Each stands there for one outcome at least, so that to go through all of them costs each part a bounded share. The lock is held.
func (s *Searchers) settle(most int) bool {
	s.restMu.Lock()
	n := min(most, len(s.resting))
	some := s.resting[:n:n]
	if s.resting = s.resting[n:]; len(s.resting) == 0 {
		s.resting = nil
	}
	for _, l := range some {
		l.told = false
	}
	all := s.resting == nil
	s.restMu.Unlock()
	for _, l := range some {
		s.judge(l)
	}
	return all
}

// mayOpen tells whether one more connection may be opened now, one being closed for it where freed is set or one is idle. Without
// a budget it always may be, as far as the budget goes. The lock is held.
func (s *Searchers) mayOpen(now int64, freed bool) bool {
	if s.peers == nil {
		return true
	}
	if s.pool.TooFast(now) {
		return false
	}
	if freed || !s.pool.TooMany() {
		return true
	}
	s.settle(math.MaxInt)
	e, _ := s.pool.Spare(now)
	return e != nil
}

// room makes room for one more connection, or tells what becomes of parts that need it: unreached where no descriptor can be had,
// else they have never left, which the module holds against nobody. Satisfied means that there is room. The lock is held.
func (s *Searchers) room(now int64, to *searcher) (unused []claimed, refused mixer.Outcome) {
	fast, short := s.pool.TooFast(now), s.conns >= s.lim.MaxBackendConns()
	if !fast && !short && !s.pool.TooMany() {
		return nil, mixer.Succeeded
	}
	if !fast {
		s.settle(math.MaxInt)
		if e, why := s.pool.Spare(now); e != nil {
			return s.claim(idleFor(why), e.Conn().(*conn)), mixer.Succeeded
		}
	}
	if !fast && short {
		s.short.Do(func() {
			s.log.Warn("more connections to searchers are needed than there are descriptors for",
				"connections", s.lim.MaxBackendConns(), "searcher", to.name)
		})
		return nil, mixer.Unreachable
	}
	s.pool.Refused(fast)
	s.tight.Do(func() {
		s.log.Warn("more connections to searchers are needed than the budget has", "rate", fast, "budget", s.pool.Budget(), "searcher", to.name)
	})
	return nil, mixer.NeverSent
}

// unlock lets go of the lock, after all that may have made connections idle, and finishes what was claimed under it and what is idle
// beyond the budget.
func (s *Searchers) unlock(unused ...claimed) {
	for s.pool.Crowded() {
		e, why := s.pool.Spare(since(time.Now()))
		unused = append(unused, s.claim(idleFor(why), e.Conn().(*conn))...)
	}
	s.mu.Unlock()
	s.finish(unused)
}

// stands notes how a searcher stands in the list. The lock is held.
func (s *Searchers) stands(to *searcher, status mixer.Status) {
	gone, draining := status == mixer.Dead, status == mixer.Draining
	if gone != to.gone || draining != to.draining {
		to.gone, to.draining = gone, draining
		s.mark(to)
	}
}

// mark has the next sweep look at a searcher. The lock is held.
func (s *Searchers) mark(to *searcher) {
	if !to.marked {
		to.marked = true
		s.changed = append(s.changed, to)
	}
}

// follow has the pool know how so many searchers stand whose standing may have changed, forgets those that are gone and without
// connections, and tells whether that was all. The lock is held.
func (s *Searchers) follow(most int) bool {
	n := min(most, len(s.changed))
	for _, to := range s.changed[:n] {
		to.marked = false
		if to.gone && len(to.conns) == 0 {
			s.forget(to)
			continue
		}
		for _, l := range to.conns {
			s.judge(l)
		}
	}
	s.changed = s.changed[n:]
	if len(s.changed) > 0 {
		return false
	}
	s.changed = nil
	return true
}

// forget drops a searcher that is gone and has no connections. The lock is held.
func (s *Searchers) forget(to *searcher) {
	if s.all[to.name] == to {
		delete(s.all, to.name)
	}
	delete(s.peers, to)
}

// sweepBatch is how much of a sweep is done under one hold of the lock.
const sweepBatch = 512

// sweep closes connections that are of no more use, until the end. Idle ones go before the searcher would close
// them, who counts from the last byte that it has seen. It looks only at what has changed and at what is due.
func (s *Searchers) sweep() {
	defer s.wg.Done()
	every := time.NewTicker(s.lim.IdleSweepInterval())
	defer every.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-every.C:
		}
		for done := false; !done && s.ctx.Err() == nil; {
			s.mu.Lock()
			settled, followed := s.settle(sweepBatch), s.follow(sweepBatch)
			done = settled && followed
			var unused []claimed
			for len(unused) < sweepBatch {
				e, why := s.pool.Due(since(time.Now()))
				if e == nil {
					break
				}
				unused = append(unused, s.claim(idleFor(why), e.Conn().(*conn))...)
			}
			done = done && len(unused) < sweepBatch
			s.unlock(unused...)
		}
	}
}

// idleFor is the error of a connection that was closed while nothing was waited for on it.
type idleFor conns.Reason

func (r idleFor) Error() string { return "idle: " + conns.Reason(r).String() }

// reason gives why a connection is closed as the pool counts it.
func reason(why error, up bool) conns.Reason {
	var given idleFor
	var bad *protocol.FrameError
	switch {
	case errors.As(why, &given):
		return conns.Reason(given)
	case errors.Is(why, errClosing):
		return conns.ForLeaving
	case errors.Is(why, errOld):
		return conns.ForRestart
	case errors.Is(why, errSpent):
		return conns.ForSpent
	case errors.As(why, &bad):
		return conns.ForFault
	case !up:
		return conns.ForFailure
	}
	return conns.ForEnd
}

// Connections tells how many connections there are and what became of all since the start.
func (s *Searchers) Connections() conns.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Stats()
}
