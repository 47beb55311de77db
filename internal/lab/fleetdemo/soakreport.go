package fleetdemo

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Bounds of what is written of findings.
const (
	tracedFindings = 5
	tracedLines    = 12 // that one program logged of a request
	tracedBefore   = 8 * time.Second
)

// traceFirst writes what is known of the first findings.
func (s *soak) traceFirst(out io.Writer, findings []finding) {
	for _, f := range findings[:min(len(findings), tracedFindings)] {
		s.trace(out, f)
	}
}

// report writes what became of requests and what was found.
func (s *soak) report(out io.Writer, findings []finding) {
	r := s.seen()
	outcomes := map[string]int{}
	for i := range r.Asks {
		key := r.Asks[i].Outcome
		if key == outcomeAnswer {
			key = fmt.Sprint(key, " ", r.Asks[i].Status)
		}
		if reason := r.excused(&r.Asks[i]); key == outcomeCut && reason != "" {
			key += ", " + reason
		} else if key == outcomeCut && len(r.Arrivals[r.Asks[i].ID]) == 0 {
			key += ", never passed on"
		}
		outcomes[key]++
	}
	fmt.Fprintf(out, "%d requests, %d configurations, %d versions, slack %v:", len(r.Asks), len(r.Configs), len(r.Weights), r.Limits.Slack.Round(time.Millisecond))
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(out, " %s %d;", outcome, outcomes[outcome])
	}
	fmt.Fprintf(out, " %d cuts, %d evacuations, %d drains; tallies %s\n", len(r.Cuts), len(r.Evacuations), len(r.Drains), r.tallySummary())
	for _, f := range findings {
		fmt.Fprintf(out, "%7.2f s  %s  request %s: %s\n", f.At.Sub(s.start).Seconds(), f.Rule, f.Request, f.Text)
	}
}

// trace writes what is known of a finding: the request's path, the events about it, and what the programs logged of it.
func (s *soak) trace(out io.Writer, f finding) {
	fmt.Fprintf(out, "\n%s, request %s:\n", f.Rule, f.Request)
	r := s.seen()
	for i := range r.Asks {
		if a := &r.Asks[i]; a.ID == f.Request {
			fmt.Fprintf(out, "  sent to front %d at %.3f s, ended at %.3f s: %s %d\n", a.Front+1, a.Sent.Sub(s.start).Seconds(), a.End.Sub(s.start).Seconds(), a.Outcome, a.Status)
		}
	}
	for _, one := range r.Runs {
		if one.Request == f.Request {
			fmt.Fprintf(out, "  began at %s on version %d at %.3f s\n", one.Engine, one.Version, one.At.Sub(s.start).Seconds())
		}
	}
	for _, w := range r.Weights {
		fmt.Fprintf(out, "  version %d acknowledged at %.3f s\n", w.Number, w.Acked.Sub(s.start).Seconds())
	}
	s.traceTally(out, r, f)
	for _, a := range s.plan {
		if at := s.start.Add(a.At); at.After(f.At.Add(-tracedBefore)) && at.Before(f.At) {
			fmt.Fprintln(out, " ", a)
		}
	}
	s.logLines(out, f.Request)
}

// traceTally writes what is known of a finding of a tally: what each controller said of it last, and what was done to controllers until then.
func (s *soak) traceTally(out io.Writer, r *record, f finding) {
	last := map[int]tallyCall{}
	for _, call := range r.Tallies {
		if call.Read && call.Tally == f.Request && call.Status == http.StatusOK && !call.End.After(f.At) {
			last[call.Controller] = call
		}
	}
	if len(last) == 0 {
		return
	}
	for _, controller := range slices.Sorted(maps.Keys(last)) {
		fmt.Fprintf(out, "  controller %d said %d at %.3f s\n", controller+1, last[controller].Total, last[controller].End.Sub(s.start).Seconds())
	}
	for _, t := range r.Cores {
		fmt.Fprintf(out, "  controller %d: %s from %.3f to %.3f s\n", t.Number+1, t.Kind, t.From.Sub(s.start).Seconds(), t.To.Sub(s.start).Seconds())
	}
	for _, c := range r.Cuts {
		fmt.Fprintf(out, "  cut from %.3f to %.3f s: %v\n", c.From.Sub(s.start).Seconds(), c.To.Sub(s.start).Seconds(), c.Links)
	}
}

// logLines writes what programs logged of a request.
func (s *soak) logLines(out io.Writer, request string) {
	files, _ := filepath.Glob(filepath.Join(s.world.dir, "*.log"))
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		lines := 0
		for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan() && lines < tracedLines; {
			if strings.Contains(scanner.Text(), `"`+request+`"`) {
				fmt.Fprintf(out, "  %s: %s\n", filepath.Base(name), scanner.Text())
				lines++
			}
		}
	}
}
