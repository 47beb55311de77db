package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
)

// TestChangesToAnotherListAreNotTaken: the whole list is asked for instead.
func TestListDeltaWithUnknownBase(t *testing.T) {
	r := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	take := func(list *feed.List) (have uint64, size int) {
		r.proxy.execute(func() {
			r.proxy.applyReply(r.proxy.now(), &feed.Reply{AgentID: "a1", List: list})
			have, size = r.proxy.applied.ListRevision, r.proxy.dispatchTable.BackendCount()
		})
		return have, size
	}
	have, size := take(&feed.List{Revision: 5, BaseRevision: 1, Backends: []dispatch.BackendInfo{{ID: "i-new"}}})
	require.Equal(t, uint64(5), have)
	require.Equal(t, 2, size)
	have, size = take(&feed.List{Revision: 9, BaseRevision: 7, Removed: []string{"i-new"}})
	require.Zero(t, have)
	require.Equal(t, 2, size)
	have, size = take(&feed.List{Revision: 9, Backends: []dispatch.BackendInfo{{ID: "i-0"}}})
	require.Equal(t, uint64(9), have)
	require.Equal(t, 1, size)
}

// TestAConfigurationThatCannotBeReadChangesNothing: what came with it is not put in force either, and it is asked for again.
func TestMalformedConfigIgnored(t *testing.T) {
	r := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	before := r.proxy.config.Load()
	r.proxy.execute(func() {
		r.proxy.applyReply(r.proxy.now(), &feed.Reply{
			AgentID: "a1", Snapshot: &distribute.Snapshot{Seq: 2, ConfigSeq: 2, Config: []byte("{"), Evacuated: map[string]uint64{"a": 2}},
		})
		require.Equal(t, uint64(1), r.proxy.applied.SnapshotSeq)
		require.Equal(t, uint64(1), r.proxy.applied.ConfigSeq)
	})
	require.Same(t, before, r.proxy.config.Load())
}
