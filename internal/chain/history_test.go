package chain

import (
	"fmt"

	"nettlefold/internal/replicated"
	"nettlefold/internal/simtest"
)

// history returns the operators' calls on the configuration, for the linearizability check.
func (s *simulation) history() (calls []simtest.Call) {
	for _, c := range s.calls {
		h := simtest.Call{Start: c.startedAt, End: c.endedAt}
		switch {
		case c.operation == nil && c.outcome == outcomeCommitted:
			h.Version, h.Body = c.state.ConfigVersion, string(c.state.Config)
		case c.operation != nil && c.operation.Kind == replicated.KindConfig:
			h.Write, h.Base, h.Version, h.Body = true, c.operation.BaseVersion, c.version, string(c.operation.Body)
		default:
			continue
		}
		switch c.outcome {
		case outcomeCommitted:
			h.Outcome = simtest.Taken
		case outcomeRefused:
			h.Outcome = simtest.Refused
		}
		if !c.done() {
			h.End = s.now
		}
		calls = append(calls, h)
	}
	return calls
}

// configDocument returns a valid configuration of a version; mark distinguishes documents of the
// same version.
func configDocument(version int64, mark string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/","timeout_ms":10,"service":"s"}],"services":[{"name":"s"}],"mark":%q}`, version, mark))
}

// putConfig starts an operator's call that writes a configuration.
func (s *simulation) putConfig(contact string, base, version int64, mark string) *call {
	c := &call{contact: contact, version: version}
	c.operation = &replicated.Operation{Kind: replicated.KindConfig, BaseVersion: base, Body: configDocument(version, mark)}
	return s.startCall(c)
}
