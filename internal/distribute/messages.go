// Package distribute defines the messages between controllers and from agents to controllers: versioned
// snapshots of the committed state, acknowledgements of them, and operations. A caller sends the versions
// that it has with each call, and gets a reply as soon as there is something newer.
package distribute

import (
	"nettlefold/internal/replicated"
	"nettlefold/internal/superseded"
)

// Kinds of calls. The core controllers replicate the committed state (package chain) and the named totals
// (package tally).
const (
	KindCore   = "core"   // one-way, between controllers: chain.Message
	KindAgents = "agents" // one-way, between controllers: AgentTable
	KindTally  = "tally"  // one-way, between controllers: tally.Message
	KindWatch  = "watch"  // agent to controller: WatchRequest, WatchReply
	KindSubmit = "submit" // agent or controller to the head: SubmitRequest, SubmitReply
	KindRead   = "read"   // controller to the tail: ReadRequest, ReadReply
)

// Agent is one incarnation of a mixer's agent: a restarted agent has another ID.
type Agent struct {
	ID   string `cbor:"1,keyasint"` // machine name and incarnation number
	Addr string `cbor:"2,keyasint"` // for calls between agents
	Zone string `cbor:"3,keyasint"`
}

// AgentTable has the agents that have a session with a controller.
type AgentTable struct {
	Controller string  `cbor:"1,keyasint"`
	Agents     []Agent `cbor:"2,keyasint"`
}

// WatchRequest is a long poll for updates. The versions in it acknowledge receipt.
type WatchRequest struct {
	Agent         Agent    `cbor:"1,keyasint"`
	AppliedSeq    uint64   `cbor:"2,keyasint"` // snapshot applied by the agent's proxy
	ConfigSeq     uint64   `cbor:"3,keyasint"`
	MembersDigest uint64   `cbor:"4,keyasint"`           // of the member set that the agent has
	Suspects      []string `cbor:"5,keyasint,omitempty"` // agents that don't answer its probes
	ReceivedSeq   uint64   `cbor:"6,keyasint"`           // newest snapshot received, whether applied or not
	Epoch         uint64   `cbor:"7,keyasint"`           // of the list of controllers that the agent has
}

// WatchReply has the updates that the agent lacks.
type WatchReply struct {
	HasQuorum   bool       `cbor:"1,keyasint"` // the controller is in contact with a majority of the core
	Snapshot    *Snapshot  `cbor:"2,keyasint,omitempty"`
	Epoch       uint64     `cbor:"6,keyasint"`           // of the list of controllers
	Controllers []string   `cbor:"3,keyasint,omitempty"` // set only if the agent has another epoch
	Members     *MemberSet `cbor:"4,keyasint,omitempty"`
	// MembersDelta replaces Members if the controller has the delta from the agent's member set.
	MembersDelta *MemberDelta `cbor:"10,keyasint,omitempty"`
	// VersionAges has, for each model, the ages of its announced versions when the reply was written.
	VersionAges map[string][]superseded.Age `cbor:"8,keyasint,omitempty"`
	// LongPollMS is a lower bound on the time between the receipt of the request and the writing of the
	// reply, in milliseconds. The receiver uses it to convert the ages to times.
	LongPollMS int64 `cbor:"9,keyasint,omitempty"`
}

// Snapshot is the part of the committed state that the data plane needs. Config is empty if the receiver has
// the configuration of ConfigSeq.
type Snapshot struct {
	Seq       uint64                             `cbor:"1,keyasint"`
	ConfigSeq uint64                             `cbor:"2,keyasint"`
	Config    []byte                             `cbor:"3,keyasint,omitempty"`
	Evacuated map[string]uint64                  `cbor:"4,keyasint,omitempty"`
	Restored  map[string]uint64                  `cbor:"5,keyasint,omitempty"`
	Models    map[string]replicated.ModelVersion `cbor:"6,keyasint,omitempty"`
	Leases    map[string]replicated.LeaseRecord  `cbor:"7,keyasint,omitempty"`
	// SharingSince is Since of the state's PromptSharing. It is nil if a controller or an agent of a build that
	// doesn't know it passed the snapshot on.
	SharingSince *int64 `cbor:"8,keyasint,omitempty"`
}

// NewSnapshot returns the snapshot for a receiver that has the configuration of configSeq.
func NewSnapshot(s *replicated.State, configSeq uint64) *Snapshot {
	snapshot := &Snapshot{
		Seq: s.Seq, ConfigSeq: s.ConfigSeq,
		Evacuated: s.Evacuated, Restored: s.Restored, Models: s.Models, Leases: s.Leases,
		SharingSince: &s.PromptSharing.Since,
	}
	if s.ConfigSeq != configSeq {
		snapshot.Config = s.Config
	}
	return snapshot
}

// Outcomes of a submitted operation. The values differ from those of replicated.Verdict.
const (
	OutcomeCommitted = 0 // committed, by this request or an earlier one
	OutcomeConflict  = 1 // not committed: it is based on another version or fencing token
	OutcomeInvalid   = 2 // not committed: it can never be applied
	OutcomeUnknown   = 3 // it may or may not be committed
	OutcomeOutdated  = 4 // not committed: a newer operation came first
)

// SubmitRequest submits an operation to the head of the chain.
type SubmitRequest struct {
	Operation replicated.Operation `cbor:"1,keyasint"`
	Forwarded bool                 `cbor:"2,keyasint"` // by a controller; it must not be forwarded again
}

// SubmitReply is the outcome of a submitted operation.
type SubmitReply struct {
	Outcome      int    `cbor:"1,keyasint"`
	Seq          uint64 `cbor:"2,keyasint"`
	Reason       string `cbor:"3,keyasint"`
	FencingToken uint64 `cbor:"4,keyasint,omitempty"` // of the lease, if the operation acquires one
	// PredecessorIdleMS is a lower bound on the time since the previous holder of the lease requested its
	// last renewal, in milliseconds. It is 0 if unknown.
	PredecessorIdleMS int64 `cbor:"5,keyasint,omitempty"`
}

// ReadRequest reads the newest state from the tail of the chain, or only ZoneSeq of the reply if Zone is set.
type ReadRequest struct {
	Zone string `cbor:"1,keyasint,omitempty"`
}

// ReadReply has the newest configuration and the leases, or ZoneSeq if the request names a zone.
type ReadReply struct {
	Seq    uint64                            `cbor:"1,keyasint"`
	Config []byte                            `cbor:"2,keyasint"`
	Leases map[string]replicated.LeaseRecord `cbor:"3,keyasint,omitempty"`
	// ZoneSeq is the sequence number of the newest operation on the requested zone.
	ZoneSeq uint64 `cbor:"4,keyasint,omitempty"`
}
