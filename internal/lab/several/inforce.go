package several

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"

	"nettlefold/internal/fleet/control"
)

// status asks a control relay how it stands.
func (r *Relay) status() (s control.Status, err error) {
	raw, err := r.Ask("/control/status")
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	return s, err
}

// each looks at the versions of all mixers of a pattern that run.
func (w *World) each(pattern string, is func(*Mixer, Standing) error) error {
	for _, m := range w.Mixers {
		if !matches(pattern, m.Name) || !m.here() {
			continue
		}
		c, err := w.look(m)
		if err == nil {
			err = is(m, c)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return nil
}

// InForce waits until all mixers of a pattern that run take queries by a version; "start" is that of their start.
func InForce(pattern, name string) Step {
	return Holds(fmt.Sprintf("mixers %s have %s in force", pattern, name), func(w *World) error {
		want, err := w.given.stamp(name)
		if err != nil {
			return err
		}
		return w.each(pattern, func(_ *Mixer, c Standing) error {
			if c.InForce != want {
				return fmt.Errorf("in force is %v, not %v, followed is %q", c.InForce, want, c.Relay)
			}
			return nil
		})
	})
}

// Rejected waits until all mixers of a pattern that run tell that they reject a version, with element and value.
func Rejected(pattern, name, element, value string) Step {
	return Holds(fmt.Sprintf("mixers %s reject %s for %s", pattern, name, element), func(w *World) error {
		want, err := w.given.stamp(name)
		if err != nil {
			return err
		}
		return w.each(pattern, func(_ *Mixer, c Standing) error {
			if c.Rejected != want || c.Element != element || c.Value != value {
				return fmt.Errorf("rejected is %v for %q %q, not %v for %q %q", c.Rejected, c.Element, c.Value, want, element, value)
			}
			return nil
		})
	})
}

// Followed waits until all mixers of a pattern that run follow a control relay of another.
func Followed(pattern, relays string) Step {
	return Holds(fmt.Sprintf("mixers %s follow %s", pattern, relays), func(w *World) error {
		return w.each(pattern, func(_ *Mixer, c Standing) error {
			if c.Relay == "" || !matches(relays, c.Relay) {
				return fmt.Errorf("followed is %q", c.Relay)
			}
			return nil
		})
	})
}

// Alone waits until all mixers of a pattern that run follow nobody.
func Alone(pattern string) Step {
	return Holds(fmt.Sprintf("mixers %s follow nobody", pattern), func(w *World) error {
		return w.each(pattern, func(_ *Mixer, c Standing) error {
			if c.Relay != "" {
				return fmt.Errorf("followed is %q", c.Relay)
			}
			return nil
		})
	})
}

// Agree has all mixers and control relays that run come to the greatest version, save those whose last was rejected. Where they
// do not a rule is broken, and the play goes on.
func Agree() Step {
	const what = "all hold the greatest version"
	return step(func(w *World) error {
		err := w.Until(what, func() error {
			most := w.given.greatest()
			for _, r := range w.Relays {
				if r.stand != nil || !r.here() {
					continue
				}
				if s, err := r.status(); err != nil || s.Version != most {
					return fmt.Errorf("%s holds %v, not %v (%v)", r.Name, s.Version, most, err)
				}
			}
			return w.each("*", func(_ *Mixer, c Standing) error {
				if c.InForce != most {
					return fmt.Errorf("in force is %v, not %v", c.InForce, most)
				}
				return nil
			})
		})
		if err != nil && w.ctx.Err() == nil {
			w.Book.Break(ruleAgree, "%v", err)
			return nil
		}
		return err
	}, what)
}

// Knows waits until control relays know of the greatest version, were it by what mixers tell alone.
func Knows(pattern string) Step {
	return Holds(fmt.Sprintf("control relays %s know of the greatest version", pattern), func(w *World) error {
		most := w.given.greatest()
		for _, r := range w.Relays {
			if !matches(pattern, r.Name) || !r.here() {
				continue
			}
			if s, err := r.status(); err != nil || s.Newest != most {
				return fmt.Errorf("%s knows of %v, not of %v (%v)", r.Name, s.Newest, most, err)
			}
		}
		return nil
	})
}

// Under asks each mixer of a pattern that runs a query that comes out otherwise under a version: one part of three comes, the
// searchers of the others hold theirs. Where the any-n class is complete from less it is answered, else never.
func Under(pattern, name string) Step {
	return step(func(w *World) error {
		want, err := w.given.stamp(name)
		if err != nil {
			return err
		}
		half := w.given.halfUnder(name)
		var wg sync.WaitGroup
		errs := make(chan error, len(w.Mixers))
		for _, m := range w.Mixers {
			if matches(pattern, m.Name) && m.here() {
				wg.Go(func() { errs <- w.under(m, want, half) })
			}
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}, "mixers %s answer under %s", pattern, name)
}

// heldText begins the text of a query whose parts at searchers of cell 0 are taken and never answered.
const heldText = "held "

func (w *World) under(m *Mixer, want control.Stamp, half float64) error {
	var f *Front
	for _, o := range w.Fronts {
		if o.Site == m.Site {
			f = o
		}
	}
	const oneOfThree = 1.0 / parts
	var wrong error
	err := w.Until("an answer under the version", func() error {
		if c, err := w.look(m); err != nil {
			return err
		} else if c.InForce != want {
			wrong = fmt.Errorf("%s has %v in force, not %v", m.Name, c.InForce, want)
			return nil
		}
		l, err := f.probe(m.Name, half)
		switch few := half <= oneOfThree; {
		case err != nil:
			return err
		case few && l.has != 1: // turned away for want of time, maybe
			return fmt.Errorf("%s answers %d with %d parts", m.Name, l.status, l.has)
		case !few && l.has > 0:
			return fmt.Errorf("%s answers with %d parts, which is too few", m.Name, l.has)
		}
		return nil
	})
	if err != nil && w.ctx.Err() == nil {
		w.Book.Break(ruleUnder, "%v", err)
		return nil
	}
	if err == nil {
		err = wrong
	}
	return err
}

// probe asks a mixer one query of which a third can be answered.
func (f *Front) probe(mixer string, half float64) (*asked, error) {
	f.mu.Lock()
	f.n++
	id := fmt.Sprintf("%s-%d", f.Site, f.n)
	f.mu.Unlock()
	l := &asked{tariff: anyHalf, text: heldText + id, slices: []int{0, 2, 1}, half: half}
	f.w.Book.asks(id, l)
	err := f.ask(mixer, id, l, true)
	if err != nil {
		f.w.Book.ended(func(c *Counts) { c.Excused++ })
	}
	return l, err
}

// Hup has mixers read their configuration anew, by SIGHUP.
func Hup(pattern string) Step {
	return mixers(pattern, "are told SIGHUP", func(m *Mixer) error { return m.signal(syscall.SIGHUP) })
}

// held tells whether a searcher is to hold a part.
func (s *Searcher) held(text string) bool { return s.Cell == 0 && strings.HasPrefix(text, heldText) }
