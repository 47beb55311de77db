package dispatch

import "time"

// Outcome is the result of a request at a backend.
type Outcome int

// The outcomes.
const (
	Completed     Outcome = iota // the backend responded, with any status
	Refused                      // the backend did not run the request and said so
	WrongInstance                // the address belongs to another backend now, or the backend has another version of the weights
	Failed                       // the backend was unreachable or broke off its response
	Violated                     // the backend sent bytes that are no response, or more of them than a response may begin with
	Cancelled                    // the client or the deadline ended the request
)

// refusalBackoff is how long a backend is avoided after it refused a request.
const refusalBackoff = 100 * time.Millisecond

// RecordFirstByte records the first byte of a response: the prompt is prefilled, and the fetch from the holder
// is complete.
func (t *Table) RecordFirstByte(now time.Duration, c *Choice, service string) {
	if c.gotFirstByte || c.ended {
		return
	}
	c.gotFirstByte = true
	c.Backend.awaitingFirstByte--
	c.Backend.lastProgress = now
	c.subtractLoad(Load{QueuedPrefillMS: c.load.QueuedPrefillMS})
	t.releaseHolder(c)
	ms := float64(now-c.sentAt) / float64(time.Millisecond)
	if c.Version == 0 {
		c.Backend.latencyMS = movingMean(c.Backend.latencyMS, ms)
	} else if c.FetchAddr != "" {
		t.estimatesOf(service).observeFetchDelay(c.WaitMS+c.PrefillMS+c.transferMS, ms)
	} else {
		t.estimatesOf(service).observeDelay(c.WaitMS+c.PrefillMS, ms)
		if c.nearlyIdle {
			t.estimatesOf(service).observeLatency(c.prefixTokens, c.promptTokens, ms)
		}
	}
	if t.onFirstByte != nil {
		t.onFirstByte(c, ms)
	}
	c.Backend.consecutiveFailures, c.Backend.avoidUntil, c.Backend.probing = 0, 0, false
	c.Backend.consecutiveViolations = 0
}

// subtractLoad subtracts a part of a choice's load from the choice and its backend.
func (c *Choice) subtractLoad(l Load) {
	c.Backend.ownLoad = c.Backend.ownLoad.Sub(l)
	c.load = c.load.Sub(l)
}

func (t *Table) releaseHolder(c *Choice) {
	if c.holder != nil {
		c.holder.pendingFetches--
		c.holder = nil
	}
}

// End records the outcome of a choice. Only the first call for a choice has an effect.
func (t *Table) End(now time.Duration, c *Choice, outcome Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	b := c.Backend
	t.releaseHolder(c)
	if !c.gotFirstByte {
		b.awaitingFirstByte--
	}
	c.subtractLoad(c.load)
	switch outcome {
	case Failed, Violated:
		b.consecutiveFailures++
		if outcome == Violated {
			b.consecutiveViolations++
		}
		b.avoidUntil, b.probing = now+failureBackoff(b.consecutiveFailures), false
	case WrongInstance:
		b.avoidUntil, b.probing = now+t.settings.DiscoveryLag, false
	case Refused:
		b.avoidUntil, b.probing = max(b.avoidUntil, now+refusalBackoff), false
	case Cancelled:
		b.probing = false
	}
}
