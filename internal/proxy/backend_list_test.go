package proxy

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
	"nettlefold/internal/distribute"
	"nettlefold/internal/feed"
)

// TestListDeltaWithUnknownBase checks that a delta to another list than the applied one is dropped and
// the full list is requested.
func TestListDeltaWithUnknownBase(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	apply := func(list *feed.ProxyListUpdate) (revision uint64, backends int) {
		f.proxy.execute(func() {
			f.proxy.applyReply(f.proxy.now(), &feed.Reply{AgentID: "a1", List: list})
			revision, backends = f.proxy.applied.ListRevision, f.proxy.dispatchTable.BackendCount()
		})
		return revision, backends
	}
	revision, backends := apply(&feed.ProxyListUpdate{Revision: 5, BaseRevision: 1, Backends: []dispatch.BackendInfo{{ID: "i-new"}}})
	require.Equal(t, uint64(5), revision, "revision after a delta to the applied list")
	require.Equal(t, 2, backends, "backends after a delta to the applied list")
	revision, backends = apply(&feed.ProxyListUpdate{Revision: 9, BaseRevision: 7, Removed: []string{"i-new"}})
	require.Zero(t, revision, "revision after a delta to an unknown list")
	require.Equal(t, 2, backends, "backends after a delta to an unknown list")
	revision, backends = apply(&feed.ProxyListUpdate{Revision: 9, Backends: []dispatch.BackendInfo{{ID: "i-0"}}})
	require.Equal(t, uint64(9), revision, "revision after a full list")
	require.Equal(t, 1, backends, "backends after a full list")
}

// TestMalformedConfigIgnored checks that a snapshot with a malformed configuration is not applied at
// all, so that it is requested again.
func TestMalformedConfigIgnored(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	before := f.proxy.config.Load()
	f.proxy.execute(func() {
		f.proxy.applyReply(f.proxy.now(), &feed.Reply{
			AgentID: "a1", Snapshot: &distribute.Snapshot{Seq: 2, ConfigSeq: 2, Config: []byte("{"), Evacuated: map[string]uint64{"a": 2}},
		})
		require.Equal(t, uint64(1), f.proxy.applied.SnapshotSeq)
		require.Equal(t, uint64(1), f.proxy.applied.ConfigSeq)
	})
	require.Same(t, before, f.proxy.config.Load())
}
