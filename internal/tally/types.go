// Package tally keeps named totals as a grow-only set of adds that the controllers merge, a state-based CRDT with deltas. Each add counts
// once by its id, at whichever machine it arrives. The package is a pure state machine: calls, messages and finished writes go in, with
// the time; messages, batches to write and answers come out. docs/tallies.md has the design.
package tally

import "fmt"

// Origin names one disk's sequence of adds. A disk that is empty, was cut off or has failed gets another one.
type Origin uint64

// Dot names an add: the disk that took it first and its number there, from 1 on without gaps.
type Dot struct {
	Origin   Origin
	Sequence uint64
}

// Add is a caller's add: counted once by its id.
type Add struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tally  string
	Amount int64
}

// before orders adds of one id that differ: the least one counts, at all machines.
func (a *Add) precedes(b *Add) bool {
	if a.Amount != b.Amount {
		return a.Amount < b.Amount
	}
	return a.Tally < b.Tally
}

// Run is adds of one origin with successive numbers.
type Run struct {
	Origin Origin `cbor:"1,keyasint"`
	First  uint64 `cbor:"2,keyasint"`
	Adds   []Add  `cbor:"3,keyasint"`
}

// last is the number of the run's last add.
func (r *Run) last() uint64 { return r.First + uint64(len(r.Adds)) - 1 }

// Vector is a version vector: the highest number held of each origin.
type VersionVector map[Origin]uint64

// Covers tells whether all that another vector names is held.
func (v VersionVector) Covers(other VersionVector) bool {
	for origin, number := range other {
		if v[origin] < number {
			return false
		}
	}
	return true
}

// Message is what controllers tell each other.
type Message struct {
	From        string            `cbor:"1,keyasint"`           // the sender's address
	Incarnation uint64            `cbor:"2,keyasint"`           // drawn at each start of the sender
	SentAt      int64             `cbor:"3,keyasint"`           // by the sender's own clock, nanoseconds
	Echo        int64             `cbor:"4,keyasint,omitempty"` // Sent of the newest message that came from the receiver
	Durable     map[Origin]uint64 `cbor:"5,keyasint,omitempty"` // on the sender's disk: all of it, or what changed
	FullVector  bool              `cbor:"6,keyasint,omitempty"` // Held is all
	Runs        []Run             `cbor:"7,keyasint,omitempty"`
	Peers       []string          `cbor:"8,keyasint,omitempty"`  // whom the sender heard lately
	Ready       bool              `cbor:"9,keyasint,omitempty"`  // the sender answers reads
	DiskFailed  bool              `cbor:"10,keyasint,omitempty"` // the sender's disk takes no more adds
	DiskSlow    bool              `cbor:"11,keyasint,omitempty"` // the sender's last write took long
}

// Envelope is a message to an address.
type Envelope struct {
	To      string
	Message *Message
}

// Batch is what one write makes durable, as a whole or not at all.
type Batch struct {
	NewOrigin Origin `cbor:"1,keyasint,omitempty"` // this disk's own from here on, 0: as before
	Runs      []Run  `cbor:"2,keyasint,omitempty"`
	Complete  bool   `cbor:"3,keyasint,omitempty"` // the disk misses nothing that was lost with an earlier one
}

// Outcome is what became of an add.
type Outcome int

// The outcomes.
const (
	Acknowledged Outcome = iota
	Conflicting          // the id is known with another tally or amount
	Refused              // nothing was done
	Unclear              // it may count or not
)

// Answer is the outcome of the call that came with a token.
type Result struct {
	Token   uint64
	Outcome Outcome
	Reason  string
}

// Output is what a step wants done: the write first, messages and answers in any order.
type Output struct {
	Write    *Batch // to be followed by Synced or Failed; there is one at a time
	Messages []Envelope
	Results  []Result
}

// NotReadyError refuses a read at a machine that has not learned yet what those in reach hold.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("tallies: not ready to be read: %s", e.Reason)
}
