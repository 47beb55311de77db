package proxy

import (
	"context"
	"sync/atomic"

	"nettlefold/internal/metrics"
)

// counters counts events since the start of the process.
type counters struct {
	requests atomic.Uint64 // requests received while a configuration was in force
	inFlight atomic.Int64  // those of them that are running now
	attempts atomic.Uint64 // requests sent to backends
	deferred atomic.Uint64 // requests refused with a retry time because too many wait
	unserved atomic.Uint64 // requests that ended without a backend's response, other than deferred ones
	resumed  atomic.Uint64 // streams resumed at another backend
	aborted  atomic.Uint64 // responses that started and could not be completed
}

// Metrics returns the counters of the proxy and the revisions that it has applied.
func (p *Proxy) Metrics(context.Context) (*metrics.Set, error) {
	set := metrics.NewSet()
	set.Add("proxy_requests_total", float64(p.counters.requests.Load()))
	set.Add("proxy_requests_running", float64(p.counters.inFlight.Load()))
	set.Add("proxy_attempts_total", float64(p.counters.attempts.Load()))
	set.Add("proxy_requests_deferred_total", float64(p.counters.deferred.Load()))
	set.Add("proxy_requests_given_up_total", float64(p.counters.unserved.Load()))
	set.Add("proxy_streams_resumed_total", float64(p.counters.resumed.Load()))
	set.Add("proxy_answers_cut_total", float64(p.counters.aborted.Load()))
	for _, r := range endReasons {
		set.Add(`proxy_endings_total{ending="`+string(r)+`"}`, float64(p.endReasons.count(r)))
	}
	for _, r := range failureReasons {
		set.Add(`proxy_attempt_failures_total{reason="`+string(r)+`"}`, float64(p.failures[r].Load()))
	}
	set.Add("proxy_relays_running", float64(p.relays.active.Load()))
	set.Add("proxy_relay_turns_awaited_total", float64(p.relays.held.Load()))
	set.Add("proxy_peer_memory_bytes", float64(p.memory.Used()))
	set.Add("proxy_peer_memory_limit_bytes", float64(p.memory.Limit()))
	set.Add("proxy_peer_memory_exhausted_total", float64(p.memory.Exhausted()))
	set.AddFlag("proxy_stopping", p.shutdownPlan.Load() != nil)
	if table := p.config.Load(); table != nil {
		set.Add("proxy_config_version", float64(table.Version))
		set.AddFlag(`proxy_config_info{digest="`+table.Digest+`"}`, true)
		set.Add("proxy_config_routes", float64(table.RouteCount))
	}
	p.execute(func() {
		// proxy_index_wanted counts the backends that need a full prefix cache snapshot.
		set.Add("proxy_applied_seq", float64(p.applied.SnapshotSeq))
		set.Add("proxy_backends", float64(p.dispatchTable.BackendCount()))
		set.Add("proxy_backends_avoided", float64(p.dispatchTable.AvoidedCount(p.now())))
		set.Add("proxy_index_wanted", float64(len(p.applied.ResyncBackends)))
	})
	return set, nil
}
