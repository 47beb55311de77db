package transport

import (
	"nettlefold/internal/protocol"
	"nettlefold/mixer"
)

// batch is how many searchers and connections are gone through under one hold of the lock: as many as rows of the list reach the module at once.
const batch = 64

// relist takes news of where searchers are. It gives the connections that it has claimed, since nothing is waited for on them, and those
// to processes that are no more, on which nothing new goes out. Between two holds of the lock it rests. A searcher that the list still has
// is at no moment taken for gone: sweep, which may come between, would close its idle connections.
func (s *Searchers) relist(list protocol.MemberList, rest func()) (unused []claimed, old []*conn) {
	var named map[string]bool
	if list.Snapshot {
		named = make(map[string]bool, len(list.Members))
		for i := range list.Members {
			named[list.Members[i].Searcher] = true
		}
	}
	left := batch
	spend := func(n int) {
		if left -= n; left <= 0 {
			s.mu.Unlock()
			rest()
			s.mu.Lock()
			left = batch
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list.Members {
		spend(s.place(&list.Members[i], &unused, &old))
	}
	if list.Snapshot {
		for name, to := range s.all { // what sweep deletes meanwhile doesn't come up; only this adds any
			if !named[name] {
				s.stands(to, mixer.Dead)
			}
			spend(1)
		}
	}
	return unused, old
}

// place notes where a searcher is, claims its connections that are of no more use, and gives how many things it has gone through. The lock is held.
func (s *Searchers) place(m *protocol.Member, unused *[]claimed, old *[]*conn) int {
	to := s.all[m.Searcher]
	if to == nil {
		to = &searcher{name: m.Searcher}
		s.all[m.Searcher] = to
	}
	s.stands(to, m.Status)
	moved := m.Address != "" && m.Address != to.address
	if m.Address != "" {
		to.address = m.Address
	}
	n := 1 + len(to.conns)
	var done []*conn
	for _, l := range to.conns {
		l.old = l.old || l.began.Before(m.StartTime)
		if l.old || moved {
			l.halted, l.spent = true, true
			if l.nc == nil || !l.old && l.live() == 0 { // nothing has gone to where it leads, or nothing is awaited
				done = append(done, l)
			} else if l.old {
				*old = append(*old, l)
			}
		}
	}
	*unused = append(*unused, s.claim(errOld, done...)...)
	return n
}
