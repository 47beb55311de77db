package main

import (
	"os"

	"nettlefold/internal/lab/fanout"
	"nettlefold/internal/lab/measure"
)

type fanoutCostCommand struct {
	Case  string `arg:""`
	Quick bool
}

// Run plays one cost and writes its figures as JSON, for a build that measures against this one.
func (a *fanoutCostCommand) Run() error { return fanout.Write(os.Stdout, a.Case, a.Quick) }

// against measures against another build of this program.
func against(before string) (func(quick bool) (measure.Result, error), error) {
	self, err := os.Executable()
	return func(quick bool) (measure.Result, error) { return measure.FanoutAgainst(before, self, quick) }, err
}
