package capacity

// The curves of what mixers share among themselves.
func init() {
	sources = append(sources, memberCurves, rosterCurves, judgementCurves, rightsCurves, sharingCurves, deskCurves)
}

// exact is a quantity that is judged, with the law of the last long run, if any.
func exact(name, unit string, form Form, known ...Law) Quantity {
	q := Quantity{Name: name, Unit: unit, Form: form, Deterministic: true}
	if len(known) > 0 {
		q.Known = known[0]
	}
	return q
}

// rough is one that is printed only: a time, processor time, or what a busy machine changes.
func rough(name, unit string, form Form, known ...Law) Quantity {
	q := exact(name, unit, form, known...)
	q.Deterministic = false
	return q
}

// doubled gives five sizes, each twice the one before.
func doubled(first int) (sizes []int) {
	for range 5 {
		sizes, first = append(sizes, first), 2*first
	}
	return sizes
}
