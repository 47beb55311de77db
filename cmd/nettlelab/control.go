package main

import (
	"fmt"
	"os"
	"time"

	"nettlefold/internal/lab/measure"
	"nettlefold/internal/lab/scale"
)

type hollowCommand struct{}

// Run is a process of hollow mixers.
func (hollowCommand) Run() error { return scale.Hollow(os.Stdin, os.Stdout) }

type controlCommand struct {
	Mixers    int           `default:"6300" help:"Hollow mixers."`
	Relays    int           `default:"7" help:"Processes of relays."`
	Processes int           `default:"5" help:"Processes that hold the hollow mixers."`
	Window    time.Duration `default:"10s" help:"Over which starts and reconnects are spread; whole seconds."`
	Quick     bool          `help:"The short plan."`
}

// Run plays the control tier at a size that is told, as measure control does at its own.
func (a *controlCommand) Run() error {
	plan := scale.Full
	if a.Quick {
		plan = scale.Quick
	}
	r, err := measure.ControlOf(scale.Setup{Mixers: a.Mixers, Relays: a.Relays, Processes: a.Processes, Window: a.Window}, plan)
	if err != nil {
		return err
	}
	if failed := r.Print(os.Stdout); failed > 0 {
		return fmt.Errorf("%d claims fail", failed)
	}
	return nil
}
