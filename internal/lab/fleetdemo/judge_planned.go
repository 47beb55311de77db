package fleetdemo

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// cutTrouble is a cut between machines.
type cutTrouble struct {
	span
	Links []link
}

// evacuation is an evacuation of a zone, as the operator saw it.
type evacuation struct {
	Zone  string
	Acked time.Time // zero if it was not acknowledged
	Back  time.Time // when the operator began to take it back; zero: not in the run
}

func enginesOf(arrivals []arrival) (engines []string) {
	for _, one := range arrivals {
		engines = append(engines, one.Engine)
	}
	return engines
}

// engineZone is the zone of an engine's life, "" for one of no soak.
func engineZone(life string) string {
	name, _, _ := strings.Cut(life, "/")
	var number int
	if _, err := fmt.Sscanf(name, "i-%d", &number); err != nil {
		return ""
	}
	return zoneOf(number - 1)
}

// judgeArrivals holds where a request went to the evacuations and to what was draining. It binds fronts that were in touch.
func (r *record) judgeArrivals(a *ask) (findings []finding) {
	for _, one := range r.Arrivals[a.ID] {
		if !r.inTouch(a.Front, one.At) {
			continue
		}
		for _, e := range r.Evacuations {
			late := one.At.Sub(e.Acked) - r.Limits.Evacuation
			if e.Zone == engineZone(one.Engine) && !e.Acked.IsZero() && late > r.Limits.Slack && (e.Back.IsZero() || one.At.Before(e.Back)) {
				findings = append(findings, finding{ruleEvac, one.At, a.ID, fmt.Sprintf("reached %s of %s, %v after the limit", one.Engine, e.Zone, late.Round(time.Millisecond))})
			}
		}
		shown, draining := r.Drains[one.Engine]
		if late := one.At.Sub(shown) - r.Limits.Drain; draining && late > r.Limits.Slack {
			findings = append(findings, finding{ruleDrain, one.At, a.ID, fmt.Sprintf("reached %s, %v after the limit", one.Engine, late.Round(time.Millisecond))})
		}
	}
	return findings
}

// inTouch tells whether a front was without trouble and reached the controllers, and these each other, for the whole contact time before a
// moment.
func (r *record) inTouch(front int, at time.Time) bool {
	from := at.Add(-r.Limits.Contact)
	for _, t := range r.Fronts {
		if t.Number == front && t.meets(from, at) {
			return false
		}
	}
	return !r.cutOff(front, from, at)
}

// cutOff tells whether a link of a front to a controller, or one between controllers, was cut within a time. Links between fronts do not
// count: a front is to do without them.
func (r *record) cutOff(front int, from, to time.Time) bool {
	return slices.ContainsFunc(r.Cuts, func(c cutTrouble) bool {
		return c.meets(from, to) && slices.ContainsFunc(c.Links, func(l link) bool {
			a, b := isController(l.a), isController(l.b)
			return a && b || a && l.b == frontIP(front) || b && l.a == frontIP(front)
		})
	})
}

// calmSince gives the later of a moment and the contact time after the last cut before another moment: weights are to be everywhere in one
// stretch without a cut.
func (r *record) calmSince(since, at time.Time) time.Time {
	for _, c := range r.Cuts {
		if calm := c.To.Add(r.Limits.Contact); c.From.Before(at) && calm.After(since) {
			since = calm
		}
	}
	return since
}
