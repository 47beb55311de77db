package control

import (
	"errors"
	"slices"
	"strings"
)

const mostRejected = 8 // versions that are kept to not try them again

// ErrIndex says that a relay told changes without what was before them. The session counts as lost.
var ErrIndex = errors.New("a relay tells changes since an index that was not asked for")

// ErrEndless says that a snapshot names more rows than a relay may hold. The session counts as lost.
var ErrEndless = errors.New("a relay's snapshot does not end")

// Beat says that the session in hand has said something without content.
func (f *Follower) Beat(now int64) {
	if f.open >= 0 && !f.drop {
		f.heard, f.spoke, f.ever = now, now, true
		if f.relay != nil {
			f.relay.heard(now, f)
		}
	}
}

// Take takes a piece of the session in hand. It gives the version to be applied, nil without one (Applied or Refused says what
// became of it), and the rows that are new here.
func (f *Follower) Take(now int64, p Piece) (apply *Row, news []Row, err error) {
	if f.open < 0 || f.drop {
		return nil, nil, nil
	}
	switch {
	case p.Snapshot:
		f.named, f.index = map[key]bool{}, 0
	case f.named == nil && (p.More || p.Index < f.index || f.index == 0 && !f.settled && !f.flaw.anyLife):
		f.drop = true
		return nil, nil, ErrIndex
	}
	if f.relay != nil {
		news = f.relay.take(p.Rows)
	} else {
		for _, r := range p.Rows {
			if r.Kind != KindSettings { // as its relay says, which joins them; one that returned counts its own anew
				f.table.drop(key{r.Kind, r.Name})
			}
		}
		news, _ = f.table.Merge(p.Rows)
	}
	if f.named != nil {
		for _, r := range p.Rows {
			f.named[key{r.Kind, r.Name}] = true
		}
		if len(f.named) > 4*f.table.limits.Rows {
			f.drop = true
			return nil, news, ErrEndless
		}
		if !p.More {
			author := "" // all rows
			if f.relay != nil {
				author = f.seats[f.open].Name // it knows its own; others' rows are known of others too
			}
			if f.relay == nil || !f.flaw.lingers {
				f.table.keep(f.named, author)
			}
			f.named = nil
		}
	}
	if f.named == nil || f.flaw.midway {
		f.index, f.settled, f.seats[f.open].fails = p.Index, true, 0
	}
	f.Beat(now)
	return f.due(p.Rows), news, nil
}

// due gives the version to be applied: of those that are held and those just told the greatest that is greater than the one in
// force and was not rejected. So a version before a rejected one is taken too, where a relay has no other.
func (f *Follower) due(told []Row) (best *Row) {
	if f.relay != nil {
		return nil
	}
	held := make([]Row, 0, 2)
	for _, name := range []string{SettingsName, ProvenName} {
		if r, ok := f.table.Get(KindSettings, name); ok {
			held = append(held, r)
		}
	}
	for _, r := range append(held, told...) {
		if r.Kind != KindSettings || !f.acceptable(r.Stamp) || best != nil && f.flaw.compare(r.Stamp, best.Stamp) <= 0 {
			continue
		}
		if r, _, ok := fit(r); ok {
			best = &r
		}
	}
	return best
}

func (f *Follower) acceptable(s Stamp) bool {
	return f.flaw.compare(s, f.inForce) > 0 && (f.flaw.again || !f.wasRejected(s))
}

// wasRejected tells whether a version was rejected, or may have been: of more than are kept, none up to the greatest is tried again.
func (f *Follower) wasRejected(s Stamp) bool {
	return s.Compare(f.floor) <= 0 || slices.Contains(f.refused, s)
}

// Applied says that a version is in force.
func (f *Follower) Applied(now int64, s Stamp) {
	if f.flaw.compare(s, f.inForce) > 0 {
		f.inForce = s
		f.changed(now)
	}
}

// Refused says that a version would not be taken, and why. The one in force stays, and this one is not tried again. It gives the
// version to be applied instead, nil without one: the last good one, where it was given while this mixer was not there.
func (f *Follower) Refused(now int64, s Stamp, element, value string) (apply *Row) {
	if f.flaw.takesRejected {
		f.inForce = s
	}
	if f.refused = append(f.refused, s); len(f.refused) > mostRejected {
		if f.refused[0].Compare(f.floor) > 0 {
			f.floor = f.refused[0]
		}
		f.refused = slices.Delete(f.refused, 0, 1)
	}
	f.rejected, f.element, f.value = s, clip(element), clip(value)
	f.changed(now)
	return f.due(nil)
}

// clip bounds what is told of an element or a value.
func clip(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), MaxName)], "")
}

func (f *Follower) changed(now int64) {
	f.tell, f.tellAt, f.tells, f.version = true, now, 0, f.version+1
}

// InForce gives the stamps of the version in force and of the one last rejected.
func (f *Follower) InForce() (inForce, rejected Stamp) { return f.inForce, f.rejected }

// Self is what is to be told now, and a mark of it for Told.
func (f *Follower) Self(now int64) (Self, uint64) {
	s := f.o.Self
	s.InForce, s.Rejected, s.Element, s.Value, s.Heard = f.inForce, f.rejected, f.element, f.value, f.before
	if f.open >= 0 {
		s.Relay = f.seats[f.open].Name
	}
	return s, f.version
}

// Told says whether the relay in hand took what was told. If not, it is told again after a wait that grows.
func (f *Follower) Told(now int64, mark uint64, ok bool) {
	switch {
	case !ok:
		f.tellAt = now + f.grown(f.tells)
		f.tells++
	case mark == f.version:
		f.tell, f.tells = false, 0
	default:
		f.tellAt = now
	}
}
