package controller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"nettlefold/internal/replicated"
)

// Status is what a controller knows about the fleet: its own state, the view, and the agents that
// have a session here.
type Status struct {
	Controller    string                             `json:"controller"`
	Current       bool                               `json:"current"` // in contact with a quorum of the core, and the disk works
	DiskFails     bool                               `json:"disk_fails"`
	Epoch         uint64                             `json:"epoch"`
	Chain         []string                           `json:"chain"` // head first
	Acceptors     []string                           `json:"acceptors"`
	Learners      []string                           `json:"learners,omitempty"`     // chain members without a vote
	Seq           uint64                             `json:"seq"`                    // of the newest committed operation known here
	ConfigVersion int64                              `json:"config_version"`         // of the configuration in force
	ConfigDigest  string                             `json:"config_digest"`          // config.TextDigest of the configuration in force
	ConfigFault   string                             `json:"config_fault,omitempty"` // why this build would refuse the configuration in force
	SharingSince  int64                              `json:"prompts_shared_since"`   // see replicated.PromptSharing
	Evacuated     []string                           `json:"evacuated"`
	Models        map[string]replicated.ModelVersion `json:"models"`
	Leases        map[string]replicated.LeaseRecord  `json:"duties"` // "duties" is the name of the leases in the API
	Mixers        int                                `json:"mixers"` // with a session at any controller
	Sessions      []SessionStatus                    `json:"sessions"`
	Tallies       *TallyStatus                       `json:"tallies,omitempty"` // nil where tallies are disabled
}

// SessionStatus describes an agent that has its session here.
type SessionStatus struct {
	Agent    string   `json:"agent"`
	Addr     string   `json:"addr"`
	Zone     string   `json:"zone"`
	Applied  uint64   `json:"applied"` // sequence number of the operation in force at its proxy
	SilentMS int64    `json:"silent_ms"`
	Suspects []string `json:"suspects,omitempty"` // agents that it probes and cannot reach
}

// getStatus handles GET /v1/status.
func (c *Controller) getStatus(ctx echo.Context) error {
	var status Status
	if err := c.runInLoop(ctx.Request().Context(), func() { status = c.status() }); err != nil {
		return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	if c.tallies != nil {
		var err error
		if status.Tallies, err = c.tallies.status(ctx.Request().Context()); err != nil {
			return ctx.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
		}
	}
	return ctx.JSONPretty(http.StatusOK, status, "  ")
}

// status returns the status of this controller. It must be called in the event loop.
func (c *Controller) status() Status {
	now := c.published.Load()
	s := Status{
		Controller: string(now.self), Current: now.current, DiskFails: !c.diskFailedAt.IsZero(),
		Epoch: now.view.Epoch, Seq: now.state.Seq, ConfigVersion: now.state.ConfigVersion, ConfigDigest: now.configDigest, SharingSince: now.state.PromptSharing.Since,
		Models: now.state.Models, Leases: now.state.Leases, Mixers: len(now.members.Agents),
	}
	if c.configFault != nil {
		s.ConfigFault = c.configFault.Error()
	}
	for _, id := range now.view.Chain {
		s.Chain = append(s.Chain, string(id))
	}
	for _, m := range now.view.Acceptors {
		s.Acceptors = append(s.Acceptors, string(m.ID))
	}
	for _, m := range now.view.Learners {
		s.Learners = append(s.Learners, string(m.ID))
	}
	for zone := range now.state.Evacuated {
		s.Evacuated = append(s.Evacuated, zone)
	}
	for _, session := range c.sessions {
		s.Sessions = append(s.Sessions, SessionStatus{
			Agent: session.agent.ID, Addr: session.agent.Addr, Zone: session.agent.Zone,
			Applied: session.appliedSeq, SilentMS: time.Since(session.lastCallAt).Milliseconds(), Suspects: session.suspects,
		})
	}
	return s
}
