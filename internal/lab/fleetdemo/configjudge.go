package fleetdemo

import (
	"fmt"
	"slices"
	"time"
)

// sentConfig is a configuration that the play's operator sent.
type sentConfig struct {
	Config modelledConfig
	Text   string // the JSON that was sent
	Base   int64
	Sent   time.Time
	Acked  time.Time // zero if it was not acknowledged
	Lost   bool      // it can't be in force any more: another one was acknowledged on the same base, or it was refused for good
}

// probe is a request on one of the places and its answer.
type probe struct {
	Front     int
	Place     int
	Key       string
	Sent, End time.Time
	Answer    probeAnswer
}

// readBack is an answer of a controller to a read of the configuration.
type readBack struct {
	Controller int
	Sent, End  time.Time
	Text       string
}

// configRecord is what a play of configurations saw.
type configRecord struct {
	Sent     []sentConfig
	Probes   []probe
	Reads    []readBack
	Fronts   []machineTrouble
	Cores    []machineTrouble
	Invalid  []string // configurations that are invalid and were acknowledged
	Refused  []string // acknowledged or valid configurations that were refused
	Apply    time.Duration
	Contact  time.Duration
	Skew     time.Duration // by which trouble of a controller stretches Apply
	Rollback time.Duration
	Slack    time.Duration // by what the machine itself was late
}

// judgeConfigurations returns what breaks CONFIG in a record, in the order of time.
func judgeConfigurations(r *configRecord) (findings []finding) {
	for _, text := range r.Invalid {
		findings = append(findings, finding{Rule: ruleConfig, Text: "an invalid configuration was acknowledged: " + text})
	}
	for _, text := range r.Refused {
		findings = append(findings, finding{Rule: ruleConfig, Text: "refused: " + text})
	}
	findings = append(findings, r.judgeRaces()...)
	findings = append(findings, r.judgeReads()...)
	for front := range r.frontCount() {
		findings = append(findings, r.judgeProbes(front)...)
	}
	slices.SortStableFunc(findings, func(x, y finding) int { return x.At.Compare(y.At) })
	return findings
}

func (r *configRecord) frontCount() (count int) {
	for _, p := range r.Probes {
		count = max(count, p.Front+1)
	}
	return count
}

// judgeRaces finds two configurations on the same base that were both acknowledged.
func (r *configRecord) judgeRaces() (findings []finding) {
	acked := map[int64]*sentConfig{} // by base
	for i := range r.Sent {
		s := &r.Sent[i]
		if s.Acked.IsZero() {
			continue
		}
		if other := acked[s.Base]; other != nil && other.Text != s.Text {
			findings = append(findings, finding{Rule: ruleConfig, At: s.Acked, Text: fmt.Sprintf("%d and %d were both acknowledged on top of %d", other.Config.Version, s.Config.Version, s.Base)})
		}
		acked[s.Base] = s
	}
	return findings
}

// judgeReads finds reads that are older than what was acknowledged before they were sent, or differ from what was
// sent. Reads aren't bound to machines in touch.
func (r *configRecord) judgeReads() (findings []finding) {
	for _, read := range r.Reads {
		newest := int64(0)
		known := false
		var version int64
		for i := range r.Sent {
			s := &r.Sent[i]
			if !s.Acked.IsZero() && s.Acked.Before(read.Sent) {
				newest = max(newest, s.Config.Version)
			}
			if !s.Lost && s.Sent.Before(read.End) && s.Text == read.Text {
				known, version = true, s.Config.Version
			}
		}
		switch {
		case !known:
			findings = append(findings, finding{Rule: ruleConfig, At: read.End, Text: fmt.Sprintf("controller %d reads what nobody sent, or lost a race: %.80s", read.Controller+1, read.Text)})
		case version < newest:
			findings = append(findings, finding{Rule: ruleConfig, At: read.End, Text: fmt.Sprintf("controller %d reads %d, %d was acknowledged before", read.Controller+1, version, newest)})
		}
	}
	return findings
}

// frontLife is what is known of one life of a front's processes.
type frontLife struct {
	restarted int // how often the front was started before
	// floor is the newest version that was acknowledged before the life began: it must not start with an older one.
	floor int64
	// proven is the oldest version that explains an answer of this life, provenAt when that answer came.
	proven   int64
	provenAt time.Time
}

// judgeProbes holds the answers of one front to the configurations that may have been in force, and finds a front
// that goes back within a life, or begins one with what is older than what was acknowledged before.
func (r *configRecord) judgeProbes(front int) (findings []finding) {
	var life frontLife
	for i := range r.Probes {
		p := &r.Probes[i]
		if p.Front != front || !p.Answer.decides() {
			continue
		}
		if text := r.judgeProbe(p, &life); text != "" {
			where := fmt.Sprintf("front %d, %s%s with key %q: %+v, ", front+1, places[p.Place].RequestHost, places[p.Place].Path, p.Key, p.Answer)
			findings = append(findings, finding{Rule: ruleConfig, At: p.End, Text: where + text})
		}
	}
	return findings
}

// judgeProbe returns what breaks the rule in one answer, "" if nothing does, and notes what the answer proves.
func (r *configRecord) judgeProbe(p *probe, life *frontLife) string {
	oldest, newest := r.allowedBy(p)
	if newest == 0 {
		return "which no configuration allows that was ever sent"
	}
	if inForce := r.inForceFrom(p.Sent); newest < inForce && r.inTouch(p.Front, p.Sent, p.End) {
		return fmt.Sprintf("which only %d and older allow; %d was acknowledged long ago", newest, inForce)
	}
	restarted, floor, sure := r.lifeOf(p)
	if !sure {
		return ""
	}
	if restarted != life.restarted {
		*life = frontLife{restarted: restarted, floor: floor}
	}
	switch {
	case newest < life.floor:
		return fmt.Sprintf("which only %d and older allow; %d was acknowledged before this life of the front", newest, life.floor)
	case newest < life.proven && p.Sent.After(life.provenAt.Add(r.Rollback+r.Slack)):
		return fmt.Sprintf("which only %d and older allow; the front served by %d before", newest, life.proven)
	}
	if oldest > life.proven {
		life.proven, life.provenAt = oldest, p.End
	}
	return ""
}

// lifeOf returns how often a front was started before a request, and the newest version that was acknowledged
// before the last of these. sure is false for requests beside a restart, which may be of either life.
func (r *configRecord) lifeOf(p *probe) (restarted int, floor int64, sure bool) {
	var last time.Time
	for _, t := range r.Fronts {
		switch {
		case t.Number != p.Front || t.Kind == troubleFrozen || t.From.After(p.End):
		case p.Sent.Before(t.To):
			return 0, 0, false
		default:
			restarted++
			last = later(last, t.From)
		}
	}
	return restarted, r.acknowledgedBefore(last), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acknowledgedBefore returns the newest version that was acknowledged before a time, 0 if none was.
func (r *configRecord) acknowledgedBefore(at time.Time) (version int64) {
	for i := range r.Sent {
		if s := &r.Sent[i]; !s.Acked.IsZero() && s.Acked.Before(at) {
			version = max(version, s.Config.Version)
		}
	}
	return version
}

// allowedBy returns the versions of the oldest and the newest configuration that may have been in force and allows
// an answer, 0 if none does.
func (r *configRecord) allowedBy(p *probe) (oldest, newest int64) {
	for i := range r.Sent {
		s := &r.Sent[i]
		if s.Lost || s.Sent.After(p.End) || !s.Config.allows(p.Place, p.Key, p.Answer) {
			continue
		}
		if oldest == 0 || s.Config.Version < oldest {
			oldest = s.Config.Version
		}
		newest = max(newest, s.Config.Version)
	}
	return oldest, newest
}

// inForceFrom returns the newest version that must be in force at machines in touch for a request sent at a time.
func (r *configRecord) inForceFrom(sent time.Time) (version int64) {
	for i := range r.Sent {
		s := &r.Sent[i]
		if s.Acked.IsZero() {
			continue
		}
		limit := r.Apply + r.Slack
		if slices.ContainsFunc(r.Cores, func(t machineTrouble) bool { return t.meets(s.Acked.Add(-r.Contact), sent) }) {
			limit += r.Skew
		}
		if sent.After(s.Acked.Add(limit)) {
			version = max(version, s.Config.Version)
		}
	}
	return version
}

// inTouch reports whether a front was without trouble from the contact time before a request until its end.
func (r *configRecord) inTouch(front int, sent, end time.Time) bool {
	return !slices.ContainsFunc(r.Fronts, func(t machineTrouble) bool {
		return t.Number == front && t.meets(sent.Add(-r.Contact), end)
	})
}

// firstServed returns, in ascending order, how long after each acknowledgement each front first answered as no older
// configuration allows.
func (r *configRecord) firstServed() (took []time.Duration) {
	for i := range r.Sent {
		s := &r.Sent[i]
		if s.Acked.IsZero() {
			continue
		}
		for front := range r.frontCount() {
			for _, p := range r.Probes {
				if p.Front != front || !p.Answer.decides() {
					continue
				}
				if oldest, _ := r.allowedBy(&p); oldest >= s.Config.Version {
					took = append(took, max(0, p.End.Sub(s.Acked)))
					break
				}
			}
		}
	}
	slices.Sort(took)
	return took
}
