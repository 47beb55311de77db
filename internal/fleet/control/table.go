package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"
)

// Names of the two rows of KindSettings: the newest version, and the newest that a mixer is known to have in force. Who comes while
// the newest one is rejected takes the other.
const (
	SettingsName = "settings"
	ProvenName   = "proven"
)

// Bounds of single rows. What is beyond them is refused.
const (
	MaxDocument = 32 << 10  // bytes of the settings' document
	MaxBody     = 16 << 10  // bytes of another row's body
	MaxName     = 200       // bytes of a row's name
	MaxAuthor   = 100       // bytes of a stamp's author
	MaxCount    = 1<<53 - 1 // of epochs and numbers; all readers of JSON hold it exactly
	Rate        = 8000      // bytes a second that a session tells a mixer: with its burst and what goes up under 100 KB in any 10 s
	RelayRate   = 1 << 20   // bytes a second that a session tells another relay
	second      = int64(1_000_000_000)
)

// Limits bound a Table. Zero fields stand for those of DefaultLimits.
type Limits struct {
	Rows  int // rows that are there, the settings row not counted; one more is refused
	Gone  int // rows that are gone and still told; of more the longest gone is forgotten
	Bytes int // of all rows but the settings row as JSON; what leads beyond is refused
}

// DefaultLimits are room for 16 relays with 64 zones each.
var DefaultLimits = Limits{Rows: 2048, Gone: 512, Bytes: 1 << 20}

type key struct{ kind, name string }

type entry struct {
	row   Row
	index uint64
	size  int // bytes as JSON
}

type place struct {
	index uint64
	key   key
}

// Table holds rows by kind and name. Of two rows of one name the one of the greater stamp counts, so tables that have merged the
// same rows in any order, each once or more often, hold the same. Beyond its limits, or where rows that are gone have been
// forgotten, that holds for what was taken alone.
type Table struct {
	limits    Limits
	rows      map[key]*entry
	order     []place // by index; a place whose row has moved on is stale
	index     uint64  // of changes here
	forgotten uint64  // who knows less than this index cannot be told what has gone
	gone      int
	bytes     int
	flaw      faults
}

// NewTable gives an empty table.
func NewTable(l Limits) *Table {
	l.Rows, l.Gone = cmp.Or(l.Rows, DefaultLimits.Rows), cmp.Or(l.Gone, DefaultLimits.Gone)
	l.Bytes = cmp.Or(l.Bytes, DefaultLimits.Bytes)
	return &Table{limits: l, rows: map[key]*entry{}}
}

// Index counts the changes of the table.
func (t *Table) Index() uint64 { return t.index }

// Get gives a row, also one that is gone.
func (t *Table) Get(kind, name string) (Row, bool) {
	if e := t.rows[key{kind, name}]; e != nil {
		return e.row, true
	}
	return Row{}, false
}

// Settings is the stamp of the settings row, zero without one.
func (t *Table) Settings() Stamp {
	r, _ := t.Get(KindSettings, SettingsName)
	return r.Stamp
}

// Rows gives those of a kind that are there, the longest unchanged first.
func (t *Table) Rows(kind string) (rows []Row) {
	for _, p := range t.order {
		if e := t.rows[p.key]; p.key.kind == kind && e != nil && e.index == p.index && !e.row.Gone {
			rows = append(rows, e.row)
		}
	}
	return rows
}

// compare orders the values of one name: by stamp and, where an author has used one twice, by what they say.
func (t *Table) compare(a, b Row) int {
	return cmp.Or(t.flaw.compare(a.Stamp, b.Stamp), cmp.Compare(truth(a.Gone), truth(b.Gone)), bytes.Compare(a.Body, b.Body))
}

func (f faults) compare(a, b Stamp) int {
	if f.numberOnly {
		return cmp.Compare(a.Number, b.Number)
	}
	if f.noAuthor {
		a.Author, b.Author = "", ""
	}
	return a.Compare(b)
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fit gives the row as it is held, its body as JSON writes it, and its size in bytes; false for one that breaks a bound.
func fit(r Row) (Row, int, bool) {
	most := MaxBody
	switch r.Kind {
	case KindSettings:
		if most = MaxDocument; r.Name != SettingsName && r.Name != ProvenName || r.Gone {
			return r, 0, false
		}
	case KindRelay, KindEcho:
		if r.Name != r.Author {
			return r, 0, false
		}
	case KindZone, KindWords:
		if !strings.HasPrefix(r.Name, r.Author+"/") {
			return r, 0, false
		}
	default:
		return r, 0, false
	}
	if r.Name == "" || len(r.Name) > MaxName || !utf8.ValidString(r.Name) || !r.Stamp.fits() || r.Author == "" {
		return r, 0, false
	}
	if r.Gone {
		r.Body = nil
	} else {
		body, err := json.Marshal(r.Body)
		if err != nil || len(r.Body) == 0 || len(body) > most {
			return r, 0, false
		}
		r.Body = body
	}
	const around = len(`,"body":`)
	bare := r // its body is as JSON writes it by now, and long
	bare.Body = nil
	all, err := json.Marshal(bare)
	size := len(all)
	if len(r.Body) > 0 {
		size += around + len(r.Body)
	}
	return r, size, err == nil
}

func (s Stamp) fits() bool {
	return s.Epoch <= MaxCount && s.Number <= MaxCount && len(s.Author) <= MaxAuthor && utf8.ValidString(s.Author)
}

// Merge takes rows in. It gives those that changed the table, and how many broke a bound.
func (t *Table) Merge(rows []Row) (news []Row, refused int) {
	for _, r := range rows {
		r, size, ok := fit(r)
		if !ok {
			refused++
			continue
		}
		k, old, was := key{r.Kind, r.Name}, 0, (*entry)(nil)
		if was = t.rows[k]; was != nil {
			if t.compare(r, was.row) <= 0 {
				continue
			}
			old = was.size
		}
		adds := !r.Gone && r.Kind != KindSettings && (was == nil || was.row.Gone)
		if r.Kind != KindSettings {
			if adds && len(t.rows)-t.gone >= t.limits.Rows || t.bytes+size-old > t.limits.Bytes && size > old {
				refused++
				continue
			}
			t.bytes += size - old
		}
		t.gone += truth(r.Gone) - truth(was != nil && was.row.Gone)
		t.index++
		t.rows[k] = &entry{r, t.index, size}
		t.order = append(t.order, place{t.index, k})
		news = append(news, r)
	}
	t.forget()
	return news, refused
}

// forget drops the longest gone beyond the limit, and stale places.
func (t *Table) forget() {
	for i := 0; i < len(t.order) && t.gone > t.limits.Gone; i++ {
		p := t.order[i]
		if e := t.rows[p.key]; e != nil && e.index == p.index && e.row.Gone {
			t.gone--
			t.remove(p.key, e)
			if !t.flaw.forgets {
				t.forgotten = max(t.forgotten, p.index)
			}
		}
	}
	if len(t.order) > 2*len(t.rows)+64 {
		t.order = slices.DeleteFunc(t.order, func(p place) bool {
			e := t.rows[p.key]
			return e == nil || e.index != p.index
		})
	}
}

func (t *Table) remove(k key, e *entry) {
	if k.kind != KindSettings {
		t.bytes -= e.size
	}
	delete(t.rows, k)
}

// keep drops all rows but the settings row that are not named, or those of one author: what a snapshot says is gone.
func (t *Table) keep(named map[key]bool, author string) {
	for k, e := range t.rows {
		if !named[k] && (author == "" || author == e.row.Author) && (k.kind != KindSettings || t.flaw.dropsSettings) {
			t.drop(k)
		}
	}
	t.forget()
}

// drop takes a row out without a trace: who follows this table has to be told all of it again.
func (t *Table) drop(k key) {
	if e := t.rows[k]; e != nil {
		t.gone -= truth(e.row.Gone)
		t.remove(k, e)
		t.index++
		t.forgotten = t.index
	}
}

// Known tells whether all that has changed since an index can be told.
func (t *Table) Known(index uint64) bool { return index >= t.forgotten && index <= t.index }

// Since gives rows of the kinds that changed after an index, the longest unchanged first, as many as fit in a number and in
// bytes of JSON, one at least; and the index up to which all are told with them.
func (t *Table) Since(index uint64, kinds []string, most, room int) (rows []Row, upto uint64) {
	from, _ := slices.BinarySearchFunc(t.order, index+1, func(p place, i uint64) int { return cmp.Compare(p.index, i) })
	for _, p := range t.order[from:] {
		e := t.rows[p.key]
		if e == nil || e.index != p.index || !slices.Contains(kinds, p.key.kind) {
			continue
		}
		if room -= e.size + 1; len(rows) > 0 && room < 0 || len(rows) >= most {
			return rows, index
		}
		rows, index = append(rows, e.row), p.index
	}
	return rows, t.index
}
