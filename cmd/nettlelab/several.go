package main

import (
	"fmt"
	"os"

	"nettlefold/internal/lab/several"
)

type severalCommand struct {
	Mixer   string `help:"The mixer's program; the one beside this one if not set." placeholder:"FILE"`
	Quick   bool   `help:"The short plan alone; ends within 30 s." xor:"plan"`
	Control bool   `help:"Versions of the settings instead, by three control relays among six mixers." xor:"plan"`
}

// Run plays failures among nine mixers of three sites.
func (a *severalCommand) Run() error {
	program, err := beside(a.Mixer)
	if err != nil {
		return err
	}
	if a.Control {
		for _, plan := range [][]several.Step{several.Versions(), several.Cuts(), several.Losses()} {
			if err := played(several.Setup{Program: program, Mixers: 2, Relays: 1}, plan); err != nil {
				return err
			}
		}
		return nil
	}
	plan := several.Short()
	if !a.Quick {
		plan = append(plan, several.Long()...)
	}
	return played(several.Setup{Program: program, Fleet: true}, plan)
}

// played plays a plan in a world of its own. Its error tells of rules that are broken too.
func played(s several.Setup, plan []several.Step) error {
	w, err := several.New(s)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := w.Play(os.Stdout, plan); err != nil {
		return err
	}
	v := w.Finish()
	v.Print(os.Stdout)
	if len(v.Rules) > 0 {
		return fmt.Errorf("%d rules are broken", len(v.Rules))
	}
	return nil
}
