package fleetdemo

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// judgeTallies holds reads of tallies to the adds that were made.
func (r *record) judgeTallies() (findings []finding) {
	adds := map[string][]tallyCall{}
	for _, call := range r.Tallies {
		if !call.Read {
			adds[call.Tally] = append(adds[call.Tally], call)
		}
	}
	for _, read := range r.Tallies {
		if !read.Read || read.Status != http.StatusOK {
			continue
		}
		found := func(rule, format string, args ...any) {
			text := fmt.Sprintf("controller %d says %d, ", read.Controller+1, read.Total) + fmt.Sprintf(format, args...)
			findings = append(findings, finding{rule, read.End, read.Tally, text})
		}
		if most := sumOf(adds[read.Tally], func(add tallyCall) bool { return mayCount(add) && add.Sent.Before(read.End) }); read.Total > most {
			found(ruleTwice, "the adds that may count sum to %d", most)
		}
		if least := sumOf(adds[read.Tally], func(add tallyCall) bool { return r.isOwed(add, read) }); read.Total < least {
			found(ruleStale, "the adds that it owes sum to %d", least)
		}
	}
	return append(findings, r.judgeLastReads(adds)...)
}

// judgeLastReads holds the last reads, made when all was quiet, to all adds that were acknowledged.
func (r *record) judgeLastReads(adds map[string][]tallyCall) (findings []finding) {
	if r.Quiet.IsZero() {
		return nil
	}
	for controller := range r.Controllers {
		for name, made := range adds {
			least := sumOf(made, func(add tallyCall) bool { return add.Status == http.StatusOK })
			last := slices.IndexFunc(r.Tallies, func(read tallyCall) bool {
				return read.Read && read.Status == http.StatusOK && read.Tally == name && read.Controller == controller && !read.Sent.Before(r.Quiet)
			})
			switch {
			case last < 0:
				findings = append(findings, finding{ruleLost, r.Quiet, name, fmt.Sprintf("controller %d does not answer", controller+1)})
			case r.Tallies[last].Total < least:
				findings = append(findings, finding{ruleLost, r.Tallies[last].End, name,
					fmt.Sprintf("controller %d says %d at the end, and the adds that were acknowledged sum to %d", controller+1, r.Tallies[last].Total, least)})
			}
		}
	}
	return findings
}

// tallySummary counts the calls of tallies by their status, 0 where no answer came.
func (r *record) tallySummary() string {
	counts := map[string]int{}
	for _, call := range r.Tallies {
		kind := "adds"
		if call.Read {
			kind = "reads"
		}
		counts[fmt.Sprintf("%s %d", kind, call.Status)]++
	}
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", key, counts[key]))
	}
	return strings.Join(parts, ", ")
}

// sumOf adds up the adds that count, each id once.
func sumOf(adds []tallyCall, counts func(tallyCall) bool) (sum int64) {
	counted := map[string]bool{}
	for _, add := range adds {
		if !counted[add.ID] && counts(add) {
			counted[add.ID] = true
			sum += add.By
		}
	}
	return sum
}

// mayCount tells whether an attempt may have counted: a refusal with 503 or 429 promises that it did not, and one with 4xx was no add.
func mayCount(add tallyCall) bool {
	return add.Status == 0 || add.Status == http.StatusOK || add.Status >= 500 && add.Status != http.StatusServiceUnavailable
}

// isOwed tells whether a read is to have an add: one that the same life of the controller acknowledged, or that any did when all had been
// without disruption for the time of a merge since.
func (r *record) isOwed(add, read tallyCall) bool {
	if add.Status != http.StatusOK || !add.End.Before(read.Sent) {
		return false
	}
	if add.Controller == read.Controller && !r.coreTroubled(read.Controller, add.Sent, read.End) {
		return true
	}
	calm := read.Sent.Add(-r.Limits.Merge - r.Limits.Slack)
	return add.End.Before(calm) && !r.disrupted(calm, read.Sent)
}

// coreTroubled tells whether a controller was ended or started within a time.
func (r *record) coreTroubled(controller int, from, to time.Time) bool {
	return slices.ContainsFunc(r.Cores, func(t machineTrouble) bool { return t.Number == controller && t.meets(from, to) })
}

// disrupted tells whether a controller was ended or started, or links between controllers were cut or healed, within a time.
func (r *record) disrupted(from, to time.Time) bool {
	cut := slices.ContainsFunc(r.Cuts, func(c cutTrouble) bool {
		return c.meets(from, to) && slices.ContainsFunc(c.Links, func(l link) bool { return isController(l.a) && isController(l.b) })
	})
	return cut || slices.ContainsFunc(r.Cores, func(t machineTrouble) bool { return t.meets(from, to) })
}
