package agent

import (
	"context"
	"net/http"

	"nettlefold/internal/dispatch"
)

// report is what a backend tells of itself.
type backendReport struct {
	Busy   bool `json:"busy"`
	Models []struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
	} `json:"models"`
}

// weightsState is how far a backend is on its way to a version.
type weightsState int

const (
	weightsOutdated weightsState = iota // as far as is known
	weightsLoading                      // an order is in progress
	weightsCurrent
)

// weights asks a backend how far it is on its way to a version.
func (r *rollout) queryWeights(ctx context.Context, l dispatch.BackendInfo, version int64) weightsState {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var state backendReport
	header := http.Header{"X-Expected-Instance": {l.ID}}
	if err := r.agent.getJSON(ctx, "http://"+l.Addr+"/v1/report", header, &state); err != nil {
		return weightsOutdated
	}
	if state.Busy {
		return weightsLoading
	}
	for _, m := range state.Models {
		if m.Name == r.model && m.Version >= version {
			return weightsCurrent
		}
	}
	return weightsOutdated
}
