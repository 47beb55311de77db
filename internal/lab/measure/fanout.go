package measure

import (
	"fmt"
	"time"

	"nettlefold/internal/lab/fanout"
)

// Fanout plays what queries of many parts cost, and the fleet's model, whole beside subsets.
func Fanout(quick bool) (Result, error) {
	r, err := FanoutAgainst("", "", quick)
	if err != nil {
		return r, err
	}
	tables, claims, err := fanoutModel(modelPlanOf(quick))
	r.More, r.Claims = append(r.More, tables...), append(r.Claims, claims...)
	return r, err
}

// FanoutAgainst plays the same costs by another build of nettlelab in turns with this one, each case in a process of its own;
// self is this build's program. Without another it plays them here.
func FanoutAgainst(before, self string, quick bool) (Result, error) {
	return fanoutOf(fanout.Cases(), before, self, quick)
}

func fanoutOf(cases []fanout.Case, before, self string, quick bool) (Result, error) {
	r := Result{Size: "µs and allocations a part, best of several rounds; lock holds in µs",
		Header: []string{"case", "", "a part", "taking", "outcomes", "allocations", "taking a query", "longest other call", "calls", "attempts"},
		Notes: []string{
			"taking: Take and AddPart, with the admission; outcomes: these and the query's timers. All in the module, in model time, but for",
			"the router's cases. Taking a whole query is one hold of the router's lock. Of whole lists: how long the call takes, and how long",
			"another caller of the router waits at most beside it.",
			fmt.Sprintf("Times are judged in the long form only, by %d times their bound, as others use the machine; allocations in both.", fanout.Generous)}}
	for _, c := range cases {
		if quick && !c.Quick {
			continue
		}
		began := time.Now()
		f, err := fanout.Figures{}, error(nil)
		if before != "" {
			var was fanout.Figures
			if was, f, err = fanout.Alternating(before, self, c.Key, quick); err == nil {
				r.Rows = append(r.Rows, fanoutRow(c, "before", was))
			}
		} else {
			f, err = c.Run(quick)
		}
		if err != nil {
			return r, err
		}
		fmt.Fprintf(progress, "%s: %.1f s\n", c.Key, time.Since(began).Seconds())
		r.Rows = append(r.Rows, fanoutRow(c, "now", f))
		r.Claims = append(r.Claims, fanoutClaims(c, f, quick)...)
	}
	return r, nil
}

func micro(d time.Duration) string { return fmt.Sprintf("%.4g", float64(d)/1e3) }

func fanoutRow(c fanout.Case, which string, f fanout.Figures) []string {
	if c.List {
		return []string{c.Key, which, "", "", "", "", micro(f.LongestTake), micro(f.LongestCall), "", ""}
	}
	row := []string{c.Key, which, micro(f.Time), micro(f.Taking), micro(f.Outcomes), fmt.Sprintf("%.2f", f.Allocations),
		micro(f.LongestTake), micro(f.LongestCall), "", ""}
	if !c.Router {
		row[8], row[9] = fmt.Sprintf("%.1f", f.Calls), fmt.Sprintf("%.1f", f.Attempts)
	}
	return row
}

// fanoutClaims gives what a case claims: what a part costs, and of lists how long another caller waits.
func fanoutClaims(c fanout.Case, f fanout.Figures, quick bool) (claims []Claim) {
	if c.Judged {
		claims = append(claims, Claim{fmt.Sprintf("%s: at most %.0f allocations a part: %.2f", c.Key, fanout.MostAllocations, f.Allocations),
			f.Allocations <= fanout.MostAllocations})
	}
	if c.Judged && !quick {
		claims = append(claims, Claim{fmt.Sprintf("%s: at most %v a part, judged by %d times that: %v", c.Key, fanout.MostTime,
			fanout.Generous, f.Time), f.Time <= fanout.Generous*fanout.MostTime})
	}
	if c.List && !quick {
		claims = append(claims, Claim{fmt.Sprintf("%s: another caller waits at most %v, judged by %d times that: %v", c.Key, fanout.MostHold,
			fanout.Generous, f.LongestCall), f.LongestCall <= fanout.Generous*fanout.MostHold})
	}
	return claims
}
