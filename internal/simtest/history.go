package simtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is what a caller knows of a call.
type Outcome int

// The outcomes.
const (
	Unclear Outcome = iota // no answer, or one that promises nothing: it may take effect until the end of the history
	Taken                  // acknowledged, or a read that was answered
	Refused
)

// Call is one call on a register that is written on top of a base version and read. A write that was taken before is acknowledged again
// and changes nothing.
type Call struct {
	Write         bool
	Base, Version int64
	Body          string // tells writes of one version apart
	Outcome       Outcome
	Start, End    time.Duration
}

func (c *Call) key() string { return fmt.Sprintf("%d/%d/%s;", c.Base, c.Version, c.Body) }

// register is the version in force, and all writes that were taken.
type register struct {
	version int64
	body    string
	taken   string
}

func (r register) take(c *Call) register { return register{c.Version, c.Body, r.taken + c.key()} }

// after gives the registers that a call may lead to, none if its answer is wrong.
func (r register) after(c *Call) []any {
	fits := c.Base == r.version && c.Version > r.version
	switch {
	case !c.Write:
		if c.Version == r.version && c.Body == r.body {
			return []any{r}
		}
		return nil
	case strings.Contains(r.taken, c.key()):
		if c.Outcome == Refused {
			return nil
		}
		return []any{r}
	case c.Outcome == Taken && fits:
		return []any{r.take(c)}
	case c.Outcome == Taken || c.Outcome == Refused && fits:
		return nil
	case c.Outcome == Unclear && fits:
		return []any{r, r.take(c)}
	}
	return []any{r}
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, _ any) []any { return state.(register).after(input.(*Call)) },
}

// checkLimit bounds the search for an order of the calls, in time of the machine. It says nothing of a history that needs longer.
const checkLimit = 20 * time.Second

// Linearizable tells whether the calls can be put in an order, each between its start and its end, that explains all answers. Reads
// without an answer are to be left out.
func Linearizable(calls []Call) bool {
	last := time.Duration(0)
	for i := range calls {
		last = max(last, calls[i].End)
	}
	var operations []porcupine.Operation
	for i := range calls {
		end := calls[i].End
		if calls[i].Outcome == Unclear {
			end = last + time.Hour
		}
		operations = append(operations, porcupine.Operation{ClientId: i, Input: &calls[i], Call: int64(calls[i].Start), Return: int64(end)})
	}
	return porcupine.CheckOperationsTimeout(registerModel.ToModel(), operations, checkLimit) != porcupine.Illegal
}
