package record_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// tally counts what occurs in transcripts that are written to it: calls and actions by name, and what is hard among them.
type tally struct {
	mu   sync.Mutex
	seen map[string]int
}

// one counts one transcript.
type one struct {
	*tally
	parts map[string]int // of a query
	sent  map[string]int // attempts of a part
	time  string         // of the last outcome
}

func (y *tally) writer() *one {
	return &one{tally: y, parts: map[string]int{}, sent: map[string]int{}}
}

func (o *one) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for line := range bytes.Lines(p) { // a transcript writes whole lines
		o.count(strings.Split(strings.TrimSuffix(string(line), "\n"), "\t"))
	}
	return len(p), nil
}

func (o *one) count(v []string) {
	if v[0] != "" {
		o.seen[v[0]]++
		o.call(v)
		return
	}
	o.seen["> "+v[1]]++
	switch v[1] {
	case "forward":
		if o.sent[v[2]]++; o.sent[v[2]] > 1 {
			o.seen["> forward again"]++
		}
		query, _, _ := strings.Cut(v[2], ".")
		for _, n := range []int{80, 200} {
			if o.parts[query] >= n {
				o.seen["> forward of "+strconv.Itoa(n)]++
			}
		}
	case "answer":
		o.seen["> answer "+v[3]]++
	case "bounce":
		if v[3] != "0" {
			o.seen["> bounce with a wait"]++
		}
	}
}

func (o *one) call(v []string) {
	switch v[0] {
	case "take":
		o.parts[field(v[2], `"ID":"`)], _ = strconv.Atoi(field(v[2], `"Parts":`))
		if strings.Contains(v[2], `"Again":true`) {
			o.seen["take again"]++
		}
	case "outcome":
		if o.seen["outcome "+v[5]]++; v[1] == o.time {
			o.seen["outcome at the same time"]++
		}
		if o.time = v[1]; v[7] == "true" && v[5] == "0" {
			o.seen["outcome over"]++
		}
	case "listed":
		o.seen["listed "+v[2]]++
	case "told":
		for _, what := range []string{"Lent", "AwayUntil", "Silent", "Sound", "Suspecting", "Slow"} {
			o.seen["told "+what] += strings.Count(v[2], `"`+what+`"`)
		}
	}
}

// field gives what stands behind a key in JSON, up to the next mark.
func field(s, key string) string {
	_, s, _ = strings.Cut(s, key)
	return s[:strings.IndexAny(s+",", `,"}`)]
}

// check fails where the worlds no longer reach what they are for.
func (y *tally) check(t *testing.T) {
	for what, least := range map[string]int{
		"listed true": 100, "listed false": 100, "refused": 100, "told": 100, "hold": 5, "adopt": 20, "resume": 10, "gone": 50, "take again": 500,
		"told Lent": 100, "told AwayUntil": 100, "told Silent": 100, "told Sound": 100, "told Suspecting": 100, "told Slow": 100,
		"outcome 0": 10_000, "outcome 1": 300, "outcome 2": 300, "outcome 3": 1000, "outcome 4": 300, "outcome 5": 300, "outcome 6": 1000,
		"outcome 7": 50, "outcome at the same time": 3000, "outcome over": 1000,
		"> forward again": 1000, "> forward of 80": 5000, "> forward of 200": 2000, "> answer true": 2000, "> answer false": 20,
		"> bounce with a wait": 500, "> fail": 300, "> cancel": 1000, "> close": 300, "> subscribe": 30, "> own": 500, "> stands": 500, "> kept": 50,
	} {
		if y.seen[what] < least {
			t.Errorf("the worlds have only %d times %q, %d are wanted", y.seen[what], what, least)
		}
	}
}
