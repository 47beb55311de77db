package chain

import (
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// A node that is far behind fetches the committed state from a chain member in chunks, beside other
// traffic: heartbeats are sent between chunks, and an interrupted transfer resumes at its offset
// if the same source is alive again; another source starts over. A node joins the chain only when it
// is nearly caught up, so that a proposal, during which no writes are taken, has to transfer only a
// few entries.

const (
	// chunkTimeout is the time after which a requested chunk is requested again.
	chunkTimeout = 400 * time.Millisecond
	// servedStateTTL is how long an encoded state is kept after the last request for one of its
	// chunks.
	servedStateTTL = 10 * time.Second
)

// FetchState requests a chunk of the committed state.
type FetchState struct {
	Seq    uint64 `cbor:"1,keyasint"` // sequence number of the state being fetched, 0 for the first request
	Offset int    `cbor:"2,keyasint"` // in bytes
}

// StateChunk is a part of the encoding of a committed state.
type StateChunk struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"` // in bytes
	Total  int    `cbor:"3,keyasint"` // size of the whole encoding in bytes
	Bytes  []byte `cbor:"4,keyasint"`
}

// fetchProgress is the progress of a state transfer to this replica.
type fetchProgress struct {
	from        NodeID
	seq         uint64 // sequence number of the state, 0 before the first chunk
	total       int    // size of the whole encoding in bytes
	encoded     []byte
	requestedAt time.Duration
}

// servedState is an encoded state that other nodes are fetching.
type servedState struct {
	seq      uint64
	encoded  []byte
	lastUsed time.Duration
}

// minCatchUpSeq returns the lowest committed sequence number from which a node can catch up within
// a proposal: the entries after it are still in the log and not larger than CatchUpBytes. It is 0
// if the whole state is that small; any node can catch up then.
func (r *Replica) minCatchUpSeq() uint64 {
	if r.state.Size() <= r.options.Limits.CatchUpBytes {
		return 0
	}
	bytes, from := 0, r.state.Seq // uncommitted entries are not counted: only a CatchUp can send them
	for from >= r.firstSeq {
		bytes += len(r.log[from-r.firstSeq].Operation)
		if bytes > r.options.Limits.CatchUpBytes {
			break
		}
		from--
	}
	return from
}

// isNearlyCaughtUp reports whether a node can catch up within a proposal, whichever chain member is
// the source.
func (r *Replica) isNearlyCaughtUp(now time.Duration, id NodeID) bool {
	commit := r.state.Seq
	if id != r.meta.Identity {
		commit = r.peers[id].heartbeat.Commit
	}
	for _, member := range r.meta.View.Chain {
		if member == r.meta.Identity || !r.isAlive(now, member) {
			continue
		}
		if beat := &r.peers[member].heartbeat; beat.LogEpoch == r.meta.View.Epoch && commit < beat.MinCatchUpSeq {
			return false
		}
	}
	return !r.holdsChainLog() || commit >= r.minCatchUpSeq()
}

// continueFetch requests the next chunk while this node is too far behind to catch up within a
// proposal.
func (r *Replica) continueFetch(now time.Duration) {
	from := r.fetchSource(now)
	if from == "" {
		return // the received chunks are kept until a source is alive; another source than before starts over
	}
	if r.holdsChainLog() || r.isNearlyCaughtUp(now, r.meta.Identity) {
		r.stateFetch = nil
		return
	}
	if r.stateFetch != nil && now-r.stateFetch.requestedAt < chunkTimeout {
		return
	}
	if r.stateFetch == nil || r.stateFetch.from != from {
		r.stateFetch = &fetchProgress{from: from}
	}
	r.requestChunk(now)
}

// fetchSource returns the chain member closest to the tail that is alive and holds its log, or "".
func (r *Replica) fetchSource(now time.Duration) NodeID {
	chain := r.meta.View.Chain
	for _, id := range slices.Backward(chain) {
		if id != r.meta.Identity && r.isAlive(now, id) && r.peers[id].heartbeat.LogEpoch == r.meta.View.Epoch {
			return id
		}
	}
	return ""
}

// requestChunk requests the chunk that follows those received.
func (r *Replica) requestChunk(now time.Duration) {
	f := r.stateFetch
	f.requestedAt = now
	r.sendTo(f.from, Message{FetchState: &FetchState{f.seq, len(f.encoded)}})
}

func (r *Replica) onFetchState(now time.Duration, m *Message) {
	if !r.holdsChainLog() {
		return
	}
	f := *m.FetchState
	if r.servedState == nil || f.Seq != r.servedState.seq {
		r.servedState = &servedState{seq: r.state.Seq, encoded: r.state.Encode()}
		f.Offset = 0
	}
	served := r.servedState
	served.lastUsed = now
	if f.Offset < 0 || f.Offset > len(served.encoded) {
		return
	}
	end := min(f.Offset+r.options.Limits.ChunkBytes, len(served.encoded))
	r.send(m.From, Message{StateChunk: &StateChunk{served.seq, f.Offset, len(served.encoded), served.encoded[f.Offset:end]}})
}

// releaseServedState frees an encoded state that is no longer being fetched.
func (r *Replica) releaseServedState(now time.Duration) {
	if r.servedState != nil && now-r.servedState.lastUsed > servedStateTTL {
		r.servedState = nil
	}
}

func (r *Replica) onStateChunk(now time.Duration, m *Message) {
	f, piece := r.stateFetch, m.StateChunk
	if f == nil || m.From.ID != f.from || r.holdsChainLog() {
		return
	}
	if piece.Offset == 0 { // a new transfer, or the source encoded a newer state
		f.seq, f.total, f.encoded = piece.Seq, piece.Total, nil
	}
	if piece.Seq != f.seq || piece.Offset != len(f.encoded) {
		return
	}
	f.encoded = append(f.encoded, piece.Bytes...)
	if len(f.encoded) < f.total {
		r.requestChunk(now)
		return
	}
	r.stateFetch = nil
	r.installState(f.encoded)
}

// installState replaces the committed state by a newer fetched one. The result is not the log of
// any chain, so this node takes no part in serving until a proposal has transferred the rest. A
// state that cannot be decoded is dropped without a report; a later tick starts a new fetch.
func (r *Replica) installState(encoded []byte) {
	if r.meta.LogEpoch >= r.meta.View.Epoch {
		return // its log belongs to the current chain, which relies on it
	}
	state, err := replicated.Decode(encoded)
	if err != nil || state.Seq <= r.state.Seq {
		return
	}
	r.state, r.meta.LogEpoch = state, 0
	r.startLogGeneration(encoded)
	r.out.StateChanged = true
}

// startLogGeneration starts a new, empty log generation after the committed state, and drops the
// entries of the previous chain.
func (r *Replica) startLogGeneration(encoded []byte) {
	r.log, r.firstSeq = nil, r.state.Seq+1
	r.meta.Generation++
	r.sinceSnapshot.entries, r.sinceSnapshot.bytes = 0, 0
	r.out.Records = append(r.out.Records, Record{Snapshot: &Snapshot{r.meta.Generation, encoded}})
	r.saveMeta()
}
