package control

import "slices"

// mostDisplaced bounds the versions that a relay keeps beside the newest until a mixer reports one of them in force: 256 KiB of documents.
const mostDisplaced = 8

// displacedVersions keeps versions that were the newest of a relay until a later one came, so that a mixer's report of one of them,
// which may be on its way when the later version arrives, still proves it.
type displacedVersions struct {
	rows []Row // the oldest first
}

// add keeps a version that is no longer the newest. Of more than mostDisplaced the oldest is dropped.
func (d *displacedVersions) add(row Row) {
	d.rows = append(d.rows, row)
	if len(d.rows) > mostDisplaced {
		d.rows = slices.Delete(d.rows, 0, 1)
	}
}

// get gives the kept version of a stamp.
func (d *displacedVersions) get(s Stamp) (Row, bool) {
	if i := slices.IndexFunc(d.rows, func(row Row) bool { return row.Stamp == s }); i >= 0 {
		return d.rows[i], true
	}
	return Row{}, false
}

// dropUpTo drops the versions up to a stamp: once that one is proven, they are not needed.
func (d *displacedVersions) dropUpTo(s Stamp) {
	d.rows = slices.DeleteFunc(d.rows, func(row Row) bool { return row.Stamp.Compare(s) <= 0 })
}

// merge takes rows into the relay's table, and keeps the newest version where a later one displaces it.
func (r *Relay) merge(rows []Row) (news []Row, refused int) {
	before, had := r.table.Get(KindSettings, SettingsName)
	news, refused = r.table.Merge(rows)
	if had && r.table.Settings() != before.Stamp && !r.flaw.forgetsDisplaced {
		r.displaced.add(before)
	}
	r.dropProven()
	return news, refused
}

// prove keeps a version beside those to come, once a mixer has it in force: the newest, or one that was the newest here.
func (r *Relay) prove(s Stamp) {
	row, ok := r.table.Get(KindSettings, SettingsName)
	if !ok || row.Stamp != s {
		row, ok = r.displaced.get(s)
	}
	if good, _ := r.table.Get(KindSettings, ProvenName); !ok || good.Stamp == s || r.flaw.forgetsGood {
		return
	}
	row.Name = ProvenName
	r.table.Merge([]Row{row})
	r.dropProven()
}

// dropProven drops displaced versions that can no longer become the proven one.
func (r *Relay) dropProven() {
	if proven, ok := r.table.Get(KindSettings, ProvenName); ok {
		r.displaced.dropUpTo(proven.Stamp)
	}
}
