// Package distribute has what controllers, agents and proxies tell each other: versioned snapshots of what is in force, and the
// acknowledgements of them. A caller says what it has with each call, and is answered when there is something newer.
package distribute

import (
	"nettlefold/internal/replicated"
	"nettlefold/internal/superseded"
)

// Kinds of calls.
const (
	KindCore   = "core"   // one-way, between controllers: chain.Message
	KindAgents = "agents" // one-way, between controllers: AgentTable
	KindTally  = "tally"  // one-way, between controllers: tally.Message
	KindWatch  = "watch"  // agent to controller: WatchRequest, WatchReply
	KindSubmit = "submit" // agent or controller to the head: SubmitRequest, SubmitReply
	KindRead   = "read"   // controller to the tail: ReadRequest, ReadReply
)

// Agent is one life of a mixer's agent.
type Agent struct {
	ID   string `cbor:"1,keyasint"` // the machine's name and the life's number
	Addr string `cbor:"2,keyasint"` // of its messages to others
	Zone string `cbor:"3,keyasint"`
}

// AgentTable is the agents that have a session with a controller.
type AgentTable struct {
	Controller string  `cbor:"1,keyasint"`
	Agents     []Agent `cbor:"2,keyasint"`
}

// WatchRequest says who asks and what it has, which acknowledges it.
type WatchRequest struct {
	Agent         Agent    `cbor:"1,keyasint"`
	AppliedSeq    uint64   `cbor:"2,keyasint"` // applied by the proxy beside it
	ConfigSeq     uint64   `cbor:"3,keyasint"`
	MembersDigest uint64   `cbor:"4,keyasint"`           // digest of the members it knows
	Suspects      []string `cbor:"5,keyasint,omitempty"` // agents that it watches and does not reach
	ReceivedSeq   uint64   `cbor:"6,keyasint"`           // the newest snapshot in hand, applied or not
	Epoch         uint64   `cbor:"7,keyasint"`           // of the controllers that it knows
}

// WatchReply brings what is newer.
type WatchReply struct {
	HasQuorum   bool       `cbor:"1,keyasint"` // the controller is in touch with the core's majority
	Snapshot    *Snapshot  `cbor:"2,keyasint,omitempty"`
	Epoch       uint64     `cbor:"6,keyasint"`           // of the core's view
	Controllers []string   `cbor:"3,keyasint,omitempty"` // if the receiver knows those of another epoch
	Members     *MemberSet `cbor:"4,keyasint,omitempty"`
	// Change is sent in place of Members to a receiver whose set is known here.
	MembersDelta *MemberDelta `cbor:"10,keyasint,omitempty"`
	// Ages has, for each model, how long ago its versions were named, as the reply was written.
	VersionAges map[string][]superseded.Age `cbor:"8,keyasint,omitempty"`
	// HeldMS is for how long the call was held at least before the reply was written, in milliseconds: by it the ages are dated.
	LongPollMS int64 `cbor:"9,keyasint,omitempty"`
}

// Snapshot is the committed state as the data plane needs it. Config is absent where the receiver has that of ConfigSeq.
type Snapshot struct {
	Seq       uint64                             `cbor:"1,keyasint"`
	ConfigSeq uint64                             `cbor:"2,keyasint"`
	Config    []byte                             `cbor:"3,keyasint,omitempty"`
	Evacuated map[string]uint64                  `cbor:"4,keyasint,omitempty"`
	Restored  map[string]uint64                  `cbor:"5,keyasint,omitempty"`
	Models    map[string]replicated.ModelVersion `cbor:"6,keyasint,omitempty"`
	Leases    map[string]replicated.LeaseRecord  `cbor:"7,keyasint,omitempty"`
}

// SnapshotOf makes the snapshot for a receiver that has the configuration of configSeq.
func NewSnapshot(s *replicated.State, configSeq uint64) *Snapshot {
	out := &Snapshot{
		Seq: s.Seq, ConfigSeq: s.ConfigSeq,
		Evacuated: s.Evacuated, Restored: s.Restored, Models: s.Models, Leases: s.Leases,
	}
	if s.ConfigSeq != configSeq {
		out.Config = s.Config
	}
	return out
}

// Outcomes of a submitted operation.
const (
	OutcomeCommitted = 0 // committed, now or before
	OutcomeConflict  = 1
	OutcomeInvalid   = 2
	OutcomeUnknown   = 3 // it may have been taken or not
	OutcomeOutdated  = 4 // it was not taken: a newer order came before it
)

// SubmitRequest hands an operation to the head.
type SubmitRequest struct {
	Operation replicated.Operation `cbor:"1,keyasint"`
	Forwarded bool                 `cbor:"2,keyasint"` // by a controller: it is not to be forwarded again
}

// SubmitReply is what became of it.
type SubmitReply struct {
	Outcome      int    `cbor:"1,keyasint"`
	Seq          uint64 `cbor:"2,keyasint"`
	Reason       string `cbor:"3,keyasint"`
	FencingToken uint64 `cbor:"4,keyasint,omitempty"` // of a duty that was taken over
	// QuietMS is how long ago the duty's former holder asked for its last confirmation, at the least; 0 if that is not known.
	PredecessorIdleMS int64 `cbor:"5,keyasint,omitempty"`
}

// ReadRequest asks the tail for the newest state, or for one zone's part of it alone.
type ReadRequest struct {
	Zone string `cbor:"1,keyasint,omitempty"`
}

// ReadReply is the newest configuration, and the duties.
type ReadReply struct {
	Seq    uint64                            `cbor:"1,keyasint"`
	Config []byte                            `cbor:"2,keyasint"`
	Leases map[string]replicated.LeaseRecord `cbor:"3,keyasint,omitempty"`
	// ZoneSeq is the number of the newest order for the zone that was asked for.
	ZoneSeq uint64 `cbor:"4,keyasint,omitempty"`
}
