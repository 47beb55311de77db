package controller

import (
	"context"

	"nettlefold/internal/metrics"
	"nettlefold/internal/tally"
)

// TallyStatus describes the tallies of a controller.
type TallyStatus struct {
	Ready          bool              `json:"ready"` // reads are answered
	NotReadyReason string            `json:"not_ready,omitempty"`
	DiskFails      bool              `json:"disk_fails"`
	DiskSlow       bool              `json:"disk_slow"`
	Adds           int               `json:"adds"`    // adds stored here, including those of other machines
	Origins        int               `json:"origins"` // sequences of adds known here, one for each disk that numbered adds
	LogBytes       int64             `json:"log_bytes"`
	Behind         uint64            `json:"behind"`       // adds that a peer has and this machine lacks
	Unreplicated   uint64            `json:"unreplicated"` // adds here that are known to be on too few other disks
	Calls          uint64            `json:"calls"`        // adds that callers sent since the start
	Acknowledged   uint64            `json:"acknowledged"`
	Refused        uint64            `json:"refused"`
	Unclear        uint64            `json:"unclear"`
	Merged         uint64            `json:"merged"`     // adds received from other machines
	Duplicates     uint64            `json:"duplicates"` // adds received again with a known ID
	Conflicts      uint64            `json:"conflicts"`  // adds with a known ID but another tally or amount
	Peers          []TallyPeerStatus `json:"peers"`
}

// TallyPeerStatus describes another controller as a peer of the tally replica.
type TallyPeerStatus struct {
	Addr      string `json:"addr"`
	Reachable bool   `json:"in_reach"`
	Presence  string `json:"presence"`
	SilentMS  int64  `json:"silent_ms"`
	DiskFails bool   `json:"disk_fails,omitempty"`
	Behind    uint64 `json:"behind"` // adds that this machine has and the peer lacks
	Ahead     uint64 `json:"ahead"`  // adds that the peer has and this machine lacks
}

// status returns the status of the tallies from the tally loop.
func (t *tallyService) status(ctx context.Context) (*TallyStatus, error) {
	if !t.loaded.Load() {
		return &TallyStatus{NotReadyReason: errLoading.Error()}, nil
	}
	statuses := make(chan tally.Status, 1)
	t.enqueue(func() { statuses <- t.replica.Status(t.sinceStart()) })
	select {
	case s := <-statuses:
		return t.newTallyStatus(&s), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.done:
		return nil, errShuttingDown
	}
}

// newTallyStatus converts a status of the replica.
func (t *tallyService) newTallyStatus(s *tally.Status) *TallyStatus {
	out := &TallyStatus{
		Ready: s.Ready, NotReadyReason: s.NotReadyReason, DiskFails: s.DiskUnavailable, DiskSlow: s.DiskSlow,
		Adds: s.Adds, Origins: s.Origins, LogBytes: t.logBytes.Load(), Behind: s.Behind, Unreplicated: s.Unreplicated,
		Calls: s.Counters.Adds, Acknowledged: s.Counters.Acknowledged, Refused: s.Counters.Refused, Unclear: s.Counters.Unclear,
		Merged: s.Counters.Merged, Duplicates: s.Duplicates, Conflicts: s.Conflicts,
	}
	for _, p := range s.Peers {
		out.Peers = append(out.Peers, TallyPeerStatus{
			Addr: p.Addr, Reachable: p.Presence == tally.Reachable, Presence: p.Presence.String(), SilentMS: p.Silent.Milliseconds(), DiskFails: p.DiskFailed, Behind: p.Behind, Ahead: p.Ahead,
		})
	}
	return out
}

// addMetrics adds the tally metrics to a set.
func (s *TallyStatus) addMetrics(set *metrics.Set) {
	set.AddFlag("tally_ready", s.Ready)
	set.AddFlag("tally_disk_fails", s.DiskFails)
	set.Add("tally_adds", float64(s.Adds))
	set.Add("tally_origins", float64(s.Origins))
	set.Add("tally_log_bytes", float64(s.LogBytes))
	set.Add("tally_behind", float64(s.Behind))
	set.Add("tally_unreplicated", float64(s.Unreplicated))
	set.Add("tally_calls_total", float64(s.Calls))
	set.Add("tally_acknowledged_total", float64(s.Acknowledged))
	set.Add("tally_refused_total", float64(s.Refused))
	set.Add("tally_unclear_total", float64(s.Unclear))
	set.Add("tally_merged_total", float64(s.Merged))
	set.Add("tally_duplicates", float64(s.Duplicates))
	set.Add("tally_conflicts", float64(s.Conflicts))
	reachable := 0
	for i := range s.Peers {
		if s.Peers[i].Reachable {
			reachable++
		}
	}
	set.Add("tally_peers_in_reach", float64(reachable))
}
