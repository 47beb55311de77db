package capacity

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/fleet/sites"
)

// crowd is a roster of many lives, all heard just now, of which one is self. It counts what is told by gossip.
type crowd struct {
	self        roster.Life
	members     []roster.Member
	now         *int64
	said, bytes int
}

func (c *crowd) Self() roster.Life        { return c.self }
func (c *crowd) Members() []roster.Member { return c.members }
func (c *crowd) Now() int64               { return *c.now }
func (c *crowd) Say(what []byte) error {
	c.said++
	c.bytes += len(what)
	return nil
}

// numbered gives a life of a mixer: numbers as long as those drawn at random mostly are.
func numbered(i int, site string) roster.Life {
	return roster.Life{Name: fmt.Sprintf("mixer-%05d", i), Life: uint64(i+1) * 0x9e3779b97f4a7c15, Site: site, Build: "v1",
		Since: 1_700_000_000_000_000_000 + int64(i)}
}

func siteNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("zone-%02d", i))
	}
	return names
}

// judge is the table of sites of one mixer that has heard of all the others and has their reports.
type judge struct {
	*sites.Table
	crowd *crowd
	now   int64
	told  [][]byte // what each other offers
}

func (j *judge) table(of *crowd, names []string) *sites.Table {
	of.now = &j.now
	t, err := sites.New(func() int64 { return j.now }, judgeTerms, of.self.Site, names, slog.New(slog.DiscardHandler))
	if err == nil {
		err = t.Join(of)
	}
	if err != nil {
		panic(err) // settings that are always sound
	}
	return t
}

// newJudge has each mixer make a report, and the first take them all, in model time; it gives what its table holds. Left out: what
// forwards, probes and the list show of the searchers.
func newJudge(mixers, siteCount int) (j *judge, held float64, err error) {
	names := siteNames(siteCount)
	j = &judge{now: int64(time.Second), crowd: &crowd{self: numbered(0, names[0])}}
	for i := range mixers {
		life := numbered(i, names[i%siteCount])
		j.crowd.members = append(j.crowd.members, roster.Member{Life: life, Heard: j.now, Term: 1})
		other := j.table(&crowd{self: life}, names)
		other.Round(j.now)
		j.told = append(j.told, other.Offer(j.now, mostState))
	}
	j.Table, held = Held(func() *sites.Table {
		t := j.table(j.crowd, names)
		t.Round(j.now)
		for i, raw := range j.told[1:] {
			err = errors.Join(err, t.Take(j.now, j.crowd.members[1+i].Name, raw))
		}
		return t
	})
	for range 3 { // in which verdicts change, and are logged
		j.round()
	}
	return j, held, err
}

const mostState = 256 << 10 // bytes of the tables' state in one exchange of the roster, by default

func (j *judge) round() {
	j.now += int64(desk.Round)
	j.Round(j.now)
}

// judgeFigures measures one table: bytes offered and held, what a round allocates and takes, and what is told by gossip.
func judgeFigures(mixers, siteCount int) ([]float64, error) {
	if _, _, err := newJudge(4, siteCount); err != nil { // what is made once in a process is not held by a table
		return nil, err
	}
	j, held, err := newJudge(mixers, siteCount)
	if err != nil {
		return nil, err
	}
	offer := float64(len(j.Offer(j.now, 64<<20)))
	allocations, bytes, took := Allocated(j.round)
	j.crowd.said, j.crowd.bytes = 0, 0
	turns := mixers/24 + 1 // rounds of 0.5 s between two reports of one mixer by gossip
	began := j.now
	for range 8 * turns {
		j.round()
	}
	s := float64(j.now-began) / 1e9
	news := float64(j.crowd.said) / s * float64(mixers)
	each := float64(j.crowd.bytes) / float64(max(j.crowd.said, 1))
	return []float64{offer, held, allocations, bytes, float64(took) / 1e9, news, each}, nil
}

// judgementCurves are of the site judgement, in model time.
func judgementCurves() []Curve {
	quantities := func(round Form, exchange, held Law) []Quantity {
		return []Quantity{
			exact("site judgement: bytes of an exchange", "B", Affine, exchange),
			exact("site judgement: bytes held", "B", Affine, held),
			exact("site judgement: allocations of a round", "", Power),
			exact("site judgement: bytes allocated by a round", "B", round),
			rough("site judgement: a round", "s", Power),
			exact("site judgement: reports by gossip, of all mixers", "1/s", Flat),
			exact("site judgement: one report by gossip", "B", Affine),
		}
	}
	return []Curve{
		{Role: "mixer", Of: "members", Plan: Mixers, Sizes: doubled(64), Quick: doubled(32),
			Quantities: quantities(Affine, Law{Affine, 6, 27, 0}, judgeHeld),
			Play:       func(n int) ([]float64, error) { return judgeFigures(n, int(ZonesAll)) }},
		{Role: "mixer", Of: "sites, 128 members", Plan: ZonesEach, Sizes: doubled(4), Quick: doubled(4),
			Quantities: quantities(Quadratic, judgeBySites, Law{Affine, 13220, 895, 0}),
			Play:       func(n int) ([]float64, error) { return judgeFigures(128, n) }},
	}
}
