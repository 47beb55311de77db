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

// indexed is an agent that knows so many backends, each with so many parts of prompts.
func newIndexedAgent(backends, parts int) *Agent {
	a := New(&local.Settings{NodeName: "f", IP: "10.0.0.1", FirstPort: 7340}, zerolog.Nop())
	for i := range backends {
		b := &kvindex.Batch{Backend: fmt.Sprint("i-", i), To: kvindex.Cursor{Epoch: 1, Next: 1}, Snapshot: true}
		for k := range parts {
			b.Changes = append(b.Changes, kvindex.Change{Key: kvindex.Key(i*parts + k), Tokens: 100})
		}
		a.index.Apply(b)
	}
	return a
}

// change adds a batch of one backend as its events do.
func (a *Agent) addBatch(backend string, key int) {
	cursor, _ := a.index.Cursor(backend)
	b := &kvindex.Batch{Backend: backend, From: cursor, To: kvindex.Cursor{Epoch: cursor.Epoch, Next: cursor.Next + 1},
		Changes: []kvindex.Change{{Key: kvindex.Key(key), Tokens: 7}}}
	a.index.Apply(b)
	b.Digest = a.index.Digest(backend)
	a.recentBatches = append(a.recentBatches, b)
	a.batchCount++
}

func changeCount(reply *feed.Reply) (n int) {
	for _, b := range reply.Batches {
		n += len(b.Changes)
	}
	return n
}

// TestNewsOfTheConfigurationDoesNotWaitForTheIndex: a proxy that has to be told the whole index hears of a configuration first, and then of
// the index in pieces.
func TestFeedReplySnapshotBeforeIndex(t *testing.T) {
	a := newIndexedAgent(140, 300)
	a.snapshot = &distribute.Snapshot{Seq: 5, ConfigSeq: 5, Config: []byte("{}")}
	reply, fresh := a.feedReply(0, &feed.Request{})
	require.True(t, fresh)
	require.NotNil(t, reply.Snapshot)
	require.Empty(t, reply.Batches)
	require.True(t, reply.Reset)
	require.Len(t, reply.KnownBackends, 140)
	request := &feed.Request{AgentID: a.self.ID, SnapshotSeq: 5, ConfigSeq: 5, BatchCount: reply.BatchCount, MembersDigest: a.members.Digest, LoadsRevision: reply.LoadsRevision, ResyncBackends: reply.KnownBackends}
	reply, fresh = a.feedReply(0, request)
	require.True(t, fresh)
	require.NotEmpty(t, reply.Batches)
	require.LessOrEqual(t, changeCount(reply), feed.MaxChangesPerReply+300)
	a.snapshot = &distribute.Snapshot{Seq: 6, ConfigSeq: 6, Config: []byte("{}")}
	reply, _ = a.feedReply(0, request)
	require.NotNil(t, reply.Snapshot, "another one comes between the pieces")
	require.Empty(t, reply.Batches)
	require.Equal(t, request.BatchCount, reply.BatchCount)
}

// TestAListThatChangesHoldsNothingUp: while the list, or the members, change with each call the index comes all the same.
func TestFeedReplyIndexWithChangingList(t *testing.T) {
	a := newIndexedAgent(10, 10)
	a.backends = []dispatch.BackendInfo{{ID: "i-0"}}
	request := &feed.Request{AgentID: a.self.ID}
	for number := uint64(1); number <= 5; number++ {
		a.listRevisions.current = number
		a.members = &distribute.MemberSet{Digest: number}
		a.addBatch("i-1", int(number))
		reply, fresh := a.feedReply(0, request)
		require.True(t, fresh)
		require.NotNil(t, reply.List)
		require.NotNil(t, reply.Members)
		require.Len(t, reply.Batches, 1)
		request.ListRevision, request.MembersDigest, request.BatchCount = reply.List.Revision, reply.Members.Digest, reply.BatchCount
	}
}

// TestTheIndexComesWhole: in pieces, with changes between them and replies that are lost, a proxy comes to have what its agent has.
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
				continue // it did not come in time
			}
			request.AgentID, request.LoadsRevision = reply.AgentID, reply.LoadsRevision
			request.ApplyIndex(proxy, reply)
			if round >= 20 && len(request.ResyncBackends) == 0 && request.BatchCount == a.batchCount {
				break
			}
			require.Less(t, round, 200)
		}
		for _, id := range a.index.Backends() {
			require.Equal(t, a.index.Digest(id), proxy.Digest(id))
		}
	}
}

// TestTheNewestBatchesAreKept: as many as a proxy may lag, and not many more.
func TestRecordBatchBounds(t *testing.T) {
	a := newIndexedAgent(1, 0)
	for i := range 3 * minRecentBatches {
		a.recordBatch(&kvindex.Batch{Backend: "i-0", To: kvindex.Cursor{Next: int64(i)}})
		require.LessOrEqual(t, len(a.recentBatches), minRecentBatches+batchTrimLength)
		require.GreaterOrEqual(t, len(a.recentBatches), min(i+1, minRecentBatches))
		require.Equal(t, int64(i), a.recentBatches[len(a.recentBatches)-1].To.Next)
	}
	reply, _ := a.feedReply(0, &feed.Request{AgentID: a.self.ID, BatchCount: a.batchCount - minRecentBatches})
	require.False(t, reply.Reset)
}

// BenchmarkKeepBatch is one batch kept, as for each page of events of each backend.
func BenchmarkRecordBatch(b *testing.B) {
	a := newIndexedAgent(1, 0)
	batch := &kvindex.Batch{Backend: "i-0"}
	for b.Loop() {
		a.recordBatch(batch)
	}
}
