package several

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/relay"
)

// Rules of the control tier, counted from what mixers and control relays say over time.
const (
	ruleBack     = "a mixer's version never goes back within its life"
	ruleRejected = "a rejected version is never in force"
	ruleGiven    = "a version in force was given by an operator"
	ruleAgree    = "after the heal all hold the greatest version"
	ruleMinority = "no number is given by a minority"
	ruleUnder    = "a query is answered under the version in force"
)

// Document is a version of the settings as an operator gives it. Half is what the any-n class is complete from under it, by
// which clients can tell whether it is in force.
type Document struct {
	Body string
	Half float64
}

// Half is the document by which the any-n class is complete from a share.
func Half(share float64) Document {
	return Document{fmt.Sprintf(`{"FamilyInfo":{"CompleteFrom":[1,%v,1],"LeastShare":[1,%v,1]}}`, share, share), share}
}

// Deadline is the document by which a tariff has so long.
func Deadline(tariff int, d time.Duration) Document {
	body := `{"Profiles":[` + strings.Repeat("{},", tariff) + `{"DeadlineMs":%d}` + strings.Repeat(",{}", len(tariffs)-1-tariff) + `]}`
	return Document{Body: fmt.Sprintf(body, d.Milliseconds())}
}

// version is one that was given, or may have been.
type version struct {
	control.Stamp
	Document
	sure, answered bool          // a control relay has said that it is numbered; it has said anything, or never will
	author         string        // control relay's name, with which its stamps' authors begin
	before         control.Stamp // the greatest until then
}

// sight is what a mixer told last, in one life.
type sight struct {
	Standing
	life int
}

// given is the rig's book of versions.
type given struct {
	w *World

	mu       sync.Mutex
	versions map[string]*version // by the plan's name
	half     float64             // least that the any-n class was complete from under any of them
	last     map[string]sight    // of each mixer
	forced   map[control.Stamp]string
	rejected map[control.Stamp]string // and by whom, the first
}

func newGiven(w *World) *given {
	return &given{w: w, versions: map[string]*version{}, half: startHalf, last: map[string]sight{},
		forced: map[control.Stamp]string{}, rejected: map[control.Stamp]string{}}
}

// startHalf is what the any-n class is complete from by the settings of the start.
const startHalf = 0.5

// least gives what an answer of the any-n class has under any version that was ever given.
func (g *given) least() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.half
}

// halfUnder gives what the any-n class is complete from under a version.
func (g *given) halfUnder(name string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.versions[name]; v != nil {
		return v.Half
	}
	return startHalf
}

// offer notes a document before it is given, and taken what a control relay has said to it.
func (g *given) offer(name, relay string, d Document) *version {
	before := g.greatest()
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &version{Document: d, author: relay, before: before}
	g.versions[name] = v
	if d.Half > 0 {
		g.half = min(g.half, d.Half)
	}
	return v
}

func (g *given) taken(v *version, s control.Stamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.Stamp, v.sure = s, true
}

func (g *given) answered(v *version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v.answered = true
}

// stamp gives the stamp of a version by the plan's name, "start" being what all began with.
func (g *given) stamp(name string) (control.Stamp, error) {
	if name == "start" {
		return control.Stamp{}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.versions[name]
	if v == nil || !v.sure {
		return control.Stamp{}, fmt.Errorf("version %s has no number", name)
	}
	return v.Stamp, nil
}

// greatest gives the greatest stamp that was given or seen in force.
func (g *given) greatest() (most control.Stamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.versions {
		if v.sure && v.Compare(most) > 0 {
			most = v.Stamp
		}
	}
	for s := range g.forced {
		if s.Compare(most) > 0 {
			most = s
		}
	}
	return most
}

// saw checks what a mixer told against what it told before and what all others did.
func (g *given) saw(mixer string, life int, c Standing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if before, ok := g.last[mixer]; ok && before.life == life && c.InForce.Compare(before.InForce) < 0 {
		g.w.Book.Break(ruleBack, "%s went from %v to %v", mixer, before.InForce, c.InForce)
	}
	g.last[mixer] = sight{c, life}
	if c.Rejected != (control.Stamp{}) && g.rejected[c.Rejected] == "" {
		g.rejected[c.Rejected] = mixer
	}
	if c.InForce == (control.Stamp{}) {
		return
	}
	if g.forced[c.InForce] == "" {
		g.forced[c.InForce] = mixer
	}
	if by := g.rejected[c.InForce]; by != "" {
		g.w.Book.Break(ruleRejected, "%v at %s, rejected by %s", c.InForce, mixer, by)
	}
}

// finish checks what only the whole can show: a number comes before what is heard of it, and its giver's answer may be lost.
func (g *given) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, mixer := range g.forced {
		known := false
		for _, v := range g.versions {
			known = known || v.sure && v.Stamp == s || !v.sure && strings.HasPrefix(s.Author, v.author)
		}
		if !known {
			g.w.Book.Break(ruleGiven, "%v at %s", s, mixer)
		}
		if by := g.rejected[s]; by != "" {
			g.w.Book.Break(ruleRejected, "%v at %s, rejected by %s", s, mixer, by)
		}
	}
}

// Standing is what a mixer tells of its version, by GET /control of its admin listener.
type Standing struct {
	InForce, Rejected control.Stamp // zero: that of the start, none
	Element, Value    string        // what was wrong with the one rejected
	Relay             string        // whom it follows
}

// look asks a mixer for its version, and checks what it tells. What may be of two lives counts for neither.
func (w *World) look(m *Mixer) (c Standing, err error) {
	m.looking.Lock()
	defer m.looking.Unlock()
	life := m.life()
	raw, err := m.Ask("/control")
	if err != nil {
		return c, err
	}
	var told relay.State
	if err := json.Unmarshal(raw, &told); err != nil {
		return c, fmt.Errorf("/control of %s: %w", m.Name, err)
	}
	if c.Relay = told.Relay; told.InForce != nil {
		c.InForce = *told.InForce
	}
	if r := told.Rejected; r != nil {
		c.Rejected, c.Element, c.Value = r.Stamp, r.Element, r.Value
	}
	if w.Lie != nil {
		w.Lie(m.Name, &c)
	}
	if life != m.life() {
		return c, fmt.Errorf("%s has started anew", m.Name)
	}
	w.given.saw(m.Name, life, c)
	return c, nil
}

// watch looks at the versions of all mixers until the world ends.
func (w *World) watch() {
	for _, m := range w.Mixers {
		w.wg.Go(func() {
			for w.pause(100 * time.Millisecond) {
				w.look(m)
			}
		})
	}
}
