package twophase

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func always(Process) bool { return true }

func TestASummaryPrunesOnlyWhatIsSurelyAbsent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keys := rapid.SliceOfN(rapid.String(), 0, 50).Draw(rt, "keys")
		s := NewSummaries(1 << 20)
		if err := s.Take(0, 3, one, false, WriteFilter(keys, 1024, 4)); err != nil {
			rt.Fatal(err)
		}
		for _, k := range keys {
			if s.Absent(1, 3, k, always) {
				rt.Fatalf("%q is held and pruned", k)
			}
		}
		if s.Absent(1, 4, "x", always) {
			rt.Fatal("a block without a summary is pruned")
		}
	})
	s := NewSummaries(1 << 20)
	s.Take(0, 0, one, false, WriteFilter([]string{"a", "b"}, 1024, 4))
	absent := 0
	for i := range 1000 {
		if s.Absent(1, 0, fmt.Sprint("key", i), always) {
			absent++
		}
	}
	if absent < 990 {
		t.Errorf("only %d of 1,000 keys that are not held are pruned", absent)
	}
}

func TestOldForeignAndColdSummariesAreNotBelieved(t *testing.T) {
	fresh := func() *Summaries {
		s := NewSummaries(1 << 20)
		if err := s.Take(0, 0, one, false, WriteFilter(nil, 64, 1)); err != nil {
			t.Fatal(err)
		}
		return s
	}
	if s := fresh(); !s.Absent(summaryLasts-1, 0, "x", always) {
		t.Error("a fresh summary is not believed")
	}
	if s := fresh(); s.Absent(summaryLasts, 0, "x", always) || s.Held() != 0 {
		t.Error("an old summary is believed or kept")
	}
	if s := fresh(); s.Absent(1, 0, "x", func(p Process) bool { return p != one }) || s.Held() != 0 {
		t.Error("a summary of a process that is gone or cold again is believed or kept")
	}
	if err := fresh().Take(1, 1, two, true, WriteFilter(nil, 64, 1)); !errors.Is(err, ErrSummary) {
		t.Errorf("a cold process' summary: %v", err)
	}
}

func TestUnsoundSummariesAreNotTaken(t *testing.T) {
	s := NewSummaries(300)
	full := WriteFilter(nil, 64, 1)
	for i := range full[8:] {
		full[8+i] = 0xff
	}
	for what, raw := range map[string][]byte{
		"nothing": nil, "cut": WriteFilter(nil, 64, 1)[:12], "no hashes": WriteFilter(nil, 64, 0), "many hashes": WriteFilter(nil, 64, 99),
		"full": full, "too large": WriteFilter(nil, 64*1024, 1), "longer than told": append(WriteFilter(nil, 64, 1), 0),
	} {
		if err := s.Take(0, 0, one, false, raw); !errors.Is(err, ErrSummary) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if s.Unsound != 7 || s.Held() != 0 {
		t.Errorf("%d unsound, %d bytes held", s.Unsound, s.Held())
	}
	for block := range 40 { // 16 bytes each
		s.Take(0, block, one, false, WriteFilter(nil, 64, 1))
		s.Take(0, 0, one, false, WriteFilter(nil, 64, 1)) // in place of the one before
	}
	if s.Held() > 300 || s.Held() < 280 {
		t.Errorf("%d bytes are held, 300 may be", s.Held())
	}
}

func TestRepliesHaveOneForm(t *testing.T) {
	for text, want := range map[string]Reply{
		"yes": {Yes, 0}, "no": {No, 0}, "yes 12": {Yes, 12}, "no 0": {No, 0}, "": {Spoilt, 0}, "empty": {Spoilt, 0}, "NO": {Spoilt, 0},
		"no ": {Spoilt, 0}, "no -1": {Spoilt, 0}, "no 012": {Spoilt, 0}, "no 1 2": {Spoilt, 0}, "no\n": {Spoilt, 0}, "yes 99999999999999": {Spoilt, 0},
	} {
		if got := ReadReply([]byte(text)); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		r := Reply{Word(rapid.IntRange(0, 1).Draw(rt, "word")), rapid.Int64Range(0, 1<<39).Draw(rt, "work")}
		if back := ReadReply(r.Append(nil)); back != r {
			rt.Fatalf("%+v, %+v", r, back)
		}
		noise := rapid.SliceOf(rapid.Byte()).Draw(rt, "noise")
		if got := ReadReply(noise); got.Word == No && !strings.HasPrefix(string(noise), "no") {
			rt.Fatalf("%q is taken for empty", noise)
		}
	})
}
