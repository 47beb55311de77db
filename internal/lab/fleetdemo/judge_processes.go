package fleetdemo

import (
	"fmt"
	"time"
)

// judgeProcesses holds each process to its rules: it listens soon after its start, doesn't end by itself, ends within its grace when it is
// told to, and keeps to the memory that its sheet gives it.
func (r *record) judgeProcesses() (findings []finding) {
	for i := range r.Processes {
		p := &r.Processes[i]
		found := func(at time.Time, format string, args ...any) {
			findings = append(findings, finding{ruleFault, at, p.Name, fmt.Sprintf(format, args...)})
		}
		if r.Limits.Memory > 0 && p.PeakBytes > r.Limits.Memory {
			found(p.Started, "it had %d MB, %d over its limit", p.PeakBytes>>20, (p.PeakBytes-r.Limits.Memory)>>20)
			continue
		}
		if p.endedByItself() {
			found(p.Ended, "it ended by itself %v after its start: %s", p.Ended.Sub(p.Started).Round(time.Millisecond), p.State)
			continue
		}
		if took := r.startTime(p); took > r.Limits.Start+r.Limits.Slack {
			found(p.Started.Add(took), "it does not listen %v after its start", took.Round(time.Millisecond))
		}
		if took := r.endTime(p); took > r.Limits.Grace+r.Limits.Slack {
			found(p.Told.Add(took), "it has not ended %v after it was told to", took.Round(time.Millisecond))
		}
	}
	return findings
}

// endedByItself reports whether the process had ended before it was told to end, or killed.
func (p *processLife) endedByItself() bool {
	asked := firstOf(p.Told, p.Killed)
	return !p.Ended.IsZero() && (asked.IsZero() || p.Ended.Before(asked))
}

// startTime returns how long a process took to listen, or for how long it hasn't so far. What a front was frozen for doesn't count.
func (r *record) startTime(p *processLife) time.Duration {
	until := firstOf(p.Listening, p.Told, p.Killed, r.Over)
	took := until.Sub(p.Started)
	for _, t := range r.Fronts {
		if t.Kind == actFreeze && frontIP(t.Number) == p.IP {
			took -= t.overlap(p.Started, until)
		}
	}
	return took
}

// endTime returns how long a process took to end since it was told to, or for how long it hasn't so far.
func (r *record) endTime(p *processLife) time.Duration {
	if p.Told.IsZero() {
		return 0
	}
	return firstOf(p.Ended, r.Over).Sub(p.Told)
}

// overlap returns for how long a span overlaps with another one.
func (s span) overlap(from, to time.Time) time.Duration {
	if from.Before(s.From) {
		from = s.From
	}
	if s.To.Before(to) {
		to = s.To
	}
	return max(0, to.Sub(from))
}

// firstOf returns the first of some times that is not zero.
func firstOf(times ...time.Time) (first time.Time) {
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}
