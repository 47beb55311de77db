package controller

import (
	"context"
	"time"

	"nettlefold/internal/metrics"
)

// Metrics returns the metrics of this controller.
func (c *Controller) Metrics(ctx context.Context) (*metrics.Set, error) {
	var status Status
	var stats loopStats
	var propagation propagationTracker
	if err := c.runInLoop(ctx, func() {
		status = c.status()
		stats = c.totalStats
		stats.add(&c.recentStats)
		propagation = c.propagation
	}); err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	set.Add("controller_peer_memory_bytes", float64(c.memory.Used()))
	set.Add("controller_peer_memory_exhausted_total", float64(c.memory.Exhausted()))
	set.AddFlag("controller_in_touch", status.Current)
	set.AddFlag("controller_disk_fails", status.DiskFails)
	set.AddFlag("controller_head", len(status.Chain) > 0 && status.Chain[0] == status.Controller)
	set.Add("controller_epoch", float64(status.Epoch))
	set.Add("controller_committed_seq", float64(status.Seq))
	set.Add("controller_config_version", float64(status.ConfigVersion))
	set.AddFlag("controller_config_fault", status.ConfigFault != "")
	if status.ConfigDigest != "" {
		set.AddFlag(`controller_config_info{digest="`+status.ConfigDigest+`"}`, true)
	}
	set.Add("controller_chain_members", float64(len(status.Chain)))
	set.Add("controller_acceptors", float64(len(status.Acceptors)))
	set.Add("controller_learners", float64(len(status.Learners)))
	set.Add("controller_evacuated_zones", float64(len(status.Evacuated)))
	set.Add("controller_mixers", float64(status.Mixers))
	set.Add("controller_sessions", float64(len(status.Sessions)))
	behind, longestSilence := status.sessionLag()
	set.Add("controller_sessions_behind", float64(behind))
	set.Add("controller_session_silence_seconds_max", longestSilence.Seconds())
	addLoopMetrics(set, &stats)
	if c.tallies != nil {
		tallies, err := c.tallies.status(ctx)
		if err != nil {
			return nil, err
		}
		tallies.addMetrics(set)
	}
	propagation.received.AddTo(set, "controller_spread_received_seconds")
	propagation.applied.AddTo(set, "controller_spread_applied_seconds")
	set.Add("controller_replies_total", float64(c.replies.replies.Load()))
	set.Add("controller_replies_out_of_touch_total", float64(c.replies.withoutQuorum.Load()))
	set.Add("controller_replies_members_total", float64(c.replies.fullMemberSets.Load()))
	set.Add("controller_replies_changes_total", float64(c.replies.memberDeltas.Load()))
	set.Add("controller_replies_snapshot_total", float64(c.replies.snapshots.Load()))
	return set, nil
}

// addLoopMetrics adds the metrics of the event loop since the start, by kind of command.
func addLoopMetrics(set *metrics.Set, stats *loopStats) {
	set.Add("controller_queue_length_max", float64(stats.maxQueueLength))
	set.Add("controller_tick_late_seconds_max", stats.maxTickDelay.Seconds())
	for kind, name := range commandNames {
		command, label := &stats.commands[kind], `{kind="`+name+`"}`
		set.Add("controller_commands_total"+label, float64(command.count))
		set.Add("controller_commands_seconds_total"+label, command.busy.Seconds())
		set.Add("controller_commands_wait_seconds_max"+label, command.longestWait.Seconds())
	}
}

// sessionLag returns the number of sessions whose proxies have not applied the newest operation,
// and the longest time since any session's last call.
func (s *Status) sessionLag() (behind int, longestSilence time.Duration) {
	for i := range s.Sessions {
		session := &s.Sessions[i]
		if session.Applied < s.Seq {
			behind++
		}
		longestSilence = max(longestSilence, time.Duration(session.SilentMS)*time.Millisecond)
	}
	return behind, longestSilence
}
