// Package feed has what an agent tells the proxy beside it over loopback, and what agents tell each other: the platform's list, news
// of kept prompts, loads and phases of backends.
package feed

import (
	"github.com/cespare/xxhash/v2"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/superseded"
)

// Kinds of calls.
const (
	KindFeed         = "feed"  // proxy to agent: Request, Reply
	KindLoads        = "loads" // one-way, proxy to agent: map of dispatch.Load
	KindGossip       = "news"  // one-way, agent to agent: News
	KindBackendIndex = "whole" // agent to agent: WholeRequest, kvindex.Batch
	KindPing         = "ping"  // agent to agent
	KindList         = "list"  // agent to agent: ListRequest, ReadList
)

// MostChanges bounds the changes of one reply, but for one batch that has more by itself.
const MaxChangesPerReply = 4000

// Request says what a proxy has and what it has at backends.
type Request struct {
	AgentID       string `cbor:"1,keyasint"` // life of the agent that the numbers below are of
	SnapshotSeq   uint64 `cbor:"2,keyasint"` // number of the snapshot in force
	ListRevision  uint64 `cbor:"3,keyasint"`
	BatchCount    uint64 `cbor:"4,keyasint"` // batches taken
	MembersDigest uint64 `cbor:"5,keyasint"`
	ConfigSeq     uint64 `cbor:"7,keyasint"` // number of the configuration in force
	LoadsRevision uint64 `cbor:"8,keyasint"` // number of the others' loads that it has
	// Want names backends of which it must be told all that is known, as it begins anew or missed a change.
	ResyncBackends []string `cbor:"9,keyasint,omitempty"`
}

// Reply brings what is newer. Changes of what backends keep may be many and can wait: they come in pieces of MostChanges at most, and not
// together with a snapshot.
type Reply struct {
	AgentID  string               `cbor:"1,keyasint"`
	Snapshot *distribute.Snapshot `cbor:"2,keyasint,omitempty"`
	// Ages has, for each model, how long ago its versions were named, and HeldMS for how long the call was held before they were written.
	VersionAges   map[string][]superseded.Age `cbor:"12,keyasint,omitempty"`
	LongPollMS    int64                       `cbor:"13,keyasint,omitempty"`
	List          *List                       `cbor:"4,keyasint,omitempty"`
	Reset         bool                        `cbor:"5,keyasint,omitempty"` // nothing that was told before of Known or other backends holds
	KnownBackends []string                    `cbor:"11,keyasint,omitempty"`
	Batches       []*kvindex.Batch            `cbor:"6,keyasint,omitempty"`
	BatchCount    uint64                      `cbor:"7,keyasint"`
	Members       *distribute.MemberSet       `cbor:"8,keyasint,omitempty"`
	Loads         map[string]dispatch.Load    `cbor:"9,keyasint,omitempty"` // of all other mixers together
	LoadsRevision uint64                      `cbor:"10,keyasint"`          // their number
}

// List is the backends as the platform's list has them, and what owners of orders add: all of them, or what changed since the list of a
// number. Phases has those of Backends.
type List struct {
	Revision     uint64                 `cbor:"1,keyasint"`
	BaseRevision uint64                 `cbor:"4,keyasint,omitempty"` // 0 for all
	Backends     []dispatch.BackendInfo `cbor:"2,keyasint"`
	Removed      []string               `cbor:"5,keyasint,omitempty"` // identities
	Phases       map[string]string      `cbor:"3,keyasint,omitempty"`
}

// News is what agents tell each other. Each tells the hub of its zone; hubs tell each other, and the agents of their zones. A hop passes
// on what came together since the last time.
type GossipMessage struct {
	From    string           `cbor:"1,keyasint"` // the agent's address
	Hop     int              `cbor:"2,keyasint"`
	Loads   *Loads           `cbor:"3,keyasint,omitempty"`
	List    *ListUpdate      `cbor:"4,keyasint,omitempty"`
	Batches []*kvindex.Batch `cbor:"5,keyasint,omitempty"`
	Phases  map[string]Phase `cbor:"6,keyasint,omitempty"`
	RelayTo []string         `cbor:"7,keyasint,omitempty"` // addresses that the receiver passes it on to
}

// Hops of news.
const (
	HopToHub    = 1 // from an agent to the hub of its zone
	HopHubToHub = 2 // to the hubs of the other zones
	HopFromHub  = 3 // from a hub to the agents of its zone
)

// BackendKey names a backend in news of loads, which is told many times a second: a digest of its identity. Two backends with one key would
// each be taken for as loaded as both.
type BackendKey uint32

// KeyOf is the key of a backend.
func BackendKeyOf(backend string) BackendKey { return BackendKey(xxhash.Sum64String(backend)) }

// Loads is what is at backends: from an agent its own, between hubs a zone's, from a hub all mixers' together.
type Loads struct {
	Changed map[BackendKey]dispatch.Load `cbor:"1,keyasint,omitempty"` // those that changed; all if All
	Full    bool                         `cbor:"2,keyasint,omitempty"`
}

// Phase is what the owner of orders tells of a backend.
type Phase struct {
	Name    string `cbor:"1,keyasint"` // dispatch.Phase...
	Model   string `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint,omitempty"` // that it has now, 0 if that is not told
	// Fence is the token under which it was told, and Number counts what the holder of that token told.
	FencingToken uint64 `cbor:"4,keyasint,omitempty"`
	Seq          uint64 `cbor:"5,keyasint,omitempty"`
}

// Before tells whether o was told after p: by a later holder of the duty, or later by the same one.
func (p Phase) Before(o Phase) bool {
	if p.FencingToken != o.FencingToken {
		return p.FencingToken < o.FencingToken
	}
	return p.Seq < o.Seq
}

// WholeRequest asks for all that is known of a backend.
type BackendIndexRequest struct {
	Backend string `cbor:"1,keyasint"`
}
