package control

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

// Busy says that a relay takes no more sessions now.
type Busy struct {
	Why   string
	After int64 // ns
}

func (b *Busy) Error() string { return b.Why }

// ErrUnknown says that who tells something of itself has no session here.
var ErrUnknown = errors.New("no session of this name")

// member is a mixer that is there.
type member struct {
	sessions int
	left     int64 // when the last session ended, without one
	said     bool
	self     Self
}

// Join opens a session: of a mixer, or of another relay. since counts where it is an index of this life. The error is *Busy beyond
// this relay's share, else the name is none.
func (r *Relay) Join(now int64, name string, mixer bool, since uint64, life string) (*Session, error) {
	if !mixer && r.peer(name) == nil || name == "" || len(name) > MaxName || !utf8.ValidString(name) {
		r.notAllowed++
		return nil, fmt.Errorf("no relay or mixer is called %q", clip(name))
	}
	r.sweep(now)
	if !mixer {
		if len(r.sessions)-r.mixers >= 2*len(r.peers) {
			return nil, &Busy{"more sessions of relays than there are relays", Away}
		}
	} else if !r.flaw.rush {
		if r.mixers >= r.o.Sessions || r.members[name] == nil && len(r.members) >= 2*r.o.Sessions {
			return nil, &Busy{fmt.Sprintf("this relay's share of %d sessions is taken", r.o.Sessions), Away}
		}
		if r.opens.wait(now) > 0 {
			return nil, &Busy{fmt.Sprintf("more than %d new sessions a second", r.o.NewPerS), second}
		}
	}
	known := r.flaw.anyLife || life == r.o.Life && r.table.Known(since)
	s := NewSession(now, name, mixer, known, since)
	s.flaw = r.flaw
	r.number++
	s.number = r.number
	r.sessions[s.number] = s
	if mixer {
		r.mixers++
		r.opens.spend(1)
		m := r.members[name]
		if m == nil {
			m = &member{}
			r.members[name] = m
		}
		m.sessions++
	}
	return s, nil
}

// Leave ends a session. A mixer without another counts as there for Away longer, unless it said goodbye.
func (r *Relay) Leave(now int64, s *Session, bye bool) {
	if r.sessions[s.number] != s {
		return
	}
	delete(r.sessions, s.number)
	if !s.Mixer {
		return
	}
	r.mixers--
	if m := r.members[s.Name]; m != nil {
		if m.sessions--; m.sessions == 0 {
			if m.left = now; bye {
				delete(r.members, s.Name)
			}
		}
	}
}

func (m *member) away(now int64) bool { return m.sessions == 0 && now-m.left >= Away }

// sweep forgets mixers that have had no session for Away.
func (r *Relay) sweep(now int64) {
	if now-r.swept < second/2 {
		return
	}
	r.swept = now
	for name, m := range r.members {
		if m.away(now) {
			delete(r.members, name)
		}
	}
}

// Said takes what a mixer tells of itself. ErrUnknown: it has had no session here for Away. What breaks a bound is refused.
func (r *Relay) Said(now int64, s Self) error {
	m := r.members[s.Name]
	if m == nil || m.away(now) {
		return ErrUnknown
	}
	for _, text := range []string{s.Region, s.Zone, s.Element, s.Value, s.Relay} {
		if len(text) > MaxName || !utf8.ValidString(text) {
			r.notAllowed++
			return fmt.Errorf("a text of %d bytes is more than %d, or not UTF-8", len(text), MaxName)
		}
	}
	if !s.InForce.fits() || !s.Rejected.fits() {
		r.notAllowed++
		return fmt.Errorf("a version beyond %d: %v, %v", MaxCount, s.InForce, s.Rejected)
	}
	m.said, m.self = true, s
	for _, told := range []Stamp{s.InForce, s.Rejected} {
		if told.Compare(r.told) > 0 {
			r.told = told
		}
	}
	r.prove(s.InForce)
	return nil
}
