package record_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"

	"nettlefold/internal/lab/fleet"
	"nettlefold/internal/lab/record"
	"nettlefold/mixer"
)

// recorded gives the lines of a hard world.
func recorded(t *testing.T, seed int64) (lines []string, tr *record.Transcript) {
	t.Helper()
	var b bytes.Buffer
	tr = record.NewTranscript(&b)
	record.Hard(seed, tr)
	sum := sha256.Sum256(b.Bytes())
	if tr.Digest() != hex.EncodeToString(sum[:]) {
		t.Error("the digest is not that of what is written")
	}
	if lines = strings.SplitAfter(b.String(), "\n"); tr.Lines() != len(lines)-1 || tr.Err() != nil {
		t.Errorf("%d lines are told, %d written, error %v", tr.Lines(), len(lines)-1, tr.Err())
	}
	return lines[:len(lines)-1], tr
}

func replay(lines []string) (int, error) {
	return record.Replay(strings.NewReader(strings.Join(lines, "")))
}

func TestReplayOfTheSameModuleIsTheSame(t *testing.T) {
	for _, seed := range []int64{2, 43, 45, 52} {
		lines, _ := recorded(t, seed)
		if same, err := replay(lines); err != nil || same != len(lines) {
			t.Errorf("seed %d: %d of %d lines are the same, %v", seed, same, len(lines), err)
		}
	}
}

// Whatever is not as the module does it is found at its call; what it was called with otherwise, there or soon after.
func TestReplayNamesTheFirstCallThatDiffers(t *testing.T) {
	lines, _ := recorded(t, 43)
	find := func(prefix string) int {
		i := slices.IndexFunc(lines[len(lines)/3:], func(s string) bool { return strings.HasPrefix(s, prefix) })
		if i < 0 {
			t.Fatalf("no %q", prefix)
		}
		return i + len(lines)/3
	}
	call := func(i int) int { // the line of the call during which line i was written, from 1 on
		for strings.HasPrefix(lines[i], "\t") {
			i--
		}
		return i + 1
	}
	for name, change := range map[string]func(all []string) ([]string, int){
		"other searcher": func(all []string) ([]string, int) {
			i := find("\tforward")
			v := strings.Split(all[i], "\t")
			v[3] += "x"
			all[i] = strings.Join(v, "\t")
			return all, call(i)
		},
		"1 ns later": func(all []string) ([]string, int) {
			i := find("\ttimer")
			all[i] = strings.TrimSuffix(all[i], "\n") + "0\n"
			return all, call(i)
		},
		"nothing done": func(all []string) ([]string, int) {
			i := find("\tforward")
			return slices.Delete(all, i, i+1), call(i)
		},
		"done twice": func(all []string) ([]string, int) {
			i := find("\tforward")
			return slices.Insert(all, i, all[i]), call(i)
		},
		"two in another order": func(all []string) ([]string, int) {
			i := slices.IndexFunc(all, func(s string) bool { return strings.HasPrefix(s, "\tforward") })
			for !strings.HasPrefix(all[i+1], "\tforward") {
				i++
			}
			all[i], all[i+1] = all[i+1], all[i]
			return all, call(i)
		},
		"other seed": func(all []string) ([]string, int) {
			v := strings.Split(all[0], "\t")
			v[2] = "1"
			all[0] = strings.Join(v, "\t")
			return all, 0
		},
	} {
		all, line := change(slices.Clone(lines))
		same, err := replay(all)
		var d *record.Difference
		if !errors.As(err, &d) {
			t.Errorf("%s: %v after %d lines", name, err, same)
			continue
		}
		if line > 0 && (d.Line != line || same != line-1) {
			t.Errorf("%s: found at line %d after %d, it is at %d", name, d.Line, same, line)
		}
		if text := d.Error(); !strings.Contains(text, d.Call) || line > 1 && !strings.Contains(text, d.Before[len(d.Before)-1]) {
			t.Errorf("%s: the difference is told without its context: %s", name, text)
		}
	}
}

func TestReplayOfWhatIsNoTranscript(t *testing.T) {
	lines, _ := recorded(t, 43)
	begun := 1 // the first call with all that is done during it
	for strings.HasPrefix(lines[begun], "\t") {
		begun++
	}
	for name, all := range map[string][]string{
		"no start":       lines[1:],
		"an action only": {"\tsubscribe\n"},
		"two starts":     append(slices.Clone(lines[:begun]), lines[0]),
		"no such call":   append(slices.Clone(lines[:begun]), "listened\t5\n"),
		"no such timer":  append(slices.Clone(lines[:begun]), "due\t5\t77\n"),
		"no such handle": append(slices.Clone(lines[:begun]), "gone\t5\t77\n"),
		"too few values": append(slices.Clone(lines[:begun]), "tell\t5\n"),
		"too many":       append(slices.Clone(lines[:begun]), "hold\t5\t6\n"),
		"no number":      append(slices.Clone(lines[:begun]), "hold\tx\n"),
		"no JSON":        append(slices.Clone(lines[:begun]), "told\t5\t[\n"),
		"not as written": append(slices.Clone(lines[:begun]), "hold\t05\n"),
	} {
		_, err := replay(all)
		if d := (*record.Difference)(nil); err == nil || errors.As(err, &d) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// What is written is read back the same to the bit, and a setting that is not used leaves no trace.
func TestNumbersAreKeptToTheBit(t *testing.T) {
	for _, x := range []float64{1.0 / 3, math.Copysign(0, -1), math.SmallestNonzeroFloat64, math.MaxFloat64, 5e-7, 1e21} {
		var b bytes.Buffer
		m := record.New(1, mixer.Config{Cells: 1, Reach: 1, Mixers: 1, Tariffs: []mixer.Tariff{{Expected: 1}}}, 1, nil, record.NewTranscript(&b))
		m.Told(2, []mixer.PeerReport{{Searcher: "s", Slow: x, Until: math.MaxInt64}})
		if lines := strings.SplitAfter(b.String(), "\n"); len(lines) != 3 || strings.Contains(lines[0], "BudgetFor") {
			t.Errorf("written: %q", lines)
		} else if same, err := replay(lines); same != 2 || err != nil { // a replay writes anew what it has read
			t.Errorf("%v: %v", x, err)
		} else if digits := strings.Contains(lines[1], "Slow"); !digits {
			t.Errorf("%v is left out: %q", x, lines[1])
		}
	}
}

// A module that is written down does as one that is not.
func TestRecordingChangesNothing(t *testing.T) {
	play := func(recorded bool) (all []string, lines int) {
		s, trs := fleet.Usual(3, 4, 0.6, 0.9, true), []*record.Transcript{}
		if recorded {
			s.Record = func(int, uint64) *record.Transcript {
				trs = append(trs, record.NewTranscript(nil))
				return trs[len(trs)-1]
			}
		}
		w := fleet.New(s)
		w.Trace = func(_ int, what string) { all = append(all, what) }
		w.After(1e9, func() { w.Restart(w.Searchers[2], 1e9) })
		w.After(2e9, func() { w.Mixers[1].Start() })
		w.Run(w.Now + 6e9)
		if recorded && len(trs) != 5 {
			t.Errorf("%d lives are recorded, there are 5", len(trs))
		}
		for _, tr := range trs {
			lines += tr.Lines()
		}
		return all, lines
	}
	alone, _ := play(false)
	with, lines := play(true)
	if len(alone) < 1000 || !slices.Equal(alone, with) {
		t.Errorf("%d actions recorded, %d not, or others", len(with), len(alone))
	}
	if lines < len(with) {
		t.Errorf("%d lines for %d actions", lines, len(with))
	}
}
