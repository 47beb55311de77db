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
	fetchRetry = 400 * time.Millisecond
	// offerKept is how long an encoded state is kept for who fetches it.
	offerKept = 10 * time.Second
)

// Fetch asks for a piece of the committed state.
type Fetch struct {
	Seq    uint64 `cbor:"1,keyasint"` // of the state that pieces are there of, 0 to begin
	Offset int    `cbor:"2,keyasint"`
}

// Piece is a piece of a committed state's encoding.
type Piece struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"`
	Bytes  []byte `cbor:"4,keyasint"`
}

// fetching is what has come so far.
type fetching struct {
	from    NodeID
	seq     uint64
	total   int
	encoded []byte
	asked   time.Duration
}

// offer is an encoded state that others fetch.
type offer struct {
	seq     uint64
	encoded []byte
	used    time.Duration
}

// nearFrom is the least number from which a machine that has committed it can be brought the rest within a proposal: the entries behind
// it are here and not too long. It is 0 where the state is small: then anyone can.
func (r *Replica) nearFrom() uint64 {
	if r.state.Size() <= r.options.Limits.WholeBytes {
		return 0
	}
	bytes, from := 0, r.state.Seq // what is not committed can only be brought
	for from >= r.first {
		bytes += len(r.log[from-r.first].Operation)
		if bytes > r.options.Limits.WholeBytes {
			break
		}
		from--
	}
	return from
}

// near tells whether a machine can be brought the rest of the log within a proposal, whichever member of the chain is its source.
func (r *Replica) near(now time.Duration, id NodeID) bool {
	commit := r.state.Seq
	if id != r.meta.Identity {
		commit = r.peers[id].beat.Commit
	}
	for _, member := range r.meta.View.Chain {
		if member == r.meta.Identity || !r.hears(now, member) {
			continue
		}
		if beat := &r.peers[member].beat; beat.LogEpoch == r.meta.View.Epoch && commit < beat.Near {
			return false
		}
	}
	return !r.serving() || commit >= r.nearFrom()
}

// fetch asks for the next piece while this machine is far behind.
func (r *Replica) fetch(now time.Duration) {
	from := r.fetchFrom(now)
	if from == "" {
		return // what has come is kept until somebody is heard
	}
	if r.serving() || r.near(now, r.meta.Identity) {
		r.fetching = nil
		return
	}
	if r.fetching != nil && now-r.fetching.asked < fetchRetry {
		return
	}
	if r.fetching == nil || r.fetching.from != from {
		r.fetching = &fetching{from: from}
	}
	r.askPiece(now)
}

// fetchFrom is the member of the chain, nearest to its tail, that is heard and has its log.
func (r *Replica) fetchFrom(now time.Duration) NodeID {
	chain := r.meta.View.Chain
	for _, id := range slices.Backward(chain) {
		if id != r.meta.Identity && r.hears(now, id) && r.peers[id].beat.LogEpoch == r.meta.View.Epoch {
			return id
		}
	}
	return ""
}

func (r *Replica) askPiece(now time.Duration) {
	f := r.fetching
	f.asked = now
	r.sendTo(f.from, Message{Fetch: &Fetch{f.seq, len(f.encoded)}})
}

func (r *Replica) onFetch(now time.Duration, m *Message) {
	if !r.serving() {
		return
	}
	f := *m.Fetch
	if r.offer == nil || f.Seq != r.offer.seq {
		r.offer = &offer{seq: r.state.Seq, encoded: r.state.Encode()}
		f.Offset = 0
	}
	o := r.offer
	o.used = now
	if f.Offset < 0 || f.Offset > len(o.encoded) {
		return
	}
	end := min(f.Offset+r.options.Limits.PieceBytes, len(o.encoded))
	r.send(m.From, Message{Piece: &Piece{o.seq, f.Offset, len(o.encoded), o.encoded[f.Offset:end]}})
}

// dropOffer frees a state that nobody fetches any more.
func (r *Replica) dropOffer(now time.Duration) {
	if r.offer != nil && now-r.offer.used > offerKept {
		r.offer = nil
	}
}

func (r *Replica) onPiece(now time.Duration, m *Message) {
	f, piece := r.fetching, m.Piece
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
		r.askPiece(now)
		return
	}
	r.fetching = nil
	r.install(f.encoded)
}

// install takes over a committed state that is newer than this machine's own. It is a log of no chain: the machine answers for nothing
// with it before a proposal has brought it the rest.
func (r *Replica) install(encoded []byte) {
	if r.meta.LogEpoch >= r.meta.View.Epoch {
		return // its log is of the chain in force, and may be counted on
	}
	state, err := replicated.Decode(encoded)
	if err != nil || state.Seq <= r.state.Seq {
		return
	}
	r.state, r.meta.LogEpoch = state, 0
	r.restartLog(encoded)
	r.out.Committed = true
}

// restartLog begins another generation of the log behind the committed state: what else the log had was of another chain.
func (r *Replica) restartLog(encoded []byte) {
	r.log, r.first = nil, r.state.Seq+1
	r.meta.Generation++
	r.written.entries, r.written.bytes = 0, 0
	r.out.Records = append(r.out.Records, Record{Snapshot: &Snapshot{r.meta.Generation, encoded}})
	r.saveMeta()
}
