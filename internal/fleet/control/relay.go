package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Times of a relay, in ns.
const (
	Away    = 5 * second // a relay or mixer not heard for so long does not count as there
	Remakes = second     // between two makings of a relay's own rows

	MaxSeats = 16 // relays
)

// RelayOptions describe a relay. Zero bounds stand for those of a relay that has all mixers.
type RelayOptions struct {
	Name     string
	Seats    []Seat // of the settings, its own among them
	Life     string // of this start, hex drawn at random
	Sessions int    // of mixers, at most: the relay's share of them with what it takes over from others; 0: 8,192
	NewPerS  int    // new sessions of mixers a second, at most; 0: 1,024
	Wait     int64  // ns from the start on in which a relay that knows no version gives none: its mixers may come with one
	Seed     uint64 // of its followers' randomness
	Limits   Limits // of its table
}

// Standing is the body of a relay's own row of KindRelay.
type Standing struct {
	Region   string   `json:"region"`
	Life     string   `json:"life"`
	Contact  []string `json:"contact"`            // relays that it hears
	Holds    Stamp    `json:"holds"`              // of the settings row
	Told     Stamp    `json:"told"`               // the greatest that a mixer told it since it started
	Mixers   int      `json:"mixers"`             // that are there
	Versions []Count  `json:"versions,omitempty"` // of the mixers that have said theirs, the greatest version first; 8 at most
	Element  string   `json:"element,omitempty"`  // why the greatest rejected one was rejected by one of them
	Value    string   `json:"value,omitempty"`
}

// Count says how many mixers have a version in force, and how many rejected it last.
type Count struct {
	Stamp
	InForce  int `json:"in-force"`
	Rejected int `json:"rejected"`
}

// ZoneCount is the body of a row of KindZone.
type ZoneCount struct {
	Relay  string `json:"relay"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Mixers int    `json:"mixers"`
}

type peer struct {
	Seat
	follower *Follower
	heard    int64  // in a session that has told all there was
	counts   bool   // heard at all, so
	echo     Echo   // its row of KindEcho
	echoAt   uint64 // that row's index in the table
}

// Relay is one relay's state: what it holds, who follows it, which other relays it hears.
type Relay struct {
	o       RelayOptions
	self    Seat
	table   *Table
	peers   []*peer // in order of their names
	started int64

	sessions map[uint64]*Session
	number   uint64 // of the last session
	mixers   int    // sessions of mixers
	opens    pace   // of new ones, in sessions
	members  map[string]*member
	swept    int64

	displaced displacedVersions

	told       Stamp // the greatest that a mixer told
	given      Stamp // the last given here
	rowNumber  uint64
	made       int64
	stepped    int64
	remade     bool
	saidHolds  Stamp               // the version that the last own row says it holds
	rows       pace                // bytes of own rows
	words      pace                // bytes of own rows of KindWords
	retell     map[string]bool     // own rows that other relays hold otherwise, to be told anew
	retellSaid map[string]bool     // the same of KindWords
	wanted     uint64              // the last question that was to be asked
	asked      uint64              // the last one that was
	echoes     map[string]Question // the last one read of each other relay
	echoMade   int64               // the own row of KindEcho
	echoStamp  Stamp               // of that row
	flaw       faults
	notAllowed int // rows, mixers and tellings that were refused
}

// NewRelay gives a relay that knows nothing.
func NewRelay(now int64, o RelayOptions) (*Relay, error) {
	at := slices.IndexFunc(o.Seats, func(s Seat) bool { return s.Name == o.Name })
	if at < 0 || o.Life == "" || len(o.Name)+1+len(o.Life) > MaxAuthor || len(o.Seats) > MaxSeats {
		return nil, fmt.Errorf("a relay needs one of %d seats at most and a life, of %d bytes with its name at most: %q, %q", MaxSeats,
			MaxAuthor-1, o.Name, o.Life)
	}
	o.Sessions, o.NewPerS = cmp.Or(o.Sessions, 8192), cmp.Or(o.NewPerS, 1024)
	r := &Relay{o: o, self: o.Seats[at], table: NewTable(o.Limits), started: now, sessions: map[uint64]*Session{},
		members: map[string]*member{}, retell: map[string]bool{}, retellSaid: map[string]bool{},
		opens:    pace{int64(o.NewPerS), int64(o.NewPerS), now - second},
		echoMade: now - second,
		rows:     pace{Rate / 2 / int64(len(o.Seats)), 4 << 10, now - 60*second},
		words:    pace{Rate / wordsShare / int64(len(o.Seats)), wordsBurst, now - 60*second}}
	for _, s := range o.Seats {
		if s.Name == o.Name {
			continue
		}
		f, err := NewFollower(now, FollowerOptions{Self: Self{Name: o.Name, Region: o.Seats[at].Region}, Seats: []Seat{s},
			Window: second, Wait: 4 * second, Seed: o.Seed})
		if err != nil {
			return nil, err
		}
		f.table, f.relay = r.table, r
		r.peers = append(r.peers, &peer{Seat: s, follower: f})
	}
	slices.SortFunc(r.peers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return r, nil
}

// Followers gives the relay's own followers of the others, one for each, in order of their names.
func (r *Relay) Followers() (all []*Follower) {
	for _, p := range r.peers {
		all = append(all, p.follower)
	}
	return all
}

// Table is what the relay holds. It may be read only.
func (r *Relay) Table() *Table { return r.table }

// Life of the relay.
func (r *Relay) Life() string { return r.o.Life }

func (r *Relay) peer(name string) *peer {
	for _, p := range r.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// take merges what another relay told. Rows of relays that have no seat are refused.
func (r *Relay) take(rows []Row) []Row {
	own := make([]Row, 0, len(rows))
	for _, row := range rows {
		if row.Kind != KindSettings && row.Author != r.o.Name && r.peer(row.Author) == nil {
			r.notAllowed++
			continue
		}
		own = append(own, row)
		if e := r.table.rows[key{row.Kind, row.Name}]; row.Author == r.o.Name && !row.Gone && e != nil && e.row.Gone && !r.flaw.zombie {
			r.anew(row) // who tells this had forgotten that it is gone, and so may others
		}
	}
	news, refused := r.merge(own)
	r.notAllowed += refused
	for _, row := range news {
		if row.Kind == KindEcho && row.Author == r.o.Name { // of a life before; tellEcho says it anew
			r.rowNumber = max(r.rowNumber, row.Number)
		} else if row.Kind != KindSettings && row.Author == r.o.Name { // of a life before, or forgotten here: ours go beyond
			r.rowNumber = max(r.rowNumber, row.Number)
			if !r.flaw.adopts {
				r.anew(row)
			}
		}
	}
	return news
}

// anew has an own row told anew.
func (r *Relay) anew(row Row) {
	if row.Kind == KindWords {
		r.retellSaid[row.Name] = true
		return
	}
	r.retell[row.Name] = true
}

// toldBy gives what another relay told of itself last, by whatever way it came here.
func (r *Relay) toldBy(p *peer) (s Standing) {
	row, ok := r.table.Get(KindRelay, p.Name)
	if !ok || row.Gone || json.Unmarshal(row.Body, &s) != nil {
		return Standing{}
	}
	return s
}

// heard counts another relay as in contact, once it has told all there was.
func (r *Relay) heard(now int64, f *Follower) {
	if f.settled || r.flaw.atOnce {
		p := r.peer(f.seats[0].Name)
		p.heard, p.counts = now, true
	}
}

// slept tells whether the relay has not run for so long that what it reads now may be as old.
func (r *Relay) slept(now int64) bool { return r.remade && now-r.stepped >= Away && !r.flaw.sleeps }

// wake ends all sessions with other relays after a sleep: what still lies in their buffers seems young and is not.
func (r *Relay) wake(now int64) {
	if r.slept(now) {
		for _, p := range r.peers {
			p.counts, p.follower.drop = false, p.follower.open >= 0
		}
	}
	r.stepped = now
}

// inContact tells whether another relay has told all that it holds since the session with it opened, and has lately been heard.
func (p *peer) inContact(now int64) bool { return p.counts && now-p.heard < Away }

// hears gives the names of the relays that are heard.
func (r *Relay) hears(now int64) (names []string) {
	for _, p := range r.peers {
		if p.inContact(now) && !r.slept(now) {
			names = append(names, p.Name)
		}
	}
	return names
}

// Contact gives the names of the relays that are heard and say that they hear this one, and how many, this one counted, are a majority
// of all. Over a line that carries one way alone a version would be numbered that nobody hears of, and go before others' once healed.
// They were heard within Away, which is not enough to number by: see Answered.
func (r *Relay) Contact(now int64) (names []string, majority int) {
	for _, name := range r.hears(now) {
		if r.flaw.oneWay || slices.Contains(r.toldBy(r.peer(name)).Contact, r.o.Name) {
			names = append(names, name)
		}
	}
	return names, r.majority()
}
