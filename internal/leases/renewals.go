package leases

import "time"

// RenewalTracker has the lease renewals that the head of a chain accepted, so that a successor doesn't
// wait again for time that has already passed. It is kept in memory and covers one epoch, in which only
// this head accepts renewals. The heads of earlier epochs may have accepted renewals of any lease until
// this head first saw the epoch.
type RenewalTracker struct {
	epoch       uint64
	epochSeenAt time.Duration
	renewals    map[string]renewalRecord // by lease
}

// renewalRecord has the last renewals of a lease by its current holder and by the previous one.
type renewalRecord struct {
	holder               string
	renewedAt            time.Duration
	predecessorRenewedAt time.Duration // not later than this
}

// SetEpoch sets the epoch in force at the given time. A change of epoch discards all renewals: those
// that earlier heads accepted are assumed to be as late as that time.
func (t *RenewalTracker) SetEpoch(now time.Duration, epoch uint64) {
	if t.renewals != nil && epoch == t.epoch {
		return
	}
	t.epoch, t.epochSeenAt, t.renewals = epoch, now, map[string]renewalRecord{}
}

// RecordRenewal records that a holder's request for a lease was accepted, and returns a lower bound on
// the time since the previous holder's last accepted request. Rejected requests must not be recorded.
func (t *RenewalTracker) RecordRenewal(now time.Duration, epoch uint64, lease, holder string) (predecessorIdle time.Duration) {
	t.SetEpoch(now, epoch)
	r, known := t.renewals[lease]
	switch {
	case !known:
		r = renewalRecord{holder: holder, predecessorRenewedAt: t.epochSeenAt}
	case r.holder != holder:
		r = renewalRecord{holder: holder, predecessorRenewedAt: r.renewedAt}
	}
	r.renewedAt = now
	t.renewals[lease] = r
	return now - r.predecessorRenewedAt
}
