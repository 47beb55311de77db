package leases

import "time"

// Register is what the head of a chain remembers of the confirmations that holders asked for, so that a successor need not wait anew for
// what has passed already. It is in memory and of one epoch: no other head confirms in an epoch, and before the head first looked at the
// epoch anything may have been confirmed elsewhere.
type RenewalTracker struct {
	epoch       uint64
	epochSeenAt time.Duration
	renewals    map[string]renewalRecord
}

// holding is who asked last for a duty, when, and when whoever held it before did.
type renewalRecord struct {
	holder               string
	renewedAt            time.Duration
	predecessorRenewedAt time.Duration
}

// InEpoch takes the epoch that is in force at a time. Of another one nothing is known from before that time.
func (r *RenewalTracker) SetEpoch(now time.Duration, epoch uint64) {
	if r.renewals != nil && epoch == r.epoch {
		return
	}
	r.epoch, r.epochSeenAt, r.renewals = epoch, now, map[string]renewalRecord{}
}

// Asked notes that a holder's claim to a duty was accepted at a time, in an epoch, and gives how long ago the former holder's last one was
// at the least. Claims that are refused are not to be noted.
func (r *RenewalTracker) RecordRenewal(now time.Duration, epoch uint64, duty, holder string) (quiet time.Duration) {
	r.SetEpoch(now, epoch)
	h, known := r.renewals[duty]
	switch {
	case !known:
		h = renewalRecord{holder: holder, predecessorRenewedAt: r.epochSeenAt}
	case h.holder != holder:
		h = renewalRecord{holder: holder, predecessorRenewedAt: h.renewedAt}
	}
	h.renewedAt = now
	r.renewals[duty] = h
	return now - h.predecessorRenewedAt
}
