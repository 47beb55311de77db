package control

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
)

const (
	mostVersions = 8
	mostZones    = 64 // of mixers at one relay; what is beyond is counted under no region and zone
)

// Step remakes the relay's own rows, at most once a second, and at once where it holds another version. Only those that say
// something else are told anew, as far as their pace allows: all relays' own rows together fill at most half of what a mixer is told, so
// that whoever follows catches up. It tells whether anything changed, and ns until it is due again.
func (r *Relay) Step(now int64) (changed bool, wait int64) {
	holds := r.last().Holds != r.table.Settings()
	if r.remade && now-r.made < Remakes && !holds {
		return false, r.made + Remakes - now
	}
	r.sweep(now)
	r.made, r.remade = now, true
	before := r.table.index
	r.say(now, Row{Kind: KindRelay, Name: r.o.Name, Body: body(r.standing(now))}, true)
	zones := r.zones()
	for _, row := range r.table.Rows(KindZone) { // the longest unchanged first
		if _, ok := zones[row.Name]; row.Author == r.o.Name && !ok {
			r.say(now, Row{Kind: KindZone, Name: row.Name, Gone: true}, false)
		} else if ok {
			r.say(now, Row{Kind: KindZone, Name: row.Name, Body: body(zones[row.Name])}, false)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		r.say(now, Row{Kind: KindZone, Name: name, Body: body(zones[name])}, false)
	}
	return r.table.index != before, Remakes
}

func body(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // numbers and strings alone
	}
	return b
}

// last is what this relay told of itself last.
func (r *Relay) last() (s Standing) {
	row, ok := r.table.Get(KindRelay, r.o.Name)
	if !ok || json.Unmarshal(row.Body, &s) != nil {
		return Standing{}
	}
	return s
}

// say puts a row of this relay's own into the table where it says something else than the one that is there.
func (r *Relay) say(now int64, row Row, always bool) {
	old, ok := r.table.Get(row.Kind, row.Name)
	if ok && old.Gone == row.Gone && bytes.Equal(old.Body, row.Body) || !always && r.rows.wait(now) > 0 {
		return
	}
	r.rowNumber = max(r.rowNumber, old.Number) + 1
	row.Stamp = Stamp{1, r.rowNumber, r.o.Name}
	news, refused := r.table.Merge([]Row{row})
	r.notAllowed += refused
	if len(news) > 0 {
		r.rows.spend(r.table.rows[key{row.Kind, row.Name}].size)
	}
}

func (r *Relay) standing(now int64) Standing {
	s := Standing{Region: r.self.Region, Life: r.o.Life, Holds: r.table.Settings(), Told: r.told, Mixers: len(r.members)}
	s.Contact, _ = r.Contact(now)
	counts, least := map[Stamp]*Count{}, Stamp{}
	of := func(v Stamp) *Count {
		if counts[v] == nil {
			counts[v] = &Count{Stamp: v}
		}
		return counts[v]
	}
	name := ""
	for n, m := range r.members {
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

func (r *Relay) zones() map[string]ZoneCount {
	all := map[string]ZoneCount{}
	for _, n := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[n]
		if !m.said {
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
	return all
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
	Contact   []string    `json:"contact"`   // relays that are heard
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
	s := Status{Name: r.o.Name, Region: r.self.Region, Life: r.o.Life, Contact: names, Majority: need,
		Version: r.table.Settings(), Newest: r.Newest(), Given: r.given, Overtaken: r.given != (Stamp{}) && r.table.Settings().Compare(r.given) > 0,
		Held: r.Held(r.table.Settings()), Sessions: r.mixers, Relays: len(r.sessions) - r.mixers, Zones: Present(r.table, r.o.Name), Rows: len(r.table.rows),
		Bytes: r.table.bytes, Index: r.table.index, Refused: r.notAllowed}
	s.Names, s.Standings = []string{r.o.Name}, []Standing{r.standing(now)}
	for _, p := range r.peers {
		s.Names, s.Standings = append(s.Names, p.Name), append(s.Standings, p.standing)
	}
	return s
}
