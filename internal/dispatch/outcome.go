package dispatch

import "time"

// Outcome is what became of a request at a backend.
type Outcome int

// The outcomes.
const (
	Done      Outcome = iota // it answered, whatever it said
	Refused                  // it said that it did not run the request
	Misplaced                // another instance or version is there
	Failed                   // it could not be reached, or broke off
	Cancelled                // the client or its time ended it
)

// Began records the first byte of an answer: its prompt has been read, and the fetch from its holder is over.
func (t *Table) Began(now time.Duration, c *Choice, service string) {
	if c.begun || c.ended {
		return
	}
	c.begun = true
	c.Backend.pending--
	c.Backend.progress = now
	c.unbook(Load{Waiting: c.load.Waiting})
	t.release(c)
	ms := float64(now-c.sent) / float64(time.Millisecond)
	if c.Version == 0 {
		c.Backend.latency = mean(c.Backend.latency, ms)
	} else if c.Fetch != "" {
		t.learnedOf(service).compareFetch(c.Wait+c.Read+c.move, ms)
	} else {
		t.learnedOf(service).compare(c.Wait+c.Read, ms)
		if c.quiet {
			t.learnedOf(service).take(c.kept, c.prompt, ms)
		}
	}
	if t.observe != nil {
		t.observe(c, ms)
	}
	c.Backend.failures, c.Backend.avoid, c.Backend.trial = 0, 0, false
}

// unbook subtracts a part of a choice's load from its backend.
func (c *Choice) unbook(l Load) {
	c.Backend.own = c.Backend.own.Minus(l)
	c.load = c.load.Minus(l)
}

func (t *Table) release(c *Choice) {
	if c.holder != nil {
		c.holder.fetching--
		c.holder = nil
	}
}

// End records the outcome of a choice. Only the first call has an effect.
func (t *Table) End(now time.Duration, c *Choice, outcome Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	b := c.Backend
	t.release(c)
	if !c.begun {
		b.pending--
	}
	c.unbook(c.load)
	switch outcome {
	case Failed:
		b.failures++
		b.avoid, b.trial = now+avoidance(b.failures), false
	case Misplaced:
		b.avoid, b.trial = now+t.settings.CloudLag, false
	case Refused:
		b.avoid, b.trial = max(b.avoid, now+100*time.Millisecond), false
	case Cancelled:
		b.trial = false
	}
}
