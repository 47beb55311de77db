package transport

import (
	"context"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

// Parcel is one forward on its way to a searcher.
type Parcel struct {
	Forward *routing.Forward
	Part    protocol.Part // Within is told when it is written
	conn    *conn         // that carries it
	state   state         // of its frame
	sent    time.Time     // when that was written
	given   bool          // up, and what has left of it is told so
	ended   bool          // its lookup has
}

// state is how far a frame has come. Once it is being written only the writer can tell what became of it.
type state int

const (
	queued state = iota
	writing
	written // with its last byte
)

// Searchers holds the connections to all searchers.
type Searchers struct {
	lim charter.Limits
	log *slog.Logger
	ctx context.Context
	end context.CancelFunc
	wg  sync.WaitGroup

	short sync.Once // logs that connections run short

	mu    sync.Mutex
	all   map[string]*searcher
	conns int
}

// searcher is one machine of the list with the connections to it.
type searcher struct {
	name, address string
	gone          bool
	conns         []*conn
}

// NewSearchers starts without any searcher. Close must be called at the end.
func NewSearchers(lim charter.Limits, log *slog.Logger) *Searchers {
	s := &Searchers{lim: lim, log: log, all: map[string]*searcher{}}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.wg.Add(1)
	go s.sweep()
	return s
}

// Close ends all connections and waits for their goroutines.
func (s *Searchers) Close() {
	s.end()
	s.mu.Lock()
	var conns []*conn
	for _, to := range s.all {
		conns = append(conns, to.conns...)
	}
	all := s.claim(errClosing, conns...)
	s.mu.Unlock()
	s.finish(all)
	s.wg.Wait()
}

// Listed takes news of where searchers are: from now on parts go there only. What it gives is to be called once those who
// choose searchers have the news too, since they choose again for parts that are lost: it closes the connections to
// processes that are no more. A process that has only moved keeps what it has; its connection goes with its last part.
// One list comes at a time, as the watch hands them on. The lock is held for a bounded number of searchers and connections at a time.
func (s *Searchers) Listed(list protocol.List) (end func()) {
	unused, old := s.relist(list, runtime.Gosched)
	return func() {
		s.finish(unused)
		for _, l := range old {
			s.drop(l, errOld)
		}
	}
}

// Send puts out one call. With fresh set, idle connections to the searcher are closed before, and one that has not been
// heard of since a part went out there is not used.
func (s *Searchers) Send(name string, fresh bool, call []*Parcel) {
	s.mu.Lock()
	to := s.all[name]
	if to == nil || s.ctx.Err() != nil {
		s.mu.Unlock()
		report(call, mixer.Unreached)
		return
	}
	var idle []*conn
	var best *conn
	for _, l := range to.conns {
		live := l.live()
		silent, whole := l.silent()
		if whole {
			l.halted, l.spent = true, true
		}
		if fresh && live == 0 && l.nc != nil {
			idle = append(idle, l)
		} else if best == nil && live+len(call) <= s.lim.Streams && !l.halted && !(fresh && silent) && !l.worn(s.lim) && l.takes(call) {
			best = l
		}
	}
	unused := s.claim(errIdle, idle...)
	if best == nil && s.conns >= s.lim.Conns() {
		spare := s.idlest()
		if spare == nil {
			s.mu.Unlock()
			s.finish(unused)
			s.short.Do(func() {
				s.log.Warn("more connections to searchers are needed than there are descriptors for",
					"connections", s.lim.Conns(), "searcher", name)
			})
			report(call, mixer.Unreached)
			return
		}
		unused = append(unused, s.claim(errIdle, spare)...)
	}
	if best == nil {
		best = s.open(to)
	}
	for _, p := range call {
		p.conn = best
		best.out[p.Part.ID] = p
	}
	best.queue = append(best.queue, call)
	best.rouse()
	s.mu.Unlock()
	s.finish(unused)
}

// Withdraw tells the searcher that a part is given up.
func (s *Searchers) Withdraw(p *Parcel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := p.conn; l != nil && !l.closed {
		p.given = true
		if p.state == written {
			l.giveUp(p)
		}
		l.prompt()
	}
}

// giveUp has the writer tell that a part is given up that the searcher has. The lock is held.
func (l *conn) giveUp(p *Parcel) {
	l.raw = append(l.raw, protocol.AppendFrame(nil, protocol.Withdraw, []byte(p.Part.ID)))
	l.rouse()
}

func report(call []*Parcel, o routing.Outcome) {
	for _, p := range call {
		p.Forward.Report(o, nil)
	}
}

// idlest gives the connection that has been idle longest, nil if none is. The lock is held.
func (s *Searchers) idlest() (best *conn) {
	for _, to := range s.all {
		for _, l := range to.conns {
			if l.nc != nil && l.live() == 0 && (best == nil || l.used.Before(best.used)) {
				best = l
			}
		}
	}
	return best
}

// sweep closes connections that are of no more use, until the end. Idle ones go before the searcher would close
// them, who counts from the last byte that it has seen.
func (s *Searchers) sweep() {
	defer s.wg.Done()
	every := time.NewTicker(s.lim.Sweep())
	defer every.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-every.C:
		}
		var idle []*conn
		s.mu.Lock()
		for name, to := range s.all {
			if to.gone && len(to.conns) == 0 {
				delete(s.all, name)
			}
			for _, l := range to.conns {
				done := to.gone || l.spent || l.worn(s.lim) || time.Since(l.used) >= s.lim.Idle()
				if done && l.nc != nil && l.live() == 0 {
					idle = append(idle, l)
				}
			}
		}
		all := s.claim(errIdle, idle...)
		s.mu.Unlock()
		s.finish(all)
	}
}
