package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/settings/local"
)

// newIndexedAgent returns an agent whose index has the given number of backends, each with the
// given number of cached prompt parts.
func newIndexedAgent(backends, parts int) *Agent {
	a := New(&local.Settings{NodeName: "f", IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	for i := range backends {
		batch := &kvindex.Batch{Backend: fmt.Sprint("i-", i), To: kvindex.Cursor{Epoch: 1, Next: 1}, Snapshot: true}
		for part := range parts {
			batch.Changes = append(batch.Changes, kvindex.Change{Key: kvindex.Key(i*parts + part), Tokens: 100})
		}
		a.index.Apply(batch)
	}
	return a
}

// addBatch adds a batch with one change of a backend, as the backend's events do.
func (a *Agent) addBatch(backend string, key int) {
	cursor, _ := a.index.Cursor(backend)
	batch := &kvindex.Batch{Backend: backend, From: cursor, To: kvindex.Cursor{Epoch: cursor.Epoch, Next: cursor.Next + 1},
		Changes: []kvindex.Change{{Key: kvindex.Key(key), Tokens: 7}}}
	a.index.Apply(batch)
	batch.Digest = a.index.Digest(backend)
	a.recentBatches = append(a.recentBatches, batch)
	a.batchCount++
}

// changeCount returns the number of index changes in a reply.
func changeCount(reply *feed.Reply) (n int) {
	for _, batch := range reply.Batches {
		n += len(batch.Changes)
	}
	return n
}

// TestFeedReplySnapshotBeforeIndex checks that a proxy that needs the whole index gets a new
// configuration at once, and the index in pieces after it. A configuration in the same reply as the
// index would be delayed by it.
func TestFeedReplySnapshotBeforeIndex(t *testing.T) {
	a := newIndexedAgent(140, 300)
	a.snapshot = &distribute.Snapshot{Seq: 5, ConfigSeq: 5, Config: []byte("{}")}
	reply, isNew := a.feedReply(0, &feed.Request{})
	require.True(t, isNew)
	require.NotNil(t, reply.Snapshot)
	require.Empty(t, reply.Batches)
	require.True(t, reply.Reset)
	require.Len(t, reply.KnownBackends, 140)
	request := &feed.Request{AgentID: a.self.ID, SnapshotSeq: 5, ConfigSeq: 5, BatchCount: reply.BatchCount, MembersDigest: a.members.Digest, LoadsRevision: reply.LoadsRevision, ResyncBackends: reply.KnownBackends}
	reply, isNew = a.feedReply(0, request)
	require.True(t, isNew)
	require.NotEmpty(t, reply.Batches)
	require.LessOrEqual(t, changeCount(reply), feed.MaxChangesPerReply+300)
	a.snapshot = &distribute.Snapshot{Seq: 6, ConfigSeq: 6, Config: []byte("{}")}
	reply, _ = a.feedReply(0, request)
	require.NotNil(t, reply.Snapshot, "a new snapshot must come between the pieces of the index")
	require.Empty(t, reply.Batches)
	require.Equal(t, request.BatchCount, reply.BatchCount)
}

// TestFeedReplyIndexWithChangingList checks that the index is not delayed while the list or the
// members change with each call.
func TestFeedReplyIndexWithChangingList(t *testing.T) {
	a := newIndexedAgent(10, 10)
	a.backends = []dispatch.BackendInfo{{ID: "i-0"}}
	request := &feed.Request{AgentID: a.self.ID}
	for revision := uint64(1); revision <= 5; revision++ {
		a.listRevisions.current = revision
		a.members = &distribute.MemberSet{Digest: revision}
		a.addBatch("i-1", int(revision))
		reply, isNew := a.feedReply(0, request)
		require.True(t, isNew)
		require.NotNil(t, reply.List)
		require.NotNil(t, reply.Members)
		require.Len(t, reply.Batches, 1)
		request.ListRevision, request.MembersDigest, request.BatchCount = reply.List.Revision, reply.Members.Digest, reply.BatchCount
	}
}

// TestFeedReplyIndexConverges checks that a proxy gets its agent's whole index in pieces, with
// changes between them and lost replies.
func TestFeedReplyIndexConverges(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		a, proxy := newIndexedAgent(60, 200), kvindex.New()
		request := &feed.Request{MembersDigest: a.members.Digest}
		for round := 0; ; round++ {
			if round < 20 {
				for range random.IntN(40) {
					a.addBatch(fmt.Sprint("i-", random.IntN(60)), 1_000_000+random.IntN(1000))
				}
			}
			reply, _ := a.feedReply(0, request)
			if random.IntN(4) == 0 {
				continue // the reply was lost
			}
			request.AgentID, request.LoadsRevision = reply.AgentID, reply.LoadsRevision
			request.ApplyIndex(proxy, reply)
			if round >= 20 && len(request.ResyncBackends) == 0 && request.BatchCount == a.batchCount {
				break
			}
			require.Less(t, round, 200, "seed %d: rounds until the index is complete", seed)
		}
		for _, backend := range a.index.Backends() {
			require.Equal(t, a.index.Digest(backend), proxy.Digest(backend), "seed %d: digest of backend %s", seed, backend)
		}
	}
}

// TestRecordBatchBounds checks that the newest batches are kept, at least minRecentBatches and at
// most batchTrimLength more.
func TestRecordBatchBounds(t *testing.T) {
	a := newIndexedAgent(1, 0)
	for i := range 3 * minRecentBatches {
		a.recordBatch(&kvindex.Batch{Backend: "i-0", To: kvindex.Cursor{Next: int64(i)}})
		require.LessOrEqual(t, len(a.recentBatches), minRecentBatches+batchTrimLength, "recent batches")
		require.GreaterOrEqual(t, len(a.recentBatches), min(i+1, minRecentBatches), "recent batches")
		require.Equal(t, int64(i), a.recentBatches[len(a.recentBatches)-1].To.Next)
	}
	reply, _ := a.feedReply(0, &feed.Request{AgentID: a.self.ID, BatchCount: a.batchCount - minRecentBatches})
	require.False(t, reply.Reset, "a proxy that lags by minRecentBatches batches must not be reset")
}

// BenchmarkRecordBatch measures recording one batch, which happens for each event page of each
// backend.
func BenchmarkRecordBatch(b *testing.B) {
	a := newIndexedAgent(1, 0)
	batch := &kvindex.Batch{Backend: "i-0"}
	for b.Loop() {
		a.recordBatch(batch)
	}
}
