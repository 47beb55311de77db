// Package superseded knows, for the versions of one model's weights, since when each has been superseded at the earliest. A request may
// begin on a version for a limited time after the first newer one was acknowledged; a third one that is named gives the first no more
// time. It has no clock: times are by the steady clock of whoever keeps them, and go from one machine to another as ages.
package superseded

import (
	"math"
	"slices"
	"time"
)

// Always is the time of what was superseded before anybody here can tell.
const DistantPast = time.Duration(math.MinInt64 / 2)

// mostNamed bounds the versions that are told apart. Older ones are taken for superseded as early as the oldest of those that are left out.
const maxVersions = 16

// Named is a version, and the time before which neither it nor a newer one was named: what is older may be superseded since then.
type Announcement struct {
	Version   int64
	NotBefore time.Duration
}

// Times is the versions of a model that were named, both version and time rising. A time is a bound: the version may have been named
// later. So of two bounds for the same the later one says more.
type History []Announcement

// Of gives since when a version has been superseded at the earliest, and whether it has been at all.
func (t History) Since(version int64) (since time.Duration, superseded bool) {
	for _, n := range t {
		if n.Version > version {
			return n.NotBefore, true
		}
	}
	return 0, false
}

// Newest is the newest version that was named, 0 if none was.
func (t History) Newest() int64 {
	if len(t) == 0 {
		return 0
	}
	return t[len(t)-1].Version
}

// With adds a version that was not named before a time. One that is no newer than the newest changes nothing.
func (t History) With(version int64, since time.Duration) History {
	if version <= t.Newest() {
		return t
	}
	if len(t) > 0 {
		since = max(since, t[len(t)-1].NotBefore) // versions are named in their order
	}
	return append(slices.Clone(t), Announcement{version, since}).truncated()
}

// bounded leaves the oldest versions out when there are too many: the oldest one kept takes the time of the first that is left out, which
// bounds it too.
func (t History) truncated() History {
	over := len(t) - maxVersions
	if over <= 0 {
		return t
	}
	kept := slices.Clone(t[over:])
	kept[0].NotBefore = t[0].NotBefore
	return kept
}

// Heard adds what somebody else tells, by ages that were written no earlier than at a time, of a version that is wanted now.
func (t History) MergeAges(wanted int64, written time.Duration, ages []Age) History {
	return t.Merge(FromAges(written, ages).With(wanted, DistantPast))
}

// Merge gives what two tellers know together: for each version the later of their bounds.
func (t History) Merge(o History) History {
	var versions []int64
	for _, n := range slices.Concat(t, o) {
		versions = append(versions, n.Version)
	}
	slices.Sort(versions)
	merged := History{}
	for _, version := range slices.Compact(versions) {
		merged = append(merged, Announcement{version, max(t.notBefore(version), o.notBefore(version))})
	}
	for i := 1; i < len(merged); i++ {
		merged[i].NotBefore = max(merged[i].NotBefore, merged[i-1].NotBefore)
	}
	return merged.truncated()
}

// before is the time before which no version from the given one on was named, as far as is known here.
func (t History) notBefore(version int64) time.Duration {
	for _, n := range t {
		if n.Version >= version {
			return n.NotBefore
		}
	}
	return DistantPast
}

// Age is how long ago a version was named at the most, in milliseconds, for whoever has another clock.
type Age struct {
	Version      int64 `cbor:"1,keyasint"`
	Milliseconds int64 `cbor:"2,keyasint"` // UnknownAge if it was named before the teller began
}

// UnknownAge is that of a version which was named before its teller began.
const UnknownAgeMS = int64(1) << 40

// Ages tells the times to others, as they are now.
func (t History) Ages(now time.Duration) []Age {
	ages := make([]Age, len(t))
	for i, n := range t {
		ages[i] = Age{n.Version, UnknownAgeMS}
		if n.NotBefore != DistantPast {
			ages[i].Milliseconds = (now - n.NotBefore).Milliseconds()
		}
	}
	return ages
}

// FromAges reads ages that were told no earlier than asked, by the receiver's clock: the time for which they were under way makes
// nothing younger.
func FromAges(asked time.Duration, ages []Age) History {
	times := History{}
	for _, a := range ages {
		since := DistantPast
		if a.Milliseconds < UnknownAgeMS {
			since = asked - time.Duration(a.Milliseconds+1)*time.Millisecond // what was cut off below a millisecond too
		}
		times = times.With(a.Version, since)
	}
	return times
}
