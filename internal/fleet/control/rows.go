package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

const (
	mostVersions = 8
	mostZones    = 64 // of mixers at one relay; what is beyond is counted under no region and zone
)

// Step remakes the relay's own rows, at most once a second, and at once where it holds another version. Only those that say
// something else are told anew, the longest unchanged first, as far as their pace allows: all relays' own rows together fill at most
// half of what a mixer is told, so that whoever follows catches up. It tells whether anything changed, and ns until it is due again:
// a relay that is not stepped for Away has slept, and hears nobody until it has opened its sessions anew.
func (r *Relay) Step(now int64) (changed bool, wait int64) {
	r.wake(now)
	holds := r.saidHolds != r.table.Settings()
	if r.remade && now-r.made < Remakes && !holds {
		return false, r.made + Remakes - now
	}
	r.sweep(now)
	r.made, r.remade, r.saidHolds = now, true, r.table.Settings()
	rows := append(r.zones(now), Row{Kind: KindRelay, Name: r.o.Name, Body: body(r.standing(now))})
	index := func(row Row) uint64 {
		if e := r.table.rows[key{row.Kind, row.Name}]; e != nil && !(holds && row.Kind == KindRelay) {
			return e.index
		}
		return 0
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(index(a), index(b)), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	for _, row := range rows {
		old, ok := r.table.Get(row.Kind, row.Name)
		if ok && old.Gone == row.Gone && bytes.Equal(old.Body, row.Body) && !r.retell[row.Name] {
			continue
		}
		if r.rows.wait(now) == 0 || holds && row.Kind == KindRelay {
			changed = r.say(row) || changed
			delete(r.retell, row.Name)
		}
	}
	return changed, Remakes
}

func body(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // numbers and strings alone
	}
	return b
}

// say puts a row of this relay's own into the table.
func (r *Relay) say(row Row) bool {
	r.rowNumber++
	row.Stamp = Stamp{1, r.rowNumber, r.o.Name}
	news, refused := r.table.Merge([]Row{row})
	if r.notAllowed += refused; len(news) > 0 {
		r.rows.spend(r.table.rows[key{row.Kind, row.Name}].size)
	}
	return len(news) > 0
}

func (r *Relay) standing(now int64) Standing {
	s := Standing{Region: r.self.Region, Life: r.o.Life, Holds: r.table.Settings(), Told: r.told}
	s.Contact = r.hears(now)
	counts, least := map[Stamp]*Count{}, Stamp{}
	of := func(v Stamp) *Count {
		if counts[v] == nil {
			counts[v] = &Count{Stamp: v}
		}
		return counts[v]
	}
	name := ""
	for n, m := range r.members {
		if m.away(now) {
			continue
		}
		s.Mixers++
		if !m.said {
			continue
		}
		of(m.self.InForce).InForce++
		if m.self.Rejected == (Stamp{}) {
			continue
		}
		of(m.self.Rejected).Rejected++
		if c := m.self.Rejected.Compare(least); c > 0 || c == 0 && n < name { // the first name's reason, in any order of the map
			least, name, s.Element, s.Value = m.self.Rejected, n, m.self.Element, m.self.Value
		}
	}
	for _, v := range slices.SortedFunc(maps.Keys(counts), func(a, b Stamp) int { return b.Compare(a) }) {
		if len(s.Versions) < mostVersions {
			s.Versions = append(s.Versions, *counts[v])
		}
	}
	return s
}

// zones gives the relay's rows of KindZone, also those that are gone since the last time.
func (r *Relay) zones(now int64) (rows []Row) {
	all := map[string]ZoneCount{}
	for _, n := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[n]
		if !m.said || m.away(now) {
			continue
		}
		z := ZoneCount{Relay: r.o.Name, Region: m.self.Region, Zone: m.self.Zone}
		name := zoneName(z)
		if _, ok := all[name]; !ok && len(all) >= mostZones || len(name) > MaxName {
			z.Region, z.Zone = "", ""
			name = zoneName(z)
		}
		z.Mixers = all[name].Mixers + 1
		all[name] = z
	}
	for name, z := range all {
		rows = append(rows, Row{Kind: KindZone, Name: name, Body: body(z)})
	}
	gone := map[string]bool{}
	for name := range r.retell {
		gone[name] = strings.HasPrefix(name, r.o.Name+"/") // else it is the row of KindRelay
	}
	for _, row := range r.table.Rows(KindZone) {
		if row.Author == r.o.Name {
			gone[row.Name] = true
		}
	}
	for name, zone := range gone {
		if _, ok := all[name]; zone && !ok {
			rows = append(rows, Row{Kind: KindZone, Name: name, Gone: true})
		}
	}
	return rows
}

func zoneName(z ZoneCount) string { return z.Relay + "/" + z.Region + "/" + z.Zone }

// Present adds up the mixers by region and zone as a relay's table tells it: of the relay itself and of those it hears.
func Present(t *Table, relay string) []ZoneCount {
	var s Standing
	if row, ok := t.Get(KindRelay, relay); ok {
		_ = json.Unmarshal(row.Body, &s) // else it hears none
	}
	sums := map[[2]string]int{}
	for _, row := range t.Rows(KindZone) {
		var z ZoneCount
		if json.Unmarshal(row.Body, &z) == nil && (z.Relay == relay || slices.Contains(s.Contact, z.Relay)) {
			sums[[2]string{z.Region, z.Zone}] += z.Mixers
		}
	}
	all := make([]ZoneCount, 0, len(sums))
	for at, n := range sums {
		all = append(all, ZoneCount{Region: at[0], Zone: at[1], Mixers: n})
	}
	slices.SortFunc(all, func(a, b ZoneCount) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return all
}

// Status is what a relay tells its operators.
type Status struct {
	Name      string      `json:"name"`
	Region    string      `json:"region"`
	Life      string      `json:"life"`
	Contact   []string    `json:"contact"`   // relays that are heard and hear this one
	Majority  int         `json:"majority"`  // needed to give a version, this one counted
	Version   Stamp       `json:"version"`   // of the document held
	Newest    Stamp       `json:"newest"`    // known of; greater than Version where a mixer has one that no relay told
	Given     Stamp       `json:"given"`     // the last given here since the start
	Overtaken bool        `json:"overtaken"` // another one counts instead of it, by its author or its number
	Held      int         `json:"held"`      // relays that hold Version or a greater one, this one counted
	Sessions  int         `json:"sessions"`  // of mixers
	Relays    int         `json:"relays"`    // sessions of relays
	Zones     []ZoneCount `json:"zones"`     // at all relays in contact
	Standings []Standing  `json:"standings"` // this relay's first, then those known of others, in order of their names
	Names     []string    `json:"names"`     // whose they are
	Rows      int         `json:"rows"`      // of the table
	Bytes     int         `json:"bytes"`
	Index     uint64      `json:"index"`
	Refused   int         `json:"refused"` // rows, sessions and tellings that broke a bound
}

// Status of the relay.
func (r *Relay) Status(now int64) Status {
	names, need := r.Contact(now)
	v := r.table.Settings()
	s := Status{Name: r.o.Name, Region: r.self.Region, Life: r.o.Life, Contact: names, Majority: need, Version: v, Newest: r.Newest(),
		Given: r.given, Overtaken: r.given != (Stamp{}) && v.Compare(r.given) > 0, Held: r.Held(v),
		Sessions: r.mixers, Relays: len(r.sessions) - r.mixers, Zones: Present(r.table, r.o.Name),
		Rows: len(r.table.rows), Bytes: r.table.bytes, Index: r.table.index, Refused: r.notAllowed}
	s.Names, s.Standings = []string{r.o.Name}, []Standing{r.standing(now)}
	for _, p := range r.peers {
		s.Names, s.Standings = append(s.Names, p.Name), append(s.Standings, r.toldBy(p))
	}
	return s
}
