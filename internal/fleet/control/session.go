package control

import "slices"

// Bounds of a piece.
const (
	PieceBytes = 4 << 10 // of its rows as JSON; a single row that is larger goes alone
	PieceRows  = 64
)

const headBytes = 100 // of a piece as JSON without its rows, at most

// pace is a token bucket: what is spent beyond burst waits until the rate has paid for it. A piece goes as soon as no debt is left,
// and its own size may be one.
type pace struct {
	rate, burst int64 // bytes a second, bytes
	paid        int64 // ns when all that was spent is paid for
}

func (p *pace) wait(now int64) int64 {
	p.paid = max(p.paid, now-p.burst*second/p.rate)
	return max(p.paid-now, 0)
}

func (p *pace) spend(bytes int) { p.paid += int64(bytes) * second / p.rate }

// Session is what a relay keeps of one follower: a place in the relay's table, and a pace. It has no queue.
type Session struct {
	Name  string // of the follower
	Mixer bool   // else a relay

	number   uint64  // of the relay's sessions
	cursor   uint64  // all up to here is told
	begun    bool    // the first piece has been given
	whole    bool    // a snapshot is being told
	end      uint64  // index at its start
	settings uint64  // index of the newest version's row that was told last
	proven   uint64  // the same of the proven one's
	versions []Stamp // the last ones that were told as the newest
	room     int     // bytes of a piece
	pace     pace
	flaw     faults
}

// Kinds besides the settings that are told, which come first.
var (
	mixerKinds = []string{KindRelay, KindZone, KindWords}
	relayKinds = []string{KindEcho, KindRelay, KindZone, KindWords}
)

// NewSession begins a session. What was heard before counts from since on where known, else all is told.
func NewSession(now int64, name string, mixer, known bool, since uint64) *Session {
	s := &Session{Name: name, Mixer: mixer, cursor: since, room: PieceBytes, pace: pace{Rate, 2 * PieceBytes, now - second}}
	if !mixer {
		s.pace.rate, s.pace.burst = RelayRate, 64<<10
	}
	if !known || since == 0 {
		s.cursor, s.whole = 0, true
	}
	return s
}

// Next gives the piece to be told now. Without one it gives ns after which there may be one, 0 where nothing is to be told before
// the table changes. The first piece of a session always comes, if empty. The settings rows come before all others.
func (s *Session) Next(now int64, t *Table) (p Piece, ok bool, wait int64) {
	if s.begun && s.cursor == t.index {
		return Piece{}, false, 0
	}
	if wait = s.pace.wait(now); wait > 0 {
		return Piece{}, false, wait
	}
	first := s.whole && !s.begun
	if known := t.Known(s.cursor); !first && !(known || s.whole && t.forgotten <= s.end) { // what has gone since is forgotten
		s.cursor, s.whole, first = 0, true, true
	}
	if first {
		s.end, s.settings, s.proven, p.Snapshot = t.index, 0, 0, true
	}
	room := s.room
	if e := t.rows[key{KindSettings, SettingsName}]; e != nil && e.index > s.cursor && e.index != s.settings {
		p.Rows, s.settings = append(p.Rows, e.row), e.index
		s.versions = append(s.versions[max(0, len(s.versions)-mostVersions+1):], e.row.Stamp)
		room -= e.size + 1
	}
	if e := t.rows[key{KindSettings, ProvenName}]; e != nil && e.index > s.cursor && e.index != s.proven &&
		!(s.Mixer && (e.row.Stamp == t.Settings() || slices.Contains(s.versions, e.row.Stamp))) { // a mixer is told it as the newest, or was
		p.Rows, s.proven = append(p.Rows, e.row), e.index
		room -= e.size + 1
	}
	p.Index = s.cursor
	if room > 0 {
		kinds := relayKinds
		if s.Mixer {
			kinds = mixerKinds
		}
		rows, upto := t.Since(s.cursor, kinds, PieceRows-len(p.Rows), room)
		p.Rows = append(p.Rows, rows...)
		if s.flaw.skips && s.whole && upto >= s.end {
			upto = t.index
		}
		p.Index = upto
	}
	quiet := s.begun && !s.whole && len(p.Rows) == 0
	s.cursor, s.begun = p.Index, true
	p.More = s.whole && s.cursor < t.index
	s.whole = p.More
	if quiet {
		return Piece{}, false, 0
	}
	size := headBytes
	for _, r := range p.Rows {
		size += t.rows[key{r.Kind, r.Name}].size + 1
	}
	s.pace.spend(size)
	return p, true, 0
}
