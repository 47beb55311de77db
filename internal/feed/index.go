package feed

import (
	"slices"

	"nettlefold/internal/kvindex"
)

// ApplyIndex applies the prefix cache batches of a reply to the index, and sets in the next request the
// number of applied batches and the backends that need a full snapshot. It replaces ResyncBackends instead of
// modifying it in place, because earlier copies of the request may still be in use.
func (r *Request) ApplyIndex(index *kvindex.Index, reply *Reply) {
	if reply.Reset {
		for _, id := range index.Backends() {
			index.Remove(id)
		}
		r.ResyncBackends = reply.KnownBackends
	}
	r.BatchCount = reply.BatchCount
	for _, b := range reply.Batches {
		applied := index.Apply(b)
		pending := slices.Index(r.ResyncBackends, b.Backend)
		switch {
		case applied && b.Snapshot && pending >= 0:
			r.ResyncBackends = slices.Delete(slices.Clone(r.ResyncBackends), pending, pending+1)
		case !applied && pending < 0:
			r.ResyncBackends = append(slices.Clone(r.ResyncBackends), b.Backend)
		}
	}
}

// RemoveBackend removes a backend that no longer exists from the index and from the backends to resync.
func (r *Request) RemoveBackend(index *kvindex.Index, id string) {
	index.Remove(id)
	r.ResyncBackends = slices.DeleteFunc(slices.Clone(r.ResyncBackends), func(backend string) bool { return backend == id })
}
