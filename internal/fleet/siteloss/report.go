package siteloss

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Report is what one life of a mixer says of the sites, of its own evidence alone: what it has heard is never passed on
// as its own.
type Report struct {
	_     struct{} `cbor:",toarray"`
	Life  uint64
	Seq   uint64    // of this life, the newest stands for all before
	Age   int64     // since it was made, as far as known: whoever keeps it adds the time that it was kept
	Views []Kind    // by site
	Cells []Load    // by cell, what its answers showed it: it may be left out
	Asked []float32 // lookups a second that came for the first time, by sorts that all mixers count alike
}

// Load is what one mixer saw of one cell lately.
type Load struct {
	_    struct{} `cbor:",toarray"`
	Work float32  // work a second that was answered
	Late float32  // of that, what was answered late
}

func (l Load) compare(o Load) int {
	return cmp.Or(cmp.Compare(l.Work, o.Work), cmp.Compare(l.Late, o.Late))
}

func (l Load) sound() bool {
	return l.Work >= 0 && l.Late >= 0 && !math.IsInf(float64(l.Work), 0) && !math.IsInf(float64(l.Late), 0)
}

// MaxAsked bounds the sorts of lookups that reports count.
const MaxAsked = 256

// Asked adds up what all are asked, by sort.
func (rs Reports) Asked(own []float32) []float64 {
	out := make([]float64, len(own))
	for i, x := range own {
		out[i] = float64(x)
	}
	for _, r := range rs {
		for i, x := range r.Asked[:min(len(r.Asked), len(out))] {
			out[i] += float64(x)
		}
	}
	return out
}

// Served adds up what all show of each cell.
func (rs Reports) Served(own []Load) []Served {
	out, late := make([]Served, len(own)), make([]float64, len(own))
	add := func(loads []Load) {
		for i, l := range loads[:min(len(loads), len(out))] {
			out[i].Work += float64(l.Work)
			late[i] += float64(l.Late)
		}
	}
	add(own)
	for _, r := range rs {
		add(r.Cells)
	}
	for i := range out {
		out[i].Holders = 1
		out[i].Late = late[i] / max(out[i].Work, tiny)
	}
	return out
}

// Reports are of many lives, one each, in the order of their lives.
type Reports []Report

// before orders reports of one life. The same report in two ages counts as the older: time on the way is not in the age.
func before(a, b Report) int {
	if c := cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Age, b.Age)); c != 0 {
		return c
	}
	return cmp.Or(slices.Compare(a.Views, b.Views), slices.CompareFunc(a.Cells, b.Cells, Load.compare),
		slices.Compare(a.Asked, b.Asked))
}

// Join gives the newest of each life. Beyond MaxReports the first lives are kept, the same whatever the order of joins.
func (rs Reports) Join(other Reports) Reports {
	out := make(Reports, 0, min(len(rs)+len(other), MaxReports))
	for i, j := 0, 0; (i < len(rs) || j < len(other)) && len(out) < MaxReports; {
		switch {
		case j == len(other) || i < len(rs) && rs[i].Life < other[j].Life:
			out = append(out, rs[i])
			i++
		case i == len(rs) || other[j].Life < rs[i].Life:
			out = append(out, other[j])
			j++
		default:
			newer := rs[i]
			if before(newer, other[j]) < 0 {
				newer = other[j]
			}
			out = append(out, newer)
			i, j = i+1, j+1
		}
	}
	return out
}

// Older gives the reports as they are after a time, without those that speak no more.
func (rs Reports) Older(by int64, t Terms) (out Reports) {
	for _, r := range rs {
		if r.Age += by; r.Age <= t.fresh() {
			out = append(out, r)
		}
	}
	return out
}

// MaxBytes bounds what is read at once: so many reports with all sites.
const MaxBytes = 16 + MaxReports*(32+2*MaxSites+11*MaxCells+5*MaxAsked)

var decoding, _ = cbor.DecOptions{MaxArrayElements: MaxReports, IndefLength: cbor.IndefLengthForbidden,
	TagsMd: cbor.TagsForbidden, MaxNestedLevels: 5}.DecMode()

// Append writes the reports.
func (rs Reports) Append(to []byte) ([]byte, error) {
	raw, err := cbor.Marshal(rs)
	return append(to, raw...), err
}

// ReadReports reads what Append wrote, whole or not at all. Rows out of order, twice or out of range are not ours.
func ReadReports(raw []byte) (rs Reports, err error) {
	if len(raw) > MaxBytes {
		return nil, errors.New("reports: too long")
	}
	if err = decoding.Unmarshal(raw, &rs); err != nil {
		return nil, err
	}
	for i, r := range rs {
		if i > 0 && r.Life <= rs[i-1].Life || r.Age < 0 || len(r.Views) > MaxSites ||
			len(r.Cells) > MaxCells || len(r.Asked) > MaxAsked ||
			slices.ContainsFunc(r.Views, func(k Kind) bool { return k >= kinds }) ||
			slices.ContainsFunc(r.Cells, func(l Load) bool { return !l.sound() }) ||
			slices.ContainsFunc(r.Asked, func(x float32) bool { return !(Load{Work: x}).sound() }) {
			return nil, errors.New("reports: out of order or range")
		}
	}
	return rs, nil
}
