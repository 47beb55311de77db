// Package feed defines the messages from an agent to the proxy on the same machine, over loopback, and the
// gossip between agents: the platform's list of backends, changes of their prefix caches, their loads and
// their rollout phases.
package feed

import (
	"github.com/cespare/xxhash/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/superseded"
)

// Kinds of calls. The values are sent and keep their names for compatibility.
const (
	KindFeed         = "feed"  // proxy to agent: Request, Reply
	KindLoads        = "loads" // one-way, proxy to agent: dispatch.Load by backend ID
	KindGossip       = "news"  // one-way, agent to agent: GossipMessage
	KindBackendIndex = "whole" // agent to agent: BackendIndexRequest, kvindex.Batch
	KindPing         = "ping"  // agent to agent
	KindList         = "list"  // agent to agent: ListRequest, ListUpdate
)

// MaxChangesPerReply bounds the prefix cache changes of one reply. A single batch may exceed it.
const MaxChangesPerReply = 4000

// Request is a long poll of a proxy for updates, with the versions that it has.
type Request struct {
	AgentID       string `cbor:"1,keyasint"` // agent incarnation that the revisions and counts below belong to
	SnapshotSeq   uint64 `cbor:"2,keyasint"` // of the snapshot in force
	ListRevision  uint64 `cbor:"3,keyasint"`
	BatchCount    uint64 `cbor:"4,keyasint"` // prefix cache batches applied, as a position in the agent's sequence
	MembersDigest uint64 `cbor:"5,keyasint"`
	ConfigSeq     uint64 `cbor:"7,keyasint"` // of the configuration in force
	LoadsRevision uint64 `cbor:"8,keyasint"` // of the other mixers' loads
	// ResyncBackends lists the backends that need a full prefix cache snapshot, because the proxy started
	// or missed a change.
	ResyncBackends []string `cbor:"9,keyasint,omitempty"`
}

// Reply has the updates that the proxy lacks. Prefix cache changes may be many and aren't urgent: they are
// sent in parts of at most MaxChangesPerReply, and never together with a snapshot of the control state, which is
// urgent.
type Reply struct {
	AgentID  string               `cbor:"1,keyasint"`
	Snapshot *distribute.Snapshot `cbor:"2,keyasint,omitempty"`
	// VersionAges has, for each model, the ages of its announced versions, and LongPollMS a lower bound on
	// the time between the receipt of the request and the writing of the ages, in milliseconds.
	VersionAges   map[string][]superseded.Age `cbor:"12,keyasint,omitempty"`
	LongPollMS    int64                       `cbor:"13,keyasint,omitempty"`
	List          *ProxyListUpdate            `cbor:"4,keyasint,omitempty"`
	Reset         bool                        `cbor:"5,keyasint,omitempty"`  // discard all earlier batches, of any backend
	KnownBackends []string                    `cbor:"11,keyasint,omitempty"` // with Reset, the backends to resync
	Batches       []*kvindex.Batch            `cbor:"6,keyasint,omitempty"`
	BatchCount    uint64                      `cbor:"7,keyasint"` // position in the agent's sequence after Batches
	Members       *distribute.MemberSet       `cbor:"8,keyasint,omitempty"`
	Loads         map[string]dispatch.Load    `cbor:"9,keyasint,omitempty"` // of all other mixers together
	LoadsRevision uint64                      `cbor:"10,keyasint"`
}

// ProxyListUpdate updates a proxy's copy of the platform's list of backends and their rollout phases. It has all
// backends, or those that changed since a base revision. Phases has the phases of Backends. Agents send each
// other a ListUpdate instead, which refers to its base by digest.
type ProxyListUpdate struct {
	Revision     uint64                 `cbor:"1,keyasint"`
	BaseRevision uint64                 `cbor:"4,keyasint,omitempty"` // 0 if Backends has all of them
	Backends     []dispatch.BackendInfo `cbor:"2,keyasint"`
	Removed      []string               `cbor:"5,keyasint,omitempty"` // backend IDs
	Phases       map[string]string      `cbor:"3,keyasint,omitempty"` // by backend ID
}

// GossipMessage has updates that agents exchange. Each agent sends to the hub of its zone; hubs send to each
// other and to the agents of their zones. Each hop forwards what has accumulated since its last message.
type GossipMessage struct {
	From    string           `cbor:"1,keyasint"` // address of the sending agent
	Hop     int              `cbor:"2,keyasint"`
	Loads   *Loads           `cbor:"3,keyasint,omitempty"`
	List    *ListUpdate      `cbor:"4,keyasint,omitempty"`
	Batches []*kvindex.Batch `cbor:"5,keyasint,omitempty"`
	Phases  map[string]Phase `cbor:"6,keyasint,omitempty"`
	RelayTo []string         `cbor:"7,keyasint,omitempty"` // addresses that the receiver forwards the message to
}

// Hops of gossip.
const (
	HopToHub    = 1 // from an agent to the hub of its zone
	HopHubToHub = 2 // from a hub to the hubs of the other zones
	HopFromHub  = 3 // from a hub to the agents of its zone
)

// BackendKey identifies a backend in updates of loads, which are sent many times a second: a digest of its
// ID. If two backends had the same key, each would get the load of both.
type BackendKey uint32

// BackendKeyOf returns the key of a backend ID.
func BackendKeyOf(backend string) BackendKey { return BackendKey(xxhash.Sum64String(backend)) }

// Loads has the loads of backends: from an agent those of its own mixer, between hubs those of a zone, and
// from a hub those of all mixers together.
type Loads struct {
	Changed map[BackendKey]dispatch.Load `cbor:"1,keyasint,omitempty"` // all of them if Full is set
	Full    bool                         `cbor:"2,keyasint,omitempty"`
}

// Phase is the rollout phase of a backend, published by the agent that runs the rollout.
type Phase struct {
	Name    string `cbor:"1,keyasint"` // one of the phase names of package dispatch
	Model   string `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint,omitempty"` // that the backend has now, 0 if unknown
	// FencingToken is the token of the publisher's lease, and Seq counts what was published under it.
	FencingToken uint64 `cbor:"4,keyasint,omitempty"`
	Seq          uint64 `cbor:"5,keyasint,omitempty"`
}

// Before reports whether p was published before other: by an earlier holder of the lease, or earlier by the
// same one.
func (p Phase) Before(other Phase) bool {
	if p.FencingToken != other.FencingToken {
		return p.FencingToken < other.FencingToken
	}
	return p.Seq < other.Seq
}

// BackendIndexRequest requests a snapshot of the prefix cache of a backend.
type BackendIndexRequest struct {
	Backend string `cbor:"1,keyasint"`
}
