package capacity

// The curves of what mixers share among themselves.
func init() {
	sources = append(sources, memberCurves, rosterCurves, judgementCurves, rightsCurves, sharingCurves, deskCurves)
}
