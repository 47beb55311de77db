package agent

import (
	"context"
	"time"

	"nettlefold/internal/metrics"
	"nettlefold/internal/superseded"
)

// Metrics returns the agent's metrics.
func (a *Agent) Metrics(ctx context.Context) (*metrics.Set, error) {
	set := metrics.NewSet()
	err := a.runInLoop(ctx, func() { a.addMetrics(set) })
	if err != nil {
		return nil, err
	}
	return set, nil
}

// addMetrics adds the agent's metrics to set. It runs in the command loop. In the metric names,
// "news" is gossip, "wholes" are whole backend indexes, and "in touch" is the last contact with a
// quorum.
func (a *Agent) addMetrics(set *metrics.Set) {
	seq := uint64(0)
	if a.snapshot != nil {
		seq = a.snapshot.Seq
	}
	set.Add("agent_snapshot_seq", float64(seq))
	if a.configDigest != "" {
		set.AddFlag(`agent_config_info{digest="`+a.configDigest+`"}`, true)
	}
	set.Add("agent_applied_seq", float64(a.appliedSeq))
	set.Add("agent_epoch", float64(a.epoch))
	set.Add("agent_members", float64(len(a.members.Agents)))
	set.Add("agent_suspects", float64(len(a.suspects)))
	set.Add("agent_backends", float64(len(a.backends)))
	set.Add("agent_index_backends", float64(len(a.index.Backends())))
	set.Add("agent_index_batches_total", float64(a.batchCount))
	set.Add("agent_index_wholes_wanted", float64(len(a.resync.pending)))
	set.Add("agent_index_wholes_served_total", float64(a.resync.served))
	set.Add("agent_event_readers", float64(len(a.eventReaders)))
	set.Add("agent_rollouts", float64(len(a.rollouts)))
	set.Add("agent_news_sent_bytes_total", float64(a.gossipBytesSent))
	set.Add("agent_news_interval_seconds", a.gossip.interval().Seconds())
	set.Add("agent_response_faults_total", float64(a.faults.count.Load()))
	set.Add("agent_peer_memory_bytes", float64(a.memory.Used()))
	set.Add("agent_peer_memory_exhausted_total", float64(a.memory.Exhausted()))
	if a.lastQuorumContact != superseded.DistantPast {
		set.Add("agent_in_touch_age_seconds", (a.now() - a.lastQuorumContact).Seconds())
	}
	if a.backends != nil {
		addAge(set, "agent_list_age_seconds", a.listSync.readAt)
	}
	a.listArrivalDelays.AddTo(set, "agent_list_arrival_seconds")
	a.listApplyTracker.latencies.AddTo(set, "agent_list_applied_seconds")
	a.snapshotApplyTracker.latencies.AddTo(set, "agent_snapshot_applied_seconds")
	addAge(set, "agent_proxy_age_seconds", a.lastProxyRequest)
}

// addAge adds the time since at as a metric, unless at is zero.
func addAge(set *metrics.Set, name string, at time.Time) {
	if !at.IsZero() {
		set.Add(name, time.Since(at).Seconds())
	}
}
