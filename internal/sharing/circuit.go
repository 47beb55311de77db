package sharing

// Circuit decides when the store is asked. It opens after answers that came late or not at all, and then one try at a
// time goes through, after waits that grow and are jittered, so that a site's mixers do not come back to a store together.
// It guards the store against being asked by all while it cannot answer, and this mixer against waiting on it in vain.
type Circuit struct {
	draw     func() float64 // in [0, 1)
	failed   int            // in a row
	wait, at int64          // open: the wait, and when the next try may go
	trips    uint64
}

const (
	// Late is how long an answer of the store may take, ns. What comes later is as if it had not come.
	Late = 200 * ms

	tripAfter = 3         // failures in a row that open the circuit
	firstWait = 500 * ms  // ns, before the first try then; doubled each time
	lastWait  = 8000 * ms // ns, the longest: how long a store that is back may be missed, with jitter half as much again
)

// NewCircuit makes a closed circuit. Draw gives random numbers in [0, 1).
func NewCircuit(draw func() float64) *Circuit { return &Circuit{draw: draw} }

// May tells whether the store may be asked now.
func (c *Circuit) May(now int64) bool { return c.failed < tripAfter || now >= c.at }

// Open tells whether the circuit is open.
func (c *Circuit) Open() bool { return c.failed >= tripAfter }

// Trips gives how often it has opened.
func (c *Circuit) Trips() uint64 { return c.trips }

// Done is told how a try ended and how long it took, in ns.
func (c *Circuit) Done(now, took int64, ok bool) {
	if ok && took <= Late {
		c.failed, c.wait = 0, 0
		return
	}
	if c.failed++; c.failed < tripAfter {
		return
	}
	if c.failed == tripAfter {
		c.trips++
	}
	c.wait = min(max(2*c.wait, firstWait), lastWait)
	c.at = now + c.wait/2 + int64(c.draw()*float64(c.wait))
}
