// Package superseded tracks, for the weight versions of one model, the earliest time at which each of them
// may have been superseded. A request may start on a version for a limited time after the first newer
// version was acknowledged; a third version doesn't give the first one more time. The package has
// no clock: times are by the monotonic clock of the process that keeps them, and are sent to other
// machines as ages.
package superseded

import (
	"math"
	"slices"
	"time"
)

// DistantPast stands for an unknown time in the past.
const DistantPast = time.Duration(math.MinInt64 / 2)

// maxVersions bounds the versions that are tracked separately. Versions older than these are taken to be
// superseded since the time of the oldest one that was dropped.
const maxVersions = 16

// Announcement is a version and a lower bound on when it was announced: neither it nor a newer version was
// announced before NotBefore, so older versions may have been superseded since then.
type Announcement struct {
	Version   int64
	NotBefore time.Duration
}

// History has the announced versions of a model, in ascending order of both version and time. The times
// are lower bounds, so of two bounds for the same version the later one is more precise.
type History []Announcement

// Since returns the earliest time at which a version may have been superseded, and whether it was
// superseded at all.
func (h History) Since(version int64) (since time.Duration, superseded bool) {
	for _, a := range h {
		if a.Version > version {
			return a.NotBefore, true
		}
	}
	return 0, false
}

// Newest returns the newest announced version, 0 if there is none.
func (h History) Newest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

// With returns the history with a version that was not announced before the given time. A version that
// isn't above the newest one changes nothing.
func (h History) With(version int64, notBefore time.Duration) History {
	if version <= h.Newest() {
		return h
	}
	if len(h) > 0 {
		notBefore = max(notBefore, h[len(h)-1].NotBefore) // versions are announced in ascending order
	}
	return append(slices.Clone(h), Announcement{version, notBefore}).truncated()
}

// truncated drops the oldest versions in excess of maxVersions entries. The oldest remaining version takes the time of
// the oldest dropped one, which is a lower bound for it too.
func (h History) truncated() History {
	excess := len(h) - maxVersions
	if excess <= 0 {
		return h
	}
	kept := slices.Clone(h[excess:])
	kept[0].NotBefore = h[0].NotBefore
	return kept
}

// MergeAges merges ages received from another process, which were written no earlier than writtenAt. wanted is
// the version of the committed state: if the ages lack it, it was announced at an unknown time.
func (h History) MergeAges(wanted int64, writtenAt time.Duration, ages []Age) History {
	return h.Merge(FromAges(writtenAt, ages).With(wanted, DistantPast))
}

// Merge combines two histories: each version gets the later of its two bounds.
func (h History) Merge(other History) History {
	var versions []int64
	for _, a := range slices.Concat(h, other) {
		versions = append(versions, a.Version)
	}
	slices.Sort(versions)
	merged := History{}
	for _, version := range slices.Compact(versions) {
		merged = append(merged, Announcement{version, max(h.notBefore(version), other.notBefore(version))})
	}
	for i := 1; i < len(merged); i++ {
		merged[i].NotBefore = max(merged[i].NotBefore, merged[i-1].NotBefore)
	}
	return merged.truncated()
}

// notBefore returns the time before which neither the given version nor a newer one was announced, as far
// as this history has it.
func (h History) notBefore(version int64) time.Duration {
	for _, a := range h {
		if a.Version >= version {
			return a.NotBefore
		}
	}
	return DistantPast
}

// Age is an upper bound on the time since a version was announced, for processes with another clock.
type Age struct {
	Version      int64 `cbor:"1,keyasint"`
	Milliseconds int64 `cbor:"2,keyasint" json:"MS"` // UnknownAgeMS if there is no bound; JSON name kept for compatibility
}

// UnknownAgeMS is the age of a version that was announced before its sender started.
const UnknownAgeMS = int64(1) << 40

// Ages returns the ages of all versions at the given time.
func (h History) Ages(now time.Duration) []Age {
	ages := make([]Age, len(h))
	for i, a := range h {
		ages[i] = Age{a.Version, UnknownAgeMS}
		if a.NotBefore != DistantPast {
			ages[i].Milliseconds = (now - a.NotBefore).Milliseconds()
		}
	}
	return ages
}

// FromAges returns the history for ages that were written no earlier than writtenAt, by the receiver's
// clock. The time that the ages were in transit therefore never makes a version younger than it is.
func FromAges(writtenAt time.Duration, ages []Age) History {
	history := History{}
	for _, a := range ages {
		notBefore := DistantPast
		if a.Milliseconds < UnknownAgeMS {
			// One more millisecond covers the fraction that Ages cuts off.
			notBefore = writtenAt - time.Duration(a.Milliseconds+1)*time.Millisecond
		}
		history = history.With(a.Version, notBefore)
	}
	return history
}
