package several

import (
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"nettlefold/example/toy"
)

// Searcher is a stand-in: cores that serve one part each at a time, a queue before them, and a cold start that falls over
// by the rule when it is sent too much.
type Searcher struct {
	Name, Site string
	Cell       int

	w     *World
	index int
	toy   *toy.Searcher

	mu       sync.Mutex
	up       bool
	fallen   bool
	draining time.Time // since when the list has it as draining, zero if it does not
	born     time.Time // its latest start, zero for long ago
	free     []time.Time
	work     time.Duration // that a part takes
	sent     []push        // what came in the last FallFor, while it is cold
}

// push is a part that came to a cold searcher, and whether its mixer had been told of the start.
type push struct {
	at   time.Time
	told bool
}

// Start starts it anew, cold, and has the list say so.
func (s *Searcher) Start() error {
	s.mu.Lock()
	s.born, s.fallen, s.draining, s.sent = time.Now(), false, time.Time{}, nil
	clear(s.free)
	s.mu.Unlock()
	return s.begin()
}

// begin listens.
func (s *Searcher) begin() error {
	if err := s.toy.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.up = true
	s.mu.Unlock()
	s.w.net.runs(s.Name, true)
	s.w.net.trouble(s.Name, false)
	s.w.say(s, "SERVING")
	return nil
}

// Kill ends it as a crash does; the list says nothing of it.
func (s *Searcher) Kill() error {
	s.mu.Lock()
	was := s.up
	s.up = false
	s.mu.Unlock()
	if !was {
		return nil
	}
	s.w.net.trouble(s.Name, true)
	s.w.net.runs(s.Name, false)
	s.toy.Stop()
	return nil
}

// Drain has the list say that it wants nothing new, and it turns away what comes.
func (s *Searcher) Drain() {
	s.mu.Lock()
	s.draining = time.Now()
	s.mu.Unlock()
	s.w.say(s, "DRAINING")
}

func (s *Searcher) bornAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// handle takes one part.
func (s *Searcher) handle(p toy.Part) {
	host, _, _ := net.SplitHostPort(p.Conn.RemoteAddr().String())
	from := s.w.parties[host]
	now := time.Now()
	s.mu.Lock()
	wait, runs := s.place(now, from)
	drains := s.draining
	s.mu.Unlock()
	a := s.w.Book.arrived(s, from, p, runs, drains)
	if !runs {
		p.Answer("busy", "")
		return
	}
	if s.held(p.Text) {
		return
	}
	time.AfterFunc(wait, func() {
		if s.w.Book.done(a) {
			p.Answer("ok", p.Value())
		}
	})
}

// place finds a part its core and gives how long it takes, or says that it is turned away. The lock is held.
func (s *Searcher) place(now time.Time, from string) (time.Duration, bool) {
	warm := 1.0
	if age := now.Sub(s.born); age < s.w.ColdFor {
		warm = s.w.ColdFrom + (1-s.w.ColdFrom)*float64(age)/float64(s.w.ColdFor)
		s.pushed(now, warm, from)
	}
	if s.fallen || !s.draining.IsZero() {
		return 0, false
	}
	first := 0
	for i := range s.free {
		if s.free[i].Before(s.free[first]) {
			first = i
		}
	}
	begin := s.free[first]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > s.w.Queue {
		return 0, false
	}
	s.free[first] = begin.Add(time.Duration(float64(s.work) / warm))
	return s.free[first].Sub(now), true
}

// pushed counts what comes to a cold searcher: more than N + 3 times its root + 3 parts within FallFor, N being FallMultiple
// times what it can do then, has it fall over. That breaks a rule where over two thirds came from mixers that had been told.
func (s *Searcher) pushed(now time.Time, warm float64, from string) {
	m := s.w.mixer(from)
	told, known := m.Agent.toldOf(s.Name)
	s.sent = append(s.sent, push{now, known && told.Before(now) && !told.Before(s.born)})
	s.sent = slices.DeleteFunc(s.sent, func(p push) bool { return now.Sub(p.at) > s.w.FallFor })
	n := s.w.FallMultiple * warm * float64(len(s.free)) * float64(s.w.FallFor) / float64(s.work)
	if s.fallen || float64(len(s.sent)) <= n+3*math.Sqrt(n)+3 {
		return
	}
	s.fallen = true
	go s.Kill()
	by := 0
	for _, p := range s.sent {
		if p.told {
			by++
		}
	}
	if 3*by > 2*len(s.sent) {
		s.w.Book.Break("no cold searcher is pushed over", "%s at %v of its warming: %d parts within %v, %d of mixers that knew",
			s.Name, now.Sub(s.born).Round(time.Millisecond), len(s.sent), s.w.FallFor, by)
	}
}
