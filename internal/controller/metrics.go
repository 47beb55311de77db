package controller

import (
	"context"
	"time"

	"nettlefold/internal/metrics"
)

// Metrics gives where this controller stands.
func (c *Controller) Metrics(ctx context.Context) (*metrics.Set, error) {
	var status Status
	var worked loopStats
	var spread propagationTracker
	if err := c.runInLoop(ctx, func() {
		status = c.status()
		worked = c.totalStats
		worked.add(&c.recentStats)
		spread = c.propagation
	}); err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	set.AddFlag("controller_in_touch", status.Current)
	set.AddFlag("controller_disk_fails", status.DiskFails)
	set.AddFlag("controller_head", len(status.Chain) > 0 && status.Chain[0] == status.Controller)
	set.Add("controller_epoch", float64(status.Epoch))
	set.Add("controller_committed_seq", float64(status.Seq))
	set.Add("controller_config_version", float64(status.ConfigVersion))
	set.Add("controller_chain_members", float64(len(status.Chain)))
	set.Add("controller_acceptors", float64(len(status.Acceptors)))
	set.Add("controller_learners", float64(len(status.Learners)))
	set.Add("controller_evacuated_zones", float64(len(status.Evacuated)))
	set.Add("controller_mixers", float64(status.Mixers))
	set.Add("controller_sessions", float64(len(status.Sessions)))
	behind, silent := status.sessionLag()
	set.Add("controller_sessions_behind", float64(behind))
	set.Add("controller_session_silence_seconds_max", silent.Seconds())
	addLoopMetrics(set, &worked)
	if c.tallies != nil {
		tallies, err := c.tallies.status(ctx)
		if err != nil {
			return nil, err
		}
		tallies.addMetrics(set)
	}
	spread.received.AddTo(set, "controller_spread_received_seconds")
	spread.applied.AddTo(set, "controller_spread_applied_seconds")
	set.Add("controller_replies_total", float64(c.replies.replies.Load()))
	set.Add("controller_replies_out_of_touch_total", float64(c.replies.withoutQuorum.Load()))
	set.Add("controller_replies_members_total", float64(c.replies.fullMemberSets.Load()))
	set.Add("controller_replies_changes_total", float64(c.replies.memberDeltas.Load()))
	set.Add("controller_replies_snapshot_total", float64(c.replies.snapshots.Load()))
	return set, nil
}

// addWork adds what the owner has done since the start, by kind of command.
func addLoopMetrics(set *metrics.Set, worked *loopStats) {
	set.Add("controller_queue_length_max", float64(worked.maxQueueLength))
	set.Add("controller_tick_late_seconds_max", worked.maxTickDelay.Seconds())
	for kind, name := range commandNames {
		work, label := &worked.commands[kind], `{kind="`+name+`"}`
		set.Add("controller_commands_total"+label, float64(work.count))
		set.Add("controller_commands_seconds_total"+label, work.busy.Seconds())
		set.Add("controller_commands_wait_seconds_max"+label, work.longestWait.Seconds())
	}
}

// sessionsBehind counts the sessions whose proxies have not applied the newest operation, and gives the longest silence of any.
func (s *Status) sessionLag() (behind int, silent time.Duration) {
	for i := range s.Sessions {
		session := &s.Sessions[i]
		if session.Applied < s.Seq {
			behind++
		}
		silent = max(silent, time.Duration(session.SilentMS)*time.Millisecond)
	}
	return behind, silent
}
