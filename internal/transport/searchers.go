package transport

import (
	"context"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"time"

	"nettlefold/internal/charter"
	"nettlefold/internal/conns"
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

	short, tight sync.Once // log that connections run short, and that the budget has no more

	mu      sync.Mutex
	all     map[string]*searcher
	conns   int // that hold descriptors or soon will
	pool    *conns.Pool
	peers   map[*searcher]*conns.Peer // where a budget is set: of those that were sent something
	changed []*searcher               // whose standing in the list may have, since it was last looked at

	restMu  sync.Mutex // held last of all, and for a moment only
	resting []*conn    // on which a forward has had its outcome, each once
}

// searcher is one machine of the list with the connections to it.
type searcher struct {
	name, address string
	gone          bool
	draining      bool
	marked        bool // it stands in Searchers.changed
	conns         []*conn
}

// NewSearchers starts without any searcher. Close must be called at the end.
func NewSearchers(lim charter.Limits, log *slog.Logger) *Searchers {
	return NewSearchersWithin(conns.Budget{}, lim, log)
}

// NewSearchersWithin is NewSearchers with a budget of connections.
func NewSearchersWithin(b conns.Budget, lim charter.Limits, log *slog.Logger) *Searchers {
	s := &Searchers{lim: lim, log: log, all: map[string]*searcher{}, pool: conns.New(b, int64(lim.IdleTimeout()))}
	if b.Set() {
		s.peers = map[*searcher]*conns.Peer{}
	}
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
func (s *Searchers) Listed(list protocol.MemberList) (end func()) {
	unused, old := s.relist(list, runtime.Gosched)
	return func() {
		s.finish(unused)
		for _, l := range old {
			s.drop(l, errOld)
		}
	}
}

// Send puts out one call. With fresh set, idle connections to the searcher are closed before, and one that has not been
// heard of since a part went out there is not used, unless a new one would be beyond the budget.
func (s *Searchers) Send(name string, fresh bool, call []*Parcel) {
	s.mu.Lock()
	to := s.all[name]
	if to == nil || s.ctx.Err() != nil {
		s.mu.Unlock()
		report(call, mixer.Unreachable)
		return
	}
	now := since(time.Now())
	if p := s.peer(to); p != nil {
		s.pool.Use(now, p)
	}
	var idle []*conn
	var best, second *conn
	for _, l := range to.conns {
		live := l.live()
		silent, whole := l.silent()
		if whole {
			l.halted, l.spent = true, true
			s.judge(l)
		}
		fits := live+len(call) <= s.lim.MaxStreamsPerConn && !l.halted && !l.worn(s.lim) && l.takes(call)
		if fresh && live == 0 && l.nc != nil {
			idle = append(idle, l)
		} else if best == nil && fits && !(fresh && silent) {
			best = l
		}
		if second == nil && fits {
			second = l
		}
	}
	if best == nil && second != nil && !s.mayOpen(now, len(idle) > 0) {
		best = second
		idle = slices.DeleteFunc(idle, func(l *conn) bool { return l == best })
	}
	unused := s.claim(idleFor(conns.ForFresh), idle...)
	if best == nil {
		spare, refused := s.room(now, to)
		unused = append(unused, spare...)
		if refused != mixer.Succeeded {
			s.unlock(unused...)
			report(call, refused)
			return
		}
		best = s.open(to)
	}
	for _, p := range call {
		p.conn = best
		best.out[p.Part.ID] = p
		p.Forward.Watch(&best.over)
	}
	s.judge(best)
	best.queue = append(best.queue, call)
	best.rouse()
	s.unlock(unused...)
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
	l.raw = append(l.raw, protocol.AppendFrame(nil, protocol.CancelFrame, []byte(p.Part.ID)))
	l.rouse()
}

func report(call []*Parcel, o routing.Outcome) {
	for _, p := range call {
		p.Forward.Report(o, nil)
	}
}
