package main

import (
	"os"
	"time"

	"nettlefold/internal/lab/fleetdemo"
)

type floodsCommand struct {
	Program string        `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold; the one beside this program if none is named."`
	Form    []string      `help:"Forms that are played; all if none is named."`
	Status  []int         `help:"Statuses behind which they are sent; 200 and 500 if none is named."`
	Callers int           `default:"12" help:"How many ask for floods at the same time."`
	Length  time.Duration `default:"8s" help:"Of each flood."`
	OneCore bool          `help:"The programs of each machine run on one processor."`
}

// Run plays the floods, and fails if one breaks a rule.
func (a *floodsCommand) Run() error {
	program, err := programOr(a.Program)
	if err != nil {
		return err
	}
	return fleetdemo.PlayFloods(program, fleetdemo.FloodOptions{
		Forms: a.Form, Status: a.Status, Callers: a.Callers, Length: a.Length, OneCore: a.OneCore,
	}, os.Stdout)
}
