package capacity

import (
	"cmp"
	"fmt"
	"math"
	"strings"
)

// Tables are those of docs/capacity-lookups.md, by the name in the page's marks: each stands between <!-- name --> and <!-- end -->.
func Tables() map[string]string {
	return map[string]string{"sums": SumsTable(Sums()), "events": eventsTable(), "rank": RankTable(Rank()), "latency": latencyTable()}
}

// Latency is one share of the 57 ms.
type Latency struct {
	What    string
	Seconds float64
	From    string
}

// Latencies gives what of the 57 ms is ours, and what is left.
func Latencies() []Latency {
	lock, wire := routerTime.At(Parts), wireTime.At(Parts)
	left := Answer - endMargin - lock - wire
	return []Latency{
		{"kept at the end, so that an answer arrives in time", endMargin, "`mixer`, deadlineMargin"},
		{"the module's lock for all of a query, 4 holders a part", lock, "query: in the router"},
		{"reading and writing of requests and frames", wire, "query: reading and writing all of it"},
		{"wait for the lock behind other queries, were each held in one piece",
			lock / 2 * LockHeld(lock) / (1 - LockHeld(lock)), "arithmetic (M/D/1)"},
		{"left for networks, sockets and the slowest of 88 searchers", left, "arithmetic"},
		{"predicted time of the slowest part beyond which a query is turned away", room * (Answer - endMargin), "`mixer`, admissionShare"},
	}
}

func latencyTable() string {
	t := table{"what", "ms", "from"}.begin()
	for _, l := range Latencies() {
		t.row(l.What, fmt.Sprintf("%.1f", 1000*l.Seconds), l.From)
	}
	return t.text()
}

// SumsTable writes what roles hold, send and work at a size.
func SumsTable(sums []Sum) string {
	t := table{"role", "what", "at the size", "budget", "multiple", "carried by", "from"}.begin()
	for _, s := range sums {
		t.row(s.Role, s.What, figure(s.Amount, s.Unit), budget(s.Budget, s.Unit), multiple(s.Amount, s.Budget), s.By, s.From)
	}
	return t.text()
}

func eventsTable() string {
	t := table{"event", "what", "cost", "budget", "multiple", "carried by", "from"}.begin()
	for _, e := range Events() {
		t.row(e.What, e.Cost, figure(e.Amount, e.Unit), budget(e.Budget, e.Unit), multiple(e.Amount, e.Budget), e.By, e.From)
	}
	return t.text()
}

// RankTable writes at which share of a size mechanisms leave their budgets.
func RankTable(ranked []Ranked) string {
	t := table{"mechanism", "leaves its budget at", "budget", "carried by", "from"}.begin()
	for _, r := range ranked {
		t.row(r.What, share(r), r.Budget, r.By, r.From)
	}
	return t.text()
}

// share writes where a mechanism leaves its budget.
func share(r Ranked) string {
	switch x := r.Share; {
	case math.IsNaN(x):
		return "not measured yet"
	case x == 0:
		return "any size"
	case math.IsInf(x, 1):
		return "beyond 100 times the size"
	}
	return short(r.Share) + " of " + cmp.Or(r.Of, "the size")
}

func budget(x float64, unit string) string {
	if x == 0 {
		return ""
	}
	return figure(x, unit)
}

func multiple(amount, budget float64) string {
	if budget == 0 || math.IsNaN(amount) {
		return ""
	}
	return short(amount / budget)
}

// figure writes an amount in its unit with two or three digits.
func figure(x float64, unit string) string {
	if math.IsNaN(x) {
		return "not measured yet"
	}
	prefix := ""
	if strings.HasPrefix(unit, "B") {
		for _, p := range []struct {
			from float64
			name string
		}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
			if x >= p.from {
				x, prefix = x/p.from, p.name
				break
			}
		}
	}
	if unit == "s" && x < 1 {
		x, prefix = x*1000, "m"
	}
	if unit == "1" {
		unit = ""
	}
	return strings.TrimSpace(short(x) + " " + prefix + unit)
}

// short writes a number with three digits, whole ones above a thousand with commas.
func short(x float64) string {
	if x >= 999.5 {
		s := fmt.Sprintf("%.0f", x)
		for i := len(s) - 3; i > 0; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	}
	if x != 0 && x < 0.001 {
		return fmt.Sprintf("%.2g", x)
	}
	return fmt.Sprintf("%.3g", x)
}

// table writes one of Markdown.
type table []string

type rows struct {
	strings.Builder
	columns int
}

func (t table) begin() *rows {
	r := &rows{columns: len(t)}
	r.row(t...)
	r.row(strings.Split(strings.Repeat("---,", len(t)-1)+"---", ",")...)
	return r
}

func (r *rows) row(cells ...string) { r.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

func (r *rows) text() string { return r.String() }
