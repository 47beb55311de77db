// Package sites runs the decider of a lost site (internal/fleet/siteloss) in the program: it gathers what this mixer sees, has
// the reports of others come and go over the desk, and tells what holds. It decides nothing itself.
package sites

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nettlefold/internal/fleet/desk"
	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/fleet/siteloss"
)

const (
	// Name is the table's.
	Name = "sites"

	remember = int64(time.Minute) // how long a life's newest report is known, so that an older one is not taken for news
	talkers  = 24                 // reports that are told by gossip within a round, from all mixers; exchanges carry the rest
	stamped  = 8                  // bytes before the reports, which say of which sites they are
)

// ErrSites is the error for reports of a fleet with other sites.
var ErrSites = errors.New("sites: the other has other sites in its settings")

// Fleet is what the roster knows.
type Fleet interface {
	Self() roster.Life
	Members() []roster.Member
	Now() int64
	Say(what []byte) error
}

// Table is the desk's table of sites.
type Table struct {
	Eyes *Eyes
	// Ask asks a searcher by a probe, and tells whether a connection came up and whether an answer came.
	Ask func(ctx context.Context, address string) (up, answered bool)

	clock func() int64
	log   *slog.Logger
	terms siteloss.Terms
	names []string // sorted: a report names sites by their places
	stamp uint64   // of the names
	fleet Fleet
	state *siteloss.State
	out   siteloss.Outputs
	kept  siteloss.Reports // of others, as old as they are at aged
	aged  int64
	spoke int64 // when our own report was last told by gossip
	last  atomic.Int64
}

// New makes the table of a mixer that stands in one of the sites. Terms need not say how many there are, nor which is ours.
func New(clock func() int64, t siteloss.Terms, own string, names []string, log *slog.Logger) (*Table, error) {
	names = slices.Sorted(slices.Values(names))
	t.Own, t.Sites = slices.Index(names, own), len(names)
	if err := t.Check(); err != nil {
		return nil, err
	}
	h := fnv.New64a()
	for _, name := range names {
		fmt.Fprintf(h, "%q", name)
	}
	return &Table{Eyes: newEyes(clock, t, names), clock: clock, log: log, terms: t, names: names, stamp: h.Sum64()}, nil
}

// Join has the table be of a life of the fleet. It comes before the desk runs.
func (t *Table) Join(f Fleet) (err error) {
	now := t.clock()
	t.fleet, t.aged, t.spoke = f, now, now
	t.last.Store(now)
	t.state, err = siteloss.New(now, t.terms, f.Self().Life)
	return err
}

// Name is the table's.
func (t *Table) Name() string { return Name }

// Offer gives our report and those of others that speak still, the youngest where not all fit. They may lie on the desk for a
// round, and are told as that much older: too old is harmless, too young is not.
func (t *Table) Offer(now int64, most int) []byte {
	all := t.kept.Older(now-t.aged+int64(desk.Round), t.terms)
	slices.SortFunc(all, func(a, b siteloss.Report) int { return cmp.Compare(a.Age, b.Age) })
	for {
		raw := t.written(all)
		if len(raw) <= most {
			return raw
		}
		if len(all) == 0 {
			return nil
		}
		all = all[:len(all)/2]
	}
}

// written gives reports and our own as others take them.
func (t *Table) written(of siteloss.Reports) []byte {
	own := t.out.Report
	if own.Life == 0 {
		return nil // no round yet
	}
	all := slices.Clone(of)
	slices.SortFunc(all, func(a, b siteloss.Report) int { return cmp.Compare(a.Life, b.Life) })
	raw, err := all.Join(siteloss.Reports{own}).Append(binary.LittleEndian.AppendUint64(nil, t.stamp))
	if err != nil {
		panic(err) // numbers only
	}
	return raw
}

// Take takes reports of others. What comes when we have not run for a while is not as young as it says.
func (t *Table) Take(now int64, from string, raw []byte) error {
	if len(raw) < stamped || binary.LittleEndian.Uint64(raw) != t.stamp {
		return fmt.Errorf("%w: %s", ErrSites, from)
	}
	all, err := siteloss.ReadReports(raw[stamped:])
	if err != nil || now-t.last.Load() > 2*t.terms.Every {
		return err
	}
	t.age(now)
	self := t.fleet.Self().Life
	t.kept = t.kept.Join(slices.DeleteFunc(all, func(r siteloss.Report) bool { return r.Life == self }))
	return nil
}

// age brings the ages of reports up to date.
func (t *Table) age(now int64) {
	for i := range t.kept {
		t.kept[i].Age += now - t.aged
	}
	t.kept = slices.DeleteFunc(t.kept, func(r siteloss.Report) bool { return r.Age > remember })
	t.aged = now
}

// Round has the decider take a step, and tells what has changed.
func (t *Table) Round(now int64) {
	t.age(now)
	in := siteloss.Inputs{Reports: t.kept.Older(0, t.terms)}
	in.Sites, in.Clients = t.Eyes.evidence(now)
	in.Mixers = t.mixers(now)
	before := t.out.Sites
	t.out = t.state.Step(now, in)
	t.last.Store(now)
	if t.out.Paused {
		t.log.Info("this mixer was not running for a while")
	}
	for i, v := range t.out.Sites {
		if before != nil && before[i].Kind == v.Kind && before[i].Declared == v.Declared {
			continue
		}
		t.log.Info("a site's state", "of", t.names[i], "kind", v.Kind.String(), "declared", v.Declared, "reason", v.Reason,
			"votes", v.Votes, "own", v.Own.String())
	}
	t.speak(now, len(in.Mixers))
}

// mixers gives the other lives of the fleet, on the desk's clock.
func (t *Table) mixers(now int64) (all []siteloss.Mixer) {
	self, shift := t.fleet.Self().Life, now-t.fleet.Now()
	for _, m := range t.fleet.Members() {
		if m.Life.Life == self {
			continue
		}
		one := siteloss.Mixer{Name: m.Name, Life: m.Life.Life, Site: slices.Index(t.names, m.Site), Standing: standings[m.State]}
		if m.Heard > 0 {
			one.Heard = max(1, m.Heard+shift)
		}
		all = append(all, one)
	}
	return all
}

var standings = map[roster.State]siteloss.Standing{roster.Here: siteloss.Here, roster.Doubted: siteloss.Doubted,
	roster.CutOff: siteloss.CutOff, roster.Gone: siteloss.Gone}

// speak tells our report by gossip, which is there sooner than an exchange is. In a large fleet mixers do it in turn: a site
// has its voice by any of its mixers.
func (t *Table) speak(now int64, others int) {
	if now-t.spoke < t.terms.Every {
		return
	}
	t.spoke = now
	if turns := uint64(others/talkers + 1); t.out.Report.Seq/2%turns != t.out.Report.Life%turns {
		return
	}
	if err := t.fleet.Say(desk.Said(Name, t.written(nil))); err != nil {
		t.log.Debug("a report on the sites is not told by gossip", "error", err)
	}
}

// Shown is a site as it stands, for questions.
type Shown struct {
	Site     string `json:"site"`
	Kind     string `json:"kind"`
	Declared bool   `json:"declared"`
	Reason   string `json:"reason"`
	Votes    int    `json:"votes"`
	Own      string `json:"own"`
	Since    int64  `json:"since_ms"`
}

// Show gives all sites.
func (t *Table) Show(now int64) any {
	all := make([]Shown, 0, len(t.out.Sites))
	for i, v := range t.out.Sites {
		all = append(all, Shown{t.names[i], v.Kind.String(), v.Declared, v.Reason, v.Votes, v.Own.String(),
			time.Duration(now - v.Since).Milliseconds()})
	}
	return all
}

// Run asks searchers of sites that no forward has shown anything of lately, until the context ends.
func (t *Table) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, mostAsking)
	timer := time.NewTicker(time.Duration(t.Eyes.span))
	defer timer.Stop()
	for round := int64(0); ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for i := range t.names {
			site := (i + int(round)) % len(t.names) // no site is always the last
			select {
			case free <- struct{}{}:
			default:
				continue
			}
			address := t.Eyes.ask(site, round)
			if address == "" {
				<-free
				continue
			}
			wg.Go(func() {
				defer func() { <-free }()
				began := t.clock()
				up, answered := t.Ask(ctx, address)
				t.Eyes.asked(site, up, answered, t.clock()-began)
			})
		}
	}
}
