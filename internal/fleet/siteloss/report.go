package siteloss

import (
	"cmp"
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Report is what one life of a mixer says of the sites, of its own evidence alone: what it has heard is never passed on
// as its own.
type Report struct {
	_     struct{} `cbor:",toarray"`
	Life  uint64
	Seq   uint64 // of this life, the newest stands for all before
	Age   int64  // since it was made, as far as known: whoever keeps it adds the time that it was kept
	Views []Kind // by site
}

// Reports are of many lives, one each, in the order of their lives.
type Reports []Report

// before orders reports of one life. The same report in two ages counts as the older: time on the way is not in the age.
func before(a, b Report) int {
	if c := cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Age, b.Age)); c != 0 {
		return c
	}
	return slices.Compare(a.Views, b.Views)
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
const MaxBytes = 16 + MaxReports*(30+MaxSites)

var decoding, _ = cbor.DecOptions{MaxArrayElements: MaxReports, IndefLength: cbor.IndefLengthForbidden,
	TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4}.DecMode()

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
			slices.ContainsFunc(r.Views, func(k Kind) bool { return k >= kinds }) {
			return nil, errors.New("reports: out of order or range")
		}
	}
	return rs, nil
}
