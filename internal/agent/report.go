package agent

import (
	"context"
	"net/http"

	"nettlefold/internal/dispatch"
)

// backendReport is a backend's report of its state.
type backendReport struct {
	Busy   bool `json:"busy"`
	Models []struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
	} `json:"models"`
}

// weightsState is the state of a backend's weights relative to a version.
type weightsState int

const (
	weightsOutdated weightsState = iota // or unknown
	weightsLoading                      // a load order is in progress
	weightsCurrent
)

// queryWeights queries a backend for the state of its weights relative to a version.
func (r *rollout) queryWeights(ctx context.Context, backend dispatch.BackendInfo, version int64) weightsState {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report backendReport
	header := http.Header{"X-Expected-Instance": {backend.ID}}
	request := jsonRequest{target: "http://" + backend.Addr + "/v1/report", header: header, maxBytes: maxReportBytes, memory: r.agent.memory}
	if _, err := r.agent.getJSON(ctx, request, &report); err != nil {
		return weightsOutdated
	}
	if report.Busy {
		return weightsLoading
	}
	for _, model := range report.Models {
		if model.Name == r.model && model.Version >= version {
			return weightsCurrent
		}
	}
	return weightsOutdated
}
