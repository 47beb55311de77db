// Package control decides what the control tier of the fleet does: which version of the settings counts, what a relay tells whom
// and at what pace, whom a mixer follows and when it tries again, who is there by region and zone. It is pure: no I/O, clock,
// goroutine or order of a map. Times are ns of the caller's clock, which never goes back.
//
// A relay and a mixer each hold a Table of rows. A row has one owner or author and a stamp; of two rows of one name the one of the
// greater stamp counts, so tables join in any order. A relay numbers the changes of its own table (the index), and tells a follower
// what has changed since an index, or all in pieces where that is not known. Who follows holds no more than it needs.
package control

import (
	"cmp"
	"encoding/json"
	"strings"
)

// Stamp is the place of a row's value in the order of all that its name ever had: epochs first, then numbers, then authors. The
// author of a version is its relay's name, a slash and that relay's life, so that no two lives give the same stamp; that of a
// relay's own row is its name.
type Stamp struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	Author string `json:"author"`
}

// Compare orders stamps; all processes order them alike.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Epoch, o.Epoch), cmp.Compare(s.Number, o.Number), strings.Compare(s.Author, o.Author))
}

// Kinds of rows.
const (
	KindSettings = "settings" // two rows, their bodies documents of the settings that are taken in flight: the newest, the last good one
	KindRelay    = "relay"    // one a relay, its own: how it stands and how many of its mixers have which version
	KindZone     = "zone"     // one a relay, region and zone, named so with slashes: how many mixers are there
)

// Row is one thing that is told.
type Row struct {
	Kind  string          `json:"kind"`
	Name  string          `json:"name"`
	Stamp                 // in the row's own fields
	Gone  bool            `json:"gone,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Piece is one message of a session: what has changed, or a part of all there is. It is written in the list's own watch form.
type Piece struct {
	Index    uint64 `json:"index"`          // of the relay's table, up to which this tells all
	Snapshot bool   `json:"snapshot"`       // all there is begins here: what is named neither here nor in the pieces after it is gone
	More     bool   `json:"more,omitempty"` // the snapshot goes on in the next piece
	Rows     []Row  `json:"endpoints"`
}

// Seat is one relay of the settings.
type Seat struct{ Name, Region, Address string }

// Self is what a mixer tells its relay of itself.
type Self struct {
	Name, Region, Zone string
	Life               uint64 // one start of a process, drawn at random
	InForce            Stamp  // the version by which it takes queries, zero: that of its start
	Rejected           Stamp  // the last version it would not take, zero: none
	Element, Value     string // what was wrong with it
	Relay              string // whom it follows
	Heard              int64  // ns since it last heard of a relay before this session, 0: never
}
