package chain

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"nettlefold/internal/replicated"
)

// The histories of the operator's calls are held to a register of one configuration that is written on top of a base, and read.

// registerInput is a call: a write of version on top of base, or a read.
type registerInput struct {
	write         bool
	base, version int64
	body          string
}

// registerOutput is its answer.
type registerOutput struct {
	outcome outcome
	version int64 // that a read showed
	body    string
}

// registerState is the configuration in force, and all that were taken, as an order that was taken is acknowledged again.
type registerState struct {
	version int64
	body    string
	taken   string // "base/version/body;" of each
}

func (s registerState) has(in registerInput) bool { return strings.Contains(s.taken, in.key()) }

func (in registerInput) key() string { return fmt.Sprintf("%d/%d/%s;", in.base, in.version, in.body) }

func (s registerState) take(in registerInput) registerState {
	return registerState{in.version, in.body, s.taken + in.key()}
}

// registerModel allows a call without a clear answer to have been taken or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) (next []any) {
		for _, s := range stepRegister(state.(registerState), input.(registerInput), output.(registerOutput)) {
			next = append(next, s)
		}
		return next
	},
}

// stepRegister gives the states that a call with this answer may lead to, none if the answer is wrong.
func stepRegister(s registerState, in registerInput, out registerOutput) []registerState {
	fits := in.base == s.version && in.version > s.version
	switch {
	case !in.write:
		if out.version == s.version && out.body == s.body {
			return []registerState{s}
		}
		return nil
	case s.has(in):
		if out.outcome == outcomeRefused {
			return nil
		}
		return []registerState{s}
	case out.outcome == outcomeTaken:
		if fits {
			return []registerState{s.take(in)}
		}
		return nil
	case out.outcome == outcomeRefused:
		if fits {
			return nil
		}
		return []registerState{s}
	case fits:
		return []registerState{s, s.take(in)}
	}
	return []registerState{s}
}

// history gives the calls on the configuration as the checker takes them. One without a clear answer may be taken until the end.
func (s *simulation) history() (operations []porcupine.Operation) {
	for i, c := range s.calls {
		in, out := registerInput{}, registerOutput{outcome: c.outcome}
		switch {
		case c.operation == nil && c.outcome == outcomeTaken:
			out.version = c.state.Version
			out.body = string(c.state.Config)
		case c.operation == nil:
			continue
		case c.operation.Kind == replicated.KindConfig:
			in = registerInput{write: true, base: c.operation.Base, version: c.version, body: string(c.operation.Body)}
		default:
			continue
		}
		end := c.ended
		if !c.over() || c.outcome == outcomeUnclear {
			end = s.now + time.Hour
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: in, Output: out, Call: int64(c.began), Return: int64(end),
		})
	}
	return operations
}

// configuration is a valid document of a version; mark tells documents of the same version apart.
func configuration(version int64, mark string) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/","timeout_ms":10,"service":"s"}],"services":[{"name":"s"}],"mark":%q}`, version, mark))
}

// put has the operator write a configuration.
func (s *simulation) put(contact string, base, version int64, mark string) *call {
	c := &call{contact: contact, version: version}
	c.operation = &replicated.Operation{Kind: replicated.KindConfig, Base: base, Body: configuration(version, mark)}
	return s.call(c)
}

// linearizable tells whether the calls may have been answered one after the other. It gives up, without a finding, after a while.
func (s *simulation) linearizable() bool {
	result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), s.history(), 20*time.Second)
	return result != porcupine.Illegal
}
