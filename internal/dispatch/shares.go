package dispatch

import (
	"math"
	"slices"
	"time"

	"nettlefold/internal/rendezvous"
)

// The retry budget and what a cold backend bears are sums over all mixers, also over lives of a process that ended. Each mixer keeps
// to a share that it can tell without asking, and what is given out in all stays below the sum by the parts named in table.go.

// coldShareOf tells how often this mixer may send to a cold backend, 0 if it may not. It is found when it is asked for, which it is of a
// few: it takes a weight for each mixer.
func (t *Table) coldInterval(b *Backend) time.Duration {
	if b.coldIntervalRevision != t.sharesRevision {
		b.coldInterval, b.coldIntervalRevision = t.computeColdInterval(b), t.sharesRevision
	}
	return b.coldInterval
}

// coldShare divides the allowance of a second among so many mixers, picked by rendezvous hashing, that each may send one.
func (t *Table) computeColdInterval(b *Backend) time.Duration {
	service := t.service(b.Service)
	if service == nil || len(t.members.All) == 0 {
		return 0
	}
	allowed := service.ColdPerS*t.settings.ColdOvershoot + t.settings.ColdSlack
	users := int(math.Floor(allowed * coldAllowanceShare))
	if users < 1 {
		return 0
	}
	if users < len(t.members.All) && !slices.Contains(rendezvous.Top("cold/"+b.ID, t.members.All, users), t.members.Self) {
		return 0
	}
	// Beyond one a second each, the steady rate is kept too: all users together send no more than the backend handles.
	each := float64(min(users, len(t.members.All))) / max(service.ColdPerS, 0.1)
	return max(time.Second, time.Duration(each*float64(time.Second)))
}

// coldAllows tells whether a cold backend may get a request now.
func (t *Table) coldAdmits(now time.Duration, b *Backend) bool {
	if now >= b.coldUntil {
		return true
	}
	return now >= b.nextColdSend && now-t.started >= coldStartupWaitMS*time.Millisecond && t.coldInterval(b) > 0
}

// budget counts a service's requests and repeats in the running window, by its tenths.
type retryBudget struct {
	slots      [retryBudgetSlots]struct{ requests, repeats int }
	newestSlot int64 // number of the newest slot
}

const retryBudgetSlots = 10

func (b *retryBudget) advance(now, window time.Duration) {
	at := int64(now / (window / retryBudgetSlots))
	for i := max(b.newestSlot+1, at-retryBudgetSlots+1); i <= at; i++ {
		b.slots[i%retryBudgetSlots] = struct{ requests, repeats int }{}
	}
	b.newestSlot = max(b.newestSlot, at)
}

func (t *Table) retryBudget(now time.Duration, service string) *retryBudget {
	b := t.retryBudgets[service]
	if b == nil {
		b = &retryBudget{newestSlot: int64(now / (t.settings.RetryBudgetWindow / retryBudgetSlots))}
		t.retryBudgets[service] = b
	}
	b.advance(now, t.settings.RetryBudgetWindow)
	return b
}

// Arrived books a client's request for a service.
func (t *Table) RecordRequest(now time.Duration, service string) {
	b := t.retryBudget(now, service)
	b.slots[b.newestSlot%retryBudgetSlots].requests++
}

// TakeRepeat books one sending beyond a request's first, if this mixer's share of the budget has room.
func (t *Table) TakeRetry(now time.Duration, service string) bool {
	if !t.RetryAllowed(now, service) {
		return false
	}
	b := t.retryBudget(now, service)
	b.slots[b.newestSlot%retryBudgetSlots].repeats++
	return true
}

// RepeatFits tells whether this mixer's share of the budget has room for one more sending.
func (t *Table) RetryAllowed(now time.Duration, service string) bool {
	b := t.retryBudget(now, service)
	requests, repeats := 0, 0
	for _, s := range b.slots {
		requests += s.requests
		repeats += s.repeats
	}
	slack := t.settings.RetryBudgetSlack * retrySlackShare / float64(max(1, len(t.members.All)))
	return float64(repeats+1) <= slack+retryRatioShare*t.settings.RetryBudgetRatio*float64(requests)
}
