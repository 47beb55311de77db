package fleetdemo

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rules that the judge of a soak holds the fleet to, by the names of the operators' pages.
const (
	ruleLost    = "LOST"    // a request that was passed on has neither an answer nor a refusal, or a tally lacks an acknowledged add at the end
	ruleVersion = "VERSION" // a request began on weights that were superseded for too long
	ruleTwice   = "TWICE"   // a request that may not be repeated ran more than once, or a tally is above the sum of what may count
	ruleRefused = "REFUSED" // a request that was told that it did not run, ran
	ruleMixed   = "MIXED"   // an answer looked whole and was not, or was another request's
	ruleConfig  = "CONFIG"  // a request was handled as only an older configuration allows
	ruleEvac    = "EVAC"    // a request reached an engine of a zone that was evacuated long enough ago
	ruleDrain   = "DRAIN"   // a request reached an engine that was draining for too long
	ruleWall    = "WALL"    // a request used what a request of another tenant made, and one of the two is isolated
	ruleStale   = "STALE"   // a tally was read without an add that it owed
	ruleOrder   = "ORDER"   // an answer's bytes are not those of one run, in their order
	ruleFault   = "FAULT"   // a process ended by itself, didn't start, didn't end when told to, or had too much memory
)

// Outcomes of a request, as its client saw them.
const (
	outcomeServed  = "served"
	outcomeAnswer  = "answered" // with a status that is no success
	outcomeCut     = "cut"      // the connection ended in the middle of the answer, or before it
	outcomeLeft    = "left"     // the client left by itself
	outcomeNoReach = "not reached"
)

// ask is one request of a client and what became of it.
type ask struct {
	ID        string
	Front     int
	Extra     int // number of the configuration on whose route it was sent, 0 for the route that all have
	Sent, End time.Time
	Deadline  time.Duration
	Repeats   bool // it may run more than once
	Outcome   string
	Status    int
	Whole     bool // the answer looks whole and is the request's own
	// OwnPart is set if the answer looks whole and is the beginning of the request's own.
	OwnPart  bool
	Mismatch string // where the bytes of a stream are not those of the run, "" if they are
}

// span is a time in which something was in trouble.
type span struct{ From, To time.Time }

func (s span) meets(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// machineTrouble is what was done to a front, or to a controller.
type machineTrouble struct {
	span
	Number int // of the front or controller
	Kind   string
}

// ordered is what the operator sent: a configuration or weights, by their number.
type ordered struct {
	Number      int64
	Sent, Acked time.Time // Acked is zero if it was not acknowledged
}

// limits are the times that the judge goes by. Slack is for what the machine itself was late by, measured in the run.
type limits struct {
	Version, Apply, Grace, Evacuation, Drain time.Duration
	Merge                                    time.Duration // in which controllers tell each other of adds
	Contact                                  time.Duration // for so long a front must have been without trouble to be in touch
	Start                                    time.Duration // in which a program has to listen
	Memory                                   int64         // bytes of one process; 0: not judged
	Slack                                    time.Duration
}

// record is what a soak saw.
type record struct {
	Asks     []ask
	Runs     []run
	Arrivals map[string][]arrival // by request
	Crashes  map[string]time.Time // of engines' lives
	Fronts   []machineTrouble
	Cuts     []cutTrouble
	Configs  []ordered
	Weights  []ordered
	Uses     []promptUse               // of what another tenant's request made
	Endings  map[string][]streamEnding // of runs that an engine broke off, by request
	Limits   limits

	Evacuations []evacuation
	Drains      map[string]time.Time // when the platform's list began to show an engine's life as draining

	Tallies     []tallyCall
	Cores       []machineTrouble // of controllers
	Controllers int
	Quiet       time.Time // from when on the last reads of tallies were made; zero: none were

	Processes []processLife
	Over      time.Time // when the processes were last looked at
}

// finding is a rule that was broken.
type finding struct {
	Rule    string
	At      time.Time
	Request string
	Text    string
}

// judge gives the rules that a record breaks, in the order of time.
func judge(r *record) []finding {
	var findings []finding
	runs := map[string][]run{}
	for _, one := range r.Runs {
		runs[one.Request] = append(runs[one.Request], one)
	}
	for i := range r.Asks {
		a := &r.Asks[i]
		findings = append(findings, r.judgeAnswer(a, runs[a.ID])...)
		findings = append(findings, r.judgeConfig(a)...)
		findings = append(findings, r.judgeArrivals(a)...)
	}
	for _, one := range r.Runs {
		findings = append(findings, r.judgeVersion(one)...)
	}
	findings = append(findings, r.judgeUses()...)
	findings = append(findings, r.judgeTallies()...)
	findings = append(findings, r.judgeProcesses()...)
	slices.SortFunc(findings, func(x, y finding) int { return x.At.Compare(y.At) })
	return findings
}

// judgeAnswer holds what a client got to what ran.
func (r *record) judgeAnswer(a *ask, runs []run) (findings []finding) {
	found := func(rule, format string, args ...any) {
		findings = append(findings, finding{rule, a.End, a.ID, fmt.Sprintf(format, args...)})
	}
	if !a.Repeats && len(runs) > 1 {
		found(ruleTwice, "it ran %d times", len(runs))
	}
	promised := a.Status == 429 || a.Status == 503 || a.Status == 408 || a.Status == 421
	if a.Outcome == outcomeAnswer && promised && len(runs) > 0 && !a.Repeats {
		found(ruleRefused, "answered %d and ran at %s", a.Status, runs[0].Engine)
	}
	switch {
	case a.Mismatch != "":
		found(ruleOrder, "front %d: %s", a.Front+1, a.Mismatch)
	case a.Outcome == outcomeServed && !a.Whole && !(a.OwnPart && r.cutUnseen(a)):
		found(ruleMixed, "the answer is not whole, or not its own")
	}
	if a.Outcome == outcomeCut && len(r.Arrivals[a.ID]) > 0 {
		if reason := r.excused(a); reason == "" {
			found(ruleLost, "front %d, engines %s: cut after %v of %v", a.Front+1, strings.Join(enginesOf(r.Arrivals[a.ID]), " "),
				a.End.Sub(a.Sent).Round(time.Millisecond), a.Deadline)
		}
	}
	return findings
}

// cutUnseen reports whether an engine broke an answer off so that nobody could know that it wasn't whole.
func (r *record) cutUnseen(a *ask) bool {
	return slices.ContainsFunc(r.Endings[a.ID], streamEnding.looksWhole)
}

// excused tells why a cut answer is nobody's fault here, "" if it is.
func (r *record) excused(a *ask) string {
	if len(r.Endings[a.ID]) > 0 {
		return "an engine broke it off"
	}
	if a.End.Sub(a.Sent) >= a.Deadline-r.Limits.Slack {
		return "its time was up"
	}
	for _, engine := range enginesOf(r.Arrivals[a.ID]) {
		if at, crashed := r.Crashes[engine]; crashed && at.After(a.Sent.Add(-r.Limits.Slack)) && at.Before(a.End.Add(r.Limits.Slack)) {
			return "an engine that had it crashed"
		}
	}
	for _, t := range r.Fronts {
		if t.Number != a.Front || !t.meets(a.Sent, a.End.Add(r.Limits.Slack)) {
			continue
		}
		switch t.Kind {
		case actKillFront:
			return "its front was killed"
		case actTermFront:
			if a.Sent.Before(t.From) && !a.End.Before(t.From.Add(r.Limits.Grace-endOfGrace-r.Limits.Slack)) {
				return "it was begun before the signal and the grace was over"
			}
		}
	}
	return ""
}

// endOfGrace is what a program may keep of its grace for its own end.
const endOfGrace = 400 * time.Millisecond

// judgeVersion holds the weights that a run began on to the versions that were acknowledged. What a frozen front had under way is left out.
func (r *record) judgeVersion(one run) []finding {
	for _, w := range r.Weights { // in their order: the first newer one counts
		if w.Number <= one.Version || w.Acked.IsZero() {
			continue
		}
		late := one.At.Sub(r.calmSince(w.Acked, one.At)) - r.Limits.Version
		if late > r.Limits.Slack && !r.frozen(one) {
			return []finding{{ruleVersion, one.At, one.Request, fmt.Sprintf("began on version %d at %s, %v after the limit of %d", one.Version, one.Engine, late.Round(time.Millisecond), w.Number)}}
		}
		return nil
	}
	return nil
}

// frozen tells whether a run's front stood still within the second before it.
func (r *record) frozen(one run) bool {
	for i := range r.Asks {
		if r.Asks[i].ID != one.Request {
			continue
		}
		for _, t := range r.Fronts {
			if t.Number == r.Asks[i].Front && t.Kind == actFreeze && t.meets(one.At.Add(-time.Second), one.At) {
				return true
			}
		}
	}
	return false
}

// judgeConfig holds the answer on a route of one configuration to those that may have been in force.
func (r *record) judgeConfig(a *ask) []finding {
	if a.Extra == 0 {
		return nil
	}
	for _, t := range r.Fronts {
		if t.Number == a.Front && t.meets(a.Sent.Add(-r.Limits.Apply-time.Second), a.End) {
			return nil // it was not in touch
		}
	}
	if r.cutOff(a.Front, a.Sent.Add(-r.Limits.Apply-r.Limits.Contact), a.End) {
		return nil
	}
	if a.Outcome == outcomeServed {
		for _, c := range r.Configs {
			if c.Number > int64(a.Extra) && !c.Acked.IsZero() && a.Sent.After(c.Acked.Add(r.Limits.Apply+r.Limits.Slack)) {
				return []finding{{ruleConfig, a.End, a.ID, fmt.Sprintf("served on the route of %d, %v after %d was acknowledged", a.Extra, a.Sent.Sub(c.Acked).Round(time.Millisecond), c.Number)}}
			}
		}
		return nil
	}
	if a.Status != 404 {
		return nil
	}
	for _, c := range r.Configs {
		if c.Number > int64(a.Extra) && c.Sent.Before(a.End) {
			return nil // it may be in force by now, and drops the route
		}
	}
	for _, c := range r.Configs {
		if c.Number == int64(a.Extra) && !c.Acked.IsZero() && a.Sent.After(c.Acked.Add(r.Limits.Apply+r.Limits.Slack)) {
			return []finding{{ruleConfig, a.End, a.ID, fmt.Sprintf("refused on the route of %d, %v after it was acknowledged", a.Extra, a.Sent.Sub(c.Acked).Round(time.Millisecond))}}
		}
	}
	return nil
}
