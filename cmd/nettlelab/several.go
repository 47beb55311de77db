package main

import (
	"fmt"
	"os"

	"nettlefold/internal/lab/several"
)

type severalCommand struct {
	Mixer string `help:"The mixer's program; the one beside this one if not set." placeholder:"FILE"`
	Quick bool   `help:"The short plan alone; ends within 30 s."`
}

// Run plays failures among nine mixers of three sites.
func (a *severalCommand) Run() error {
	program, err := beside(a.Mixer)
	if err != nil {
		return err
	}
	w, err := several.New(several.Setup{Program: program, Fleet: true})
	if err != nil {
		return err
	}
	defer w.Close()
	plan := several.Short()
	if !a.Quick {
		plan = append(plan, several.Long()...)
	}
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
