package feed

import (
	"slices"

	"nettlefold/internal/kvindex"
)

// TakeIndex applies what a reply tells of the prompts that backends keep, and notes in the next request how far it got and of which backends
// the whole is wanted. The request's earlier copies keep their own.
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
		wanted := slices.Index(r.ResyncBackends, b.Backend)
		switch {
		case applied && b.Snapshot && wanted >= 0:
			r.ResyncBackends = slices.Delete(slices.Clone(r.ResyncBackends), wanted, wanted+1)
		case !applied && wanted < 0:
			r.ResyncBackends = append(slices.Clone(r.ResyncBackends), b.Backend)
		}
	}
}

// ForgetBackend drops what is known of a backend that is gone.
func (r *Request) ForgetBackend(index *kvindex.Index, id string) {
	index.Remove(id)
	r.ResyncBackends = slices.DeleteFunc(slices.Clone(r.ResyncBackends), func(wanted string) bool { return wanted == id })
}
