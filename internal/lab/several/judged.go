package several

import (
	"fmt"
	"regexp"
	"sync"
	"time"
)

// Judged waits until all mixers of a pattern that run judge all sites of another to be of a kind, declared by a majority or not.
func Judged(who, sites, kind string, declared bool) Step {
	return Holds(fmt.Sprintf("mixers %s hold site %s: %s", who, sites, kind), func(w *World) error {
		for _, m := range w.Mixers {
			if !matches(who, m.Name) || m.halted || !m.running() {
				continue
			}
			all, err := m.judges()
			if err != nil {
				return err
			}
			for _, site := range w.Sites {
				if j := all[site]; matches(sites, site) && (j.Kind != kind || j.Declared != declared) {
					return fmt.Errorf("%s holds %s: %s, declared %v", m.Name, site, j.Kind, j.Declared)
				}
			}
		}
		return nil
	})
}

// told gives when a mixer's log tells of a site as of a kind, declared or not; a kind "" is any.
func (m *Mixer) told(site, kind string, declared bool) (at []time.Time) {
	if kind == "" {
		kind = "[a-z ]+"
	}
	line := regexp.MustCompile(fmt.Sprintf(`(?m)^time=(\S+) .* msg="a site's state" of=%s kind="?%s"? declared=%v`, site, kind, declared))
	for _, found := range line.FindAllStringSubmatch(m.Log(16<<20), -1) {
		if t, err := time.Parse(time.RFC3339, found[1]); err == nil {
			at = append(at, t)
		}
	}
	return at
}

// Told waits until all mixers of a pattern that run have told in their logs that a site was of a kind, were it for a moment.
func Told(who, site, kind string, declared bool) Step {
	return Holds(fmt.Sprintf("mixers %s have told of site %s: %s", who, site, kind), func(w *World) error {
		for _, m := range w.Mixers {
			if matches(who, m.Name) && !m.halted && m.running() && len(m.told(site, kind, declared)) == 0 {
				return fmt.Errorf("%s has not", m.Name)
			}
		}
		return nil
	})
}

// Settled begins the time that Never looks at: starting many processes may take a machine that is busy longer than a site
// is given.
func Settled() Step {
	return step(func(w *World) error { w.settled = time.Now(); return nil }, "all is as it should be")
}

// Never fails where a mixer of a pattern has told since Settled that a site of another was of a kind. What was told soon after
// the rig itself stood still does not count: searchers and wires are the rig's, so all sites were silent then.
func Never(who, sites, kind string, declared bool) Step {
	return step(func(w *World) error {
		for _, m := range w.Mixers {
			for _, site := range w.Sites {
				if !matches(who, m.Name) || !matches(sites, site) {
					continue
				}
				for _, at := range m.told(site, kind, declared) {
					if at.After(w.settled) && !w.pulse.missed(at.Add(-shows), at) {
						return fmt.Errorf("%s has held site %s: %s, declared %v", m.Name, site, kind, declared)
					}
				}
			}
		}
		return nil
	}, "mixers %s have never held site %s: %s, declared %v", who, sites, kind, declared)
}

const (
	beat  = 20 * time.Millisecond
	still = 500 * time.Millisecond // without a beat: the rig did not run
	shows = 10 * time.Second       // for which silence may still show
)

// pulse notes when the rig did not run.
type pulse struct {
	mu    sync.Mutex
	still [][2]time.Time
}

func (p *pulse) run(w *World) {
	for last := time.Now(); w.pause(beat); {
		now := time.Now()
		if now.Sub(last) > still {
			p.mu.Lock()
			p.still = append(p.still, [2]time.Time{last, now})
			p.mu.Unlock()
		}
		last = now
	}
}

// missed tells whether the rig did not run at a time between two.
func (p *pulse) missed(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.still {
		if s[0].Before(to) && s[1].After(from) {
			return true
		}
	}
	return false
}
