// Package feed has what an agent tells the proxy beside it over loopback, and what agents tell each other: the platform's list, news
// of kept prompts, loads and phases of backends.
package feed

import (
	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/kvindex"
)

// Kinds of calls.
const (
	KindFeed  = "feed"  // proxy to agent: Request, Reply
	KindLoads = "loads" // one-way, proxy to agent: map of dispatch.Load
	KindNews  = "news"  // one-way, agent to agent: News
	KindWhole = "whole" // agent to agent: WholeRequest, kvindex.Batch
	KindPing  = "ping"  // agent to agent
)

// Request says what a proxy has and what it has at backends.
type Request struct {
	Agent   string `cbor:"1,keyasint"` // life of the agent that the numbers below are of
	Applied uint64 `cbor:"2,keyasint"` // number of the snapshot in force
	List    uint64 `cbor:"3,keyasint"`
	Index   uint64 `cbor:"4,keyasint"` // batches taken
	Members uint64 `cbor:"5,keyasint"`
	Config  uint64 `cbor:"7,keyasint"` // number of the configuration in force
	Loads   uint64 `cbor:"8,keyasint"` // number of the others' loads that it has
}

// Reply brings what is newer.
type Reply struct {
	Agent    string                   `cbor:"1,keyasint"`
	Snapshot *distribute.Snapshot     `cbor:"2,keyasint,omitempty"`
	Ages     map[string]int64         `cbor:"3,keyasint,omitempty"`
	List     *List                    `cbor:"4,keyasint,omitempty"`
	Reset    bool                     `cbor:"5,keyasint,omitempty"` // Batches are all there is
	Batches  []*kvindex.Batch         `cbor:"6,keyasint,omitempty"`
	Index    uint64                   `cbor:"7,keyasint"`
	Members  *distribute.MemberSet    `cbor:"8,keyasint,omitempty"`
	Loads    map[string]dispatch.Load `cbor:"9,keyasint,omitempty"` // of all other mixers together
	LoadsAt  uint64                   `cbor:"10,keyasint"`          // their number
}

// List is the backends as the platform's list has them, and what owners of orders add.
type List struct {
	Number   uint64            `cbor:"1,keyasint"`
	Backends []dispatch.Listed `cbor:"2,keyasint"`
	Phases   map[string]string `cbor:"3,keyasint,omitempty"`
}

// News is what an agent tells the others.
type News struct {
	From    string                   `cbor:"1,keyasint"`           // the agent's address
	Loads   map[string]dispatch.Load `cbor:"2,keyasint,omitempty"` // those that changed, or all
	All     bool                     `cbor:"3,keyasint,omitempty"`
	List    []dispatch.Listed        `cbor:"4,keyasint,omitempty"` // absent if it is that of ListSum
	ListSum uint64                   `cbor:"7,keyasint,omitempty"` // digest of the list just read, 0 if none was
	Batches []*kvindex.Batch         `cbor:"5,keyasint,omitempty"`
	Phases  map[string]Phase         `cbor:"6,keyasint,omitempty"`
}

// Phase is what the owner of orders tells of a backend.
type Phase struct {
	Name    string `cbor:"1,keyasint"` // dispatch.Phase...
	Model   string `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint,omitempty"` // that it has now, 0 if that is not told
}

// WholeRequest asks for all that is known of a backend.
type WholeRequest struct {
	Backend string `cbor:"1,keyasint"`
}
