package chain

import (
	"slices"
	"time"

	"nettlefold/internal/replicated"
)

// A machine that is far behind fetches the committed state from a member of the chain in pieces, beside whatever else goes on: heartbeats
// come between the pieces, and a transfer that was cut goes on where it stood. Only one that is near is taken into the chain, so that a
// proposal, during which nothing is written, brings no more than some entries.

const (
	// fetchRetry is how long a piece is waited for.
	chunkTimeout = 400 * time.Millisecond
	// offerKept is how long an encoded state is kept for who fetches it.
	servedStateTTL = 10 * time.Second
)

// Fetch asks for a piece of the committed state.
type FetchState struct {
	Seq    uint64 `cbor:"1,keyasint"` // of the state that pieces are there of, 0 to begin
	Offset int    `cbor:"2,keyasint"`
}

// Piece is a piece of a committed state's encoding.
type StateChunk struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Bytes  []byte `cbor:"4,keyasint"`
}

// fetching is what has come so far.
type stateFetch struct {
	from        NodeID
	seq         uint64
	total       int
	encoded     []byte
	requestedAt time.Duration
}

// offer is an encoded state that others fetch.
type servedState struct {
	seq      uint64
	encoded  []byte
	lastUsed time.Duration
}

// nearFrom is the least number from which a machine that has committed it can be brought the rest within a proposal: the entries behind
// it are here and not too long. It is 0 where the state is small: then anyone can.
func (r *Replica) minCatchUpSeq() uint64 {
	if r.state.Size() <= r.options.Limits.CatchUpBytes {
		return 0
	}
	bytes, from := 0, r.state.Seq // what is not committed can only be brought
	for from >= r.firstSeq {
		bytes += len(r.log[from-r.firstSeq].Operation)
		if bytes > r.options.Limits.CatchUpBytes {
			break
		}
		from--
	}
	return from
}

// near tells whether a machine can be brought the rest of the log within a proposal, whichever member of the chain is its source.
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
	return !r.serving() || commit >= r.minCatchUpSeq()
}

// fetch asks for the next piece while this machine is far behind.
func (r *Replica) fetchState(now time.Duration) {
	from := r.fetchSource(now)
	if from == "" {
		return // what has come is kept until somebody is heard
	}
	if r.serving() || r.isNearlyCaughtUp(now, r.meta.Identity) {
		r.stateFetch = nil
		return
	}
	if r.stateFetch != nil && now-r.stateFetch.requestedAt < chunkTimeout {
		return
	}
	if r.stateFetch == nil || r.stateFetch.from != from {
		r.stateFetch = &stateFetch{from: from}
	}
	r.requestChunk(now)
}

// fetchFrom is the member of the chain, nearest to its tail, that is heard and has its log.
func (r *Replica) fetchSource(now time.Duration) NodeID {
	chain := r.meta.View.Chain
	for _, id := range slices.Backward(chain) {
		if id != r.meta.Identity && r.isAlive(now, id) && r.peers[id].heartbeat.LogEpoch == r.meta.View.Epoch {
			return id
		}
	}
	return ""
}

func (r *Replica) requestChunk(now time.Duration) {
	f := r.stateFetch
	f.requestedAt = now
	r.sendTo(f.from, Message{FetchState: &FetchState{f.seq, len(f.encoded)}})
}

func (r *Replica) onFetchState(now time.Duration, m *Message) {
	if !r.serving() {
		return
	}
	f := *m.FetchState
	if r.servedState == nil || f.Seq != r.servedState.seq {
		r.servedState = &servedState{seq: r.state.Seq, encoded: r.state.Encode()}
		f.Offset = 0
	}
	o := r.servedState
	o.lastUsed = now
	if f.Offset < 0 || f.Offset > len(o.encoded) {
		return
	}
	end := min(f.Offset+r.options.Limits.ChunkBytes, len(o.encoded))
	r.send(m.From, Message{StateChunk: &StateChunk{o.seq, f.Offset, len(o.encoded), o.encoded[f.Offset:end]}})
}

// dropOffer frees a state that nobody fetches any more.
func (r *Replica) releaseServedState(now time.Duration) {
	if r.servedState != nil && now-r.servedState.lastUsed > servedStateTTL {
		r.servedState = nil
	}
}

func (r *Replica) onStateChunk(now time.Duration, m *Message) {
	f, piece := r.stateFetch, m.StateChunk
	if f == nil || m.From.ID != f.from || r.serving() {
		return
	}
	if piece.Offset == 0 { // also when the sender had to encode its state anew
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

// install takes over a committed state that is newer than this machine's own. It is a log of no chain: the machine answers for nothing
// with it before a proposal has brought it the rest.
func (r *Replica) installState(encoded []byte) {
	if r.meta.LogEpoch >= r.meta.View.Epoch {
		return // its log is of the chain in force, and may be counted on
	}
	state, err := replicated.Decode(encoded)
	if err != nil || state.Seq <= r.state.Seq {
		return
	}
	r.state, r.meta.LogEpoch = state, 0
	r.startLogGeneration(encoded)
	r.out.StateChanged = true
}

// restartLog begins another generation of the log behind the committed state: what else the log had was of another chain.
func (r *Replica) startLogGeneration(encoded []byte) {
	r.log, r.firstSeq = nil, r.state.Seq+1
	r.meta.Generation++
	r.sinceSnapshot.entries, r.sinceSnapshot.bytes = 0, 0
	r.out.Records = append(r.out.Records, Record{Snapshot: &Snapshot{r.meta.Generation, encoded}})
	r.saveMeta()
}
