package siteloss

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// someReports draws few lives and numbers, so that the same ones meet.
var someReports = rapid.Custom(func(t *rapid.T) (rs Reports) {
	for life := uint64(1); life <= 5; life++ {
		if rapid.Bool().Draw(t, "there") {
			views := make([]Kind, rapid.IntRange(0, 3).Draw(t, "sites"))
			for i := range views {
				views[i] = Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "view"))
			}
			rs = append(rs, Report{Life: life, Views: views, Seq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
				Age:   rapid.Int64Range(0, 2).Draw(t, "age"),
				Cells: make([]Load, rapid.IntRange(0, 2).Draw(t, "cells")), Asked: make([]float32, rapid.IntRange(0, 2).Draw(t, "asked"))})
		}
	}
	return rs
})

func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := someReports.Draw(t, "a"), someReports.Draw(t, "b"), someReports.Draw(t, "c")
		same := func(law string, x, y Reports) {
			if len(x)+len(y) > 0 && !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: %v, %v", law, x, y)
			}
		}
		same("commutative", a.Join(b), b.Join(a))
		same("associative", a.Join(b).Join(c), a.Join(b.Join(c)))
		same("idempotent", a.Join(a), a)
		for _, r := range a.Join(b) {
			for _, o := range append(a[:len(a):len(a)], b...) {
				if o.Life == r.Life && o.Seq > r.Seq {
					t.Fatalf("%v stands for %v", r, o)
				}
			}
		}
		raw, err := a.Append(nil)
		if err != nil || len(raw) > MaxBytes {
			t.Fatal(err, len(raw))
		}
		back, err := ReadReports(raw)
		if err != nil {
			t.Fatal(err)
		}
		same("read as written", back, a)
		if len(a) > 1 {
			a[0], a[1] = a[1], a[0]
			if raw, _ = a.Append(nil); raw != nil {
				if _, err = ReadReports(raw); err == nil {
					t.Fatal("rows out of order are taken")
				}
			}
		}
	})
	// Beyond the bound the same lives are kept whatever the order, and what fills it fits its bytes.
	full := make(Reports, MaxReports)
	for i := range full {
		full[i] = Report{Life: 1<<63 + uint64(i), Seq: 1 << 40, Age: 1 << 40, Views: make([]Kind, MaxSites),
			Cells: make([]Load, MaxCells),
			Asked: slices.Repeat([]float32{1.1}, MaxAsked)}
		for c := range full[i].Cells {
			full[i].Cells[c].Work = 1.1
		}
	}
	more := Reports{{Life: 7, Seq: 1}}
	if a, b := full.Join(more), more.Join(full); len(a) != MaxReports || a[0].Life != 7 || !reflect.DeepEqual(a, b) {
		t.Fatal("the bound of a join hangs on its order")
	}
	if raw, err := full.Append(nil); err != nil || len(raw) > MaxBytes {
		t.Fatal(err, len(raw), MaxBytes)
	} else if _, err = ReadReports(append(raw, make([]byte, MaxBytes)...)); err == nil {
		t.Fatal("too long is taken")
	}
}
