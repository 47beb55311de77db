package sites

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/fleet/siteloss"
	"nettlefold/internal/protocol"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

const ms = int64(time.Millisecond)

var terms = siteloss.Terms{Every: 500 * ms, Expected: 1000 * ms, Warming: 1000 * ms, Beat: 2000 * ms}

// fleet is a roster of three lives, one in each site, all heard just now but for those that are silent.
type fleet struct {
	now    *int64
	self   roster.Life
	silent map[string]int64 // since
	said   int
}

func life(site string) roster.Life {
	return roster.Life{Name: "m" + site, Life: uint64(site[0]), Site: site}
}

func (f *fleet) Self() roster.Life { return f.self }
func (f *fleet) Now() int64        { return *f.now - 77 }
func (f *fleet) Say([]byte) error  { f.said++; return nil }
func (f *fleet) Members() (all []roster.Member) {
	for _, site := range []string{"a", "b", "c"} {
		m := roster.Member{Life: life(site), Heard: f.Now()}
		if at, ok := f.silent[site]; ok {
			m.Heard, m.State = at-77, roster.CutOff
		}
		all = append(all, m)
	}
	return all
}

// world has tables of a and b on one clock, and searchers of c that answer or do not.
func world(t *testing.T, now *int64) (tables [2]*Table, fleets [2]*fleet) {
	clock := func() int64 { return *now }
	for i, own := range []string{"a", "b"} {
		names := [][]string{{"a", "b", "c"}, {"c", "a", "b"}}[i] // settings name them in any order
		table, err := New(clock, terms, own, names, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		fleets[i] = &fleet{now: now, self: life(own), silent: map[string]int64{}}
		if err := table.Join(fleets[i]); err != nil {
			t.Fatal(err)
		}
		list := protocol.MemberList{Snapshot: true}
		for _, site := range []string{"a", "b", "c", "elsewhere"} {
			list.Members = append(list.Members, protocol.Member{Entry: routing.Entry{Searcher: "s" + site, Zone: site}, Address: site})
		}
		table.Eyes.Listed(list)
		tables[i] = table
	}
	return tables, fleets
}

// round has both see what comes of the sites' searchers, and tell each other by way of exchanges.
func round(now *int64, tables [2]*Table, lost string) {
	*now += 250 * ms
	for i, table := range tables {
		for _, site := range []string{"a", "b", "c"} {
			if o := mixer.Succeeded; site == lost {
				table.Eyes.Outcome(table.Eyes.Spot("s"+site), mixer.Unreachable, ms)
			} else {
				table.Eyes.Outcome(table.Eyes.Spot("s"+site), o, ms)
			}
		}
		table.Eyes.Alive()
		table.Round(*now)
		tables[1-i].Take(*now, "", table.Offer(*now, 999))
	}
}

func kind(table *Table, site string) (string, bool) {
	for _, s := range table.Show(*new(int64)).([]Shown) {
		if s.Site == site {
			return s.Kind, s.Declared
		}
	}
	return "", false
}

func TestALostSiteIsToldOverTheDesk(t *testing.T) {
	now := 1000 * ms
	tables, fleets := world(t, &now)
	for range 10 {
		round(&now, tables, "")
	}
	for _, f := range fleets {
		f.silent["c"] = now
		if f.said == 0 {
			t.Error("nothing is told by gossip")
		}
	}
	for range 40 {
		round(&now, tables, "c")
	}
	for i, table := range tables {
		if k, declared := kind(table, "c"); k != "lost" || !declared {
			t.Errorf("%d holds c %s, declared %v", i, k, declared)
		}
		if k, _ := kind(table, "a"); k != "sound" {
			t.Errorf("%d holds a %s", i, k)
		}
	}
	// Reports that lay somewhere are not young again: neither those that were offered before a halt, nor those that come in the
	// first round after one.
	old := tables[1].Offer(now, 999)
	now += 10_000 * ms
	kept := tables[0].kept
	tables[0].kept = nil
	if tables[0].Take(now, "", old); tables[0].kept != nil {
		t.Errorf("in the first round after a halt a life that nothing was known of is believed: %+v", tables[0].kept)
	}
	tables[0].kept = kept
	tables[0].Round(now)
	if k := tables[0].kept; len(k) != 1 || k[0].Age < 10_000*ms {
		t.Errorf("after a halt: %+v", k)
	}
	if tables[0].Take(now, "", old); tables[0].kept[0].Age < 10_000*ms {
		t.Errorf("the same report again is young: %+v", tables[0].kept)
	}
	if k, declared := kind(tables[0], "c"); declared {
		t.Errorf("c is held %s by one site that has just woken", k)
	}
	other, err := New(func() int64 { return now }, terms, "a", []string{"a", "b", "d"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Take(now, "m", old); err == nil || !strings.Contains(err.Error(), "other sites") {
		t.Errorf("reports of other sites: %v", err)
	}
}

// TestEyes has evidence run out, probes go where nothing was seen, and all that is held keep its bounds.
func TestEyes(t *testing.T) {
	now := 1000 * ms
	tables, _ := world(t, &now)
	e := tables[0].Eyes
	site := int(e.Spot("sc"))
	if e.Spot("selsewhere") >= 0 || e.Spot("nobody") >= 0 {
		t.Error("a searcher of no site has one")
	}
	for _, o := range []struct {
		mixer.Outcome
		took int64
	}{{mixer.Succeeded, ms}, {mixer.Rejected, 1001 * ms}, {mixer.TimedOut, 1000 * ms}, {mixer.TimedOut, 999 * ms},
		{mixer.Cancelled, 1000 * ms}, {mixer.ConnectionReset, ms}, {mixer.Unreachable, ms}, {mixer.NeverSent, ms}} {
		e.Outcome(int16(site), o.Outcome, o.took)
	}
	now += 1990 * ms // nearly the window
	e.Asked()
	all, clients := e.evidence(now)
	want := siteloss.Evidence{Answered: 2, Late: 1, Lost: 3, Tried: 1, Failed: 1, Listed: 1, Live: 1, ListAge: 1990 * ms}
	if all[site] != want || clients != 1 {
		t.Errorf("%+v, %d lookups, want %+v", all[site], clients, want)
	}
	e.Listed(protocol.MemberList{Members: []protocol.Member{{Entry: routing.Entry{Searcher: "sc", Status: mixer.Dead}}}})
	now += 300 * ms
	all, _ = e.evidence(now)
	if want := (siteloss.Evidence{Listed: 1, ListAge: 2290 * ms}); all[site] != want {
		t.Errorf("out of the window and the list: %+v, want %+v", all[site], want)
	}
	if e.ask(site, 0) != "" {
		t.Error("a searcher that the list has as gone is asked")
	}
	a := int(e.Spot("sa"))
	for range mostAskingOne {
		if got := e.ask(a, 0); got != "a" {
			t.Errorf("asked: %q", got)
		}
	}
	if got := e.ask(a, 0); got != "" {
		t.Errorf("asked beyond the bound: %q", got)
	}
	for round := range int64(doubted) {
		e.asked(a, false, false, ms)
		e.ask(a, 2*round)
	}
	if e.asked(a, false, false, ms); e.ask(a, 1) != "" || e.ask(a, 2) == "" {
		t.Error("a site that has long been silent is not asked each second round")
	}
	e.asked(a, true, true, ms)
	if got := e.ask(a, 0); got != "" {
		t.Errorf("asked though it has just answered: %q", got)
	}
	// Run asks, and ends with its context though a searcher never answers.
	ctx, cancel := context.WithCancel(context.Background())
	asked := make(chan string, mostAsking)
	tables[1].Ask = func(ctx context.Context, address string) (bool, bool) {
		asked <- address
		<-ctx.Done()
		return true, false
	}
	tables[1].Eyes.span = ms
	ended := make(chan struct{})
	go func() { tables[1].Run(ctx); close(ended) }()
	for range 3 * mostAskingOne {
		<-asked
	}
	cancel()
	<-ended
	if len(asked) > 0 {
		t.Errorf("%d are asked beyond the bound", len(asked))
	}
}

// Through a version of the settings what lasts longer than its expected time is late or lost; what was seen before stays as counted.
func TestEyesThroughAVersion(t *testing.T) {
	now := 1000 * ms
	tables, _ := world(t, &now)
	e := tables[0].Eyes
	site := e.Spot("sc")
	for i, want := range []siteloss.Evidence{{Answered: 1}, {Answered: 2, Late: 1, Lost: 1}, {Answered: 3, Late: 1, Lost: 1}} {
		e.Expect([]int64{1000 * ms, 400 * ms, 1000 * ms}[i])
		e.Outcome(site, mixer.Succeeded, 500*ms)
		e.Outcome(site, mixer.TimedOut, 500*ms)
		want.Listed, want.Live = 1, 1
		if all, _ := e.evidence(now); all[site] != want {
			t.Errorf("version %d: %+v, want %+v", i, all[site], want)
		}
	}
}
