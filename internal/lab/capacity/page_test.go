package capacity

import (
	"flag"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// write has the page's tables written anew: go test ./internal/lab/capacity -run TestPage -write
var write = flag.Bool("write", false, "write the tables of docs/capacity-lookups.md anew")

const page = "../../../docs/capacity-lookups.md"

// The page's tables are those that the functions give, to the letter.
func TestPageIsWhatTheFunctionsGive(t *testing.T) {
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for name, want := range Tables() {
		mark := regexp.MustCompile(`(?s)(<!-- ` + name + ` -->\n)(.*?)(<!-- end -->)`)
		if n := len(mark.FindAllString(text, -1)); n != 1 {
			t.Errorf("%d places of table %s, want one", n, name)
			continue
		}
		if *write {
			text = mark.ReplaceAllStringFunc(text, func(string) string { return "<!-- " + name + " -->\n" + want + "<!-- end -->" })
			continue
		}
		got := strings.Split(mark.FindStringSubmatch(text)[2], "\n")
		for i, line := range strings.Split(want, "\n") {
			if i >= len(got) || got[i] != line {
				t.Fatalf("table %s, row %d:\n%s\nwant, by the functions:\n%s", name, i, got[min(i, len(got)-1)], line)
			}
		}
		if len(got) != strings.Count(want, "\n")+1 {
			t.Errorf("table %s has rows beyond those of the functions", name)
		}
	}
	if *write {
		if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// The arithmetic that operators were told, found again or contradicted.
func TestArithmetic(t *testing.T) {
	all, each := ColdWindow()
	for _, c := range []struct {
		what      string
		got, want float64
	}{
		{"queries a second of one mixer", QueriesEach(), 130.16},
		{"parts a second of one mixer", PartsEach(), 11454},
		{"parts a second at one searcher", PartsAt(), 1950.3},
		{"how often one mixer meets one searcher", Meets(), 0.3096},
		{"parts of one mixer out at one searcher", Outstanding(), 0.0031},
		{"share of time with none out there", NoneOut(), 0.9969},
		{"connections of a mixer, idle ones kept 30 s", Connections(30), 36989},
		{"connections of a searcher", ConnectionsAt(30), 6298},
		{"parts that need a handshake, idle ones kept 0.8 s", Handshakes(0.8), 0.805},
		{"parts that need a handshake, idle ones kept 30 s", Handshakes(30), 0.000295},
		{"share of parts in time for 99 queries of 100", PartQuantile(), 0.999886},
		{"parts for a cold searcher in its window, of all mixers", all, 576},
		{"the same, of one mixer", each, 0.0914},
		{"holders of a part in 88 cells", HoldersOf(), 420.5},
		{"messages of the list a second", NewsRate(), 0.3201},
		{"starts of mixers a second, each change of settings a restart of all", RestartsOfAll(Changes), 357.3},
		{"searchers of a zone, 8 in all", Lost(Searchers, ZonesAll), 4625},
		{"searchers of a zone, 8 a region", Lost(Searchers, ZonesEach), 1156.25},
	} {
		if math.Abs(c.got/c.want-1) > 0.005 {
			t.Errorf("%s: %v, want %v", c.what, c.got, c.want)
		}
	}
}

// What these sums take from the program is what the program has.
func TestBoundsAreTheProgram(t *testing.T) {
	l, _ := charter.Settings{}.Limits(mixer.Config{})
	if l.MaxListMessageBytes != boundLine {
		t.Errorf("a message of the list may have %d, the sums say %d", l.MaxListMessageBytes, boundLine)
	}
	for file, names := range map[string]map[string]string{
		"../../learnt/learnt.go":     {"maxFileBytes": "4 << 20"},
		"../../settings/settings.go": {"maxFile": "1 << 20"},
		"../../../mixer/mixer.go":    {"deadlineMargin": "8 * ms", "admissionShare": "0.33", "coldMargin": "0.8", "coldDeviations": "2.0"},
	} {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for name, want := range names {
			if !regexp.MustCompile(`(?m)^\s*(const )?` + name + `\s*= ` + regexp.QuoteMeta(want) + `( |$)`).Match(raw) {
				t.Errorf("%s: %s is no longer %s; the sums use it", file, name, want)
			}
		}
	}
	keep := limits()
	if got := keep.IdleTimeout().Seconds(); got != idle(keepAlive) {
		t.Errorf("idle connections are kept %v s, the sums say %v", got, idle(keepAlive))
	}
}

// A cost meets its budget where the rank says.
func TestShareAt(t *testing.T) {
	if got := shareAt(func(s float64) float64 { return 4 * s * s }, 1); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("4 s² meets 1 at %v, want 0.5", got)
	}
	if got := shareAt(func(float64) float64 { return 2 }, 1); got != 0 {
		t.Errorf("what is over at any size: %v", got)
	}
	if got := shareAt(func(s float64) float64 { return s / 1000 }, 1); !math.IsInf(got, 1) {
		t.Errorf("what is never over: %v", got)
	}
	last := 0.0
	for _, r := range Rank() {
		if r.Share < last {
			t.Errorf("%s at %v stands behind %v", r.What, r.Share, last)
		} else if !math.IsNaN(r.Share) {
			last = r.Share
		}
	}
}

// Each row's source is a curve that the command plays, the program's own constant, or said to be none.
func TestRowsNameTheirCurves(t *testing.T) {
	var keys []string
	for _, c := range Curves() {
		for _, q := range c.Quantities {
			keys = append(keys, Key(c, q))
		}
	}
	var all []string
	for _, s := range Sums() {
		all = append(all, s.From)
	}
	for _, e := range Events() {
		all = append(all, e.From)
	}
	for _, r := range Rank() {
		all = append(all, r.From)
	}
	for _, l := range Latencies() {
		all = append(all, l.From)
	}
	for _, from := range all {
		for _, one := range strings.Split(from, "; ") {
			known := strings.HasPrefix(one, "arithmetic") || one == "not measured yet" || strings.HasPrefix(one, "`")
			if !known && !slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(key, one) }) {
				t.Errorf("no curve gives %q", one)
			}
		}
	}
}
