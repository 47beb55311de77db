package leases

import "time"

// Register is what the head of a chain remembers of the confirmations that holders asked for, so that a successor need not wait anew for
// what has passed already. It is in memory and of one epoch: no other head confirms in an epoch, and before the head first looked at the
// epoch anything may have been confirmed elsewhere.
type Register struct {
	epoch   uint64
	since   time.Duration
	holders map[string]holding
}

// holding is who asked last for a duty, when, and when whoever held it before did.
type holding struct {
	holder       string
	asked        time.Duration
	formerLastly time.Duration
}

// InEpoch takes the epoch that is in force at a time. Of another one nothing is known from before that time.
func (r *Register) InEpoch(now time.Duration, epoch uint64) {
	if r.holders != nil && epoch == r.epoch {
		return
	}
	r.epoch, r.since, r.holders = epoch, now, map[string]holding{}
}

// Asked notes that a holder's claim to a duty was accepted at a time, in an epoch, and gives how long ago the former holder's last one was
// at the least. Claims that are refused are not to be noted.
func (r *Register) Asked(now time.Duration, epoch uint64, duty, holder string) (quiet time.Duration) {
	r.InEpoch(now, epoch)
	h, known := r.holders[duty]
	switch {
	case !known:
		h = holding{holder: holder, formerLastly: r.since}
	case h.holder != holder:
		h = holding{holder: holder, formerLastly: h.asked}
	}
	h.asked = now
	r.holders[duty] = h
	return now - h.formerLastly
}
