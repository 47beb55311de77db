// Package tally keeps named totals as a grow-only set of adds that the controllers merge: a delta-state
// CRDT. Each add counts once by its id, no matter at which machines it arrives. The package is a pure
// state machine: its inputs are calls, messages, completed writes and the time, its outputs are messages,
// batches to write and results. docs/tallies.md describes the design.
package tally

import "fmt"

// Origin identifies one disk's sequence of adds. A disk that is empty, whose log had a torn end, or
// that has failed gets a new one, so that no sequence number is used twice.
type Origin uint64

// Dot identifies one accepted add: the origin that accepted it and its sequence number there, which
// starts at 1 and has no gaps.
type Dot struct {
	Origin   Origin
	Sequence uint64
}

// Add is a caller's request to add an amount to a tally. It counts once by its id.
type Add struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Tally  string
	Amount int64
}

// precedes orders adds that have the same id but another tally or amount. The least one counts, so that
// all replicas agree.
func (a *Add) precedes(b *Add) bool {
	if a.Amount != b.Amount {
		return a.Amount < b.Amount
	}
	return a.Tally < b.Tally
}

// Run is a range of adds of one origin with consecutive sequence numbers, starting at First.
type Run struct {
	Origin Origin `cbor:"1,keyasint"`
	First  uint64 `cbor:"2,keyasint"`
	Adds   []Add  `cbor:"3,keyasint"`
}

// last returns the sequence number of the run's last add.
func (r *Run) last() uint64 { return r.First + uint64(len(r.Adds)) - 1 }

// VersionVector maps each origin to the highest sequence number known of it.
type VersionVector map[Origin]uint64

// Covers reports whether v includes all adds that other includes.
func (v VersionVector) Covers(other VersionVector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}

// Message is a message between controllers.
type Message struct {
	From        string            `cbor:"1,keyasint"`           // address of the sender
	Incarnation uint64            `cbor:"2,keyasint"`           // random, new at each start of the sender
	SentAt      int64             `cbor:"3,keyasint"`           // nanoseconds of the sender's clock
	Echo        int64             `cbor:"4,keyasint,omitempty"` // SentAt of the newest message received from the destination
	Durable     map[Origin]uint64 `cbor:"5,keyasint,omitempty"` // highest sequence numbers on the sender's disk
	FullVector  bool              `cbor:"6,keyasint,omitempty"` // Durable has all origins
	Runs        []Run             `cbor:"7,keyasint,omitempty"`
	Peers       []string          `cbor:"8,keyasint,omitempty"`  // addresses that the sender recently received messages from
	Ready       bool              `cbor:"9,keyasint,omitempty"`  // the sender answers reads
	DiskFailed  bool              `cbor:"10,keyasint,omitempty"` // the sender's disk accepts no more adds
	DiskSlow    bool              `cbor:"11,keyasint,omitempty"` // the sender's disk is slow
	Incomplete  bool              `cbor:"12,keyasint,omitempty"` // the sender's disk has lost adds and hasn't caught up yet
	Zone        string            `cbor:"13,keyasint,omitempty"` // of the sender; only in messages with Peers, and may be unknown
}

// Envelope is a message with its destination address.
type Envelope struct {
	To      string
	Message *Message
}

// Batch is the unit of writing: it becomes durable as a whole or not at all.
type Batch struct {
	NewOrigin Origin `cbor:"1,keyasint,omitempty"` // origin of this disk's adds from here on; 0: unchanged
	Runs      []Run  `cbor:"2,keyasint,omitempty"`
	Complete  bool   `cbor:"3,keyasint,omitempty"` // the disk has lost no adds, or has caught up with the peers since
}

// Outcome is the outcome of a call to Add.
type Outcome int

// Outcomes of a call.
const (
	Acknowledged Outcome = iota // the add is on enough disks
	Conflicting                 // the id is known with another tally or amount
	Refused                     // the add was not stored and won't count
	Unclear                     // it is unknown whether the add counts
)

// Result is the outcome of the call that Token identifies. Reason is empty if it was acknowledged.
type Result struct {
	Token   uint64
	Outcome Outcome
	Reason  string
}

// Output is what the caller must do after an event: start the write first, then send the messages,
// deliver the results and start the connection attempts in any order.
type Output struct {
	Write    *Batch // completed by WriteSucceeded or WriteFailed; one at a time, nil: none
	Messages []Envelope
	Results  []Result
	Attempts []string // addresses to connect to; each is completed by AttemptFinished
}

// NotReadyError is returned for reads before the replica has caught up with its reachable peers.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("tallies: not ready to be read: %s", e.Reason)
}
