package controller

import (
	"nettlefold/internal/config"
	"nettlefold/internal/replicated"
)

// logConfiguration logs that a configuration is committed here, or was found on disk.
func (c *Controller) logConfiguration(now *publishedState) {
	if now.state.ConfigSeq == 0 {
		return
	}
	c.log.Info().Str("step", "configuration").Int64("version", now.state.ConfigVersion).Uint64("seq", now.state.ConfigSeq).
		Str("digest", now.configDigest).Msg("configuration committed")
}

// checkConfiguration checks the configuration in force, which a build with a less strict check may have accepted.
// It stays in force; status, metrics and log tell the operator. The check runs beside the event loop.
func (c *Controller) checkConfiguration(state *replicated.State) {
	c.configFault = nil
	if state.ConfigSeq == 0 {
		return
	}
	go func() {
		_, fault := config.Parse(state.Config)
		c.enqueue(commandOther, func() { c.recordConfigFault(state, fault) })
	}()
}

// recordConfigFault records the result of a check, unless another configuration is in force by now.
func (c *Controller) recordConfigFault(state *replicated.State, fault error) {
	if c.replica.State().ConfigSeq != state.ConfigSeq {
		return
	}
	c.configFault = fault
	if fault != nil {
		c.log.Warn().Str("step", "configuration").Int64("version", state.ConfigVersion).Err(fault).
			Msg("the configuration in force was accepted by another build and would be refused by this one")
	}
}
