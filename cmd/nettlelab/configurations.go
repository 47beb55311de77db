package main

import (
	"os"
	"path/filepath"
	"time"

	"nettlefold/internal/lab/fleetdemo"
)

type configurationsCommand struct {
	Program     string        `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold; the one beside this program if none is named."`
	Previous    string        `type:"existingfile" placeholder:"PROGRAM" help:"Another build: each process that starts is of one or the other."`
	Seed        uint64        `default:"1" help:"Configurations and troubles are drawn from it."`
	Seeds       int           `default:"1" help:"How many seeds are played, one after the other."`
	Length      time.Duration `default:"30s" help:"Of each, until the final fault."`
	LeastGap    time.Duration `default:"200ms" help:"Between two configurations; at most twice as long."`
	Controllers int           `default:"3" help:"How many there are."`
	Fronts      int           `default:"3" help:"How many there are, each of an agent and a proxy."`
	Plain       bool          `help:"Only configurations that builds from before strict reading treat alike."`
	Keep        bool          `help:"Keep the programs' logs where something is found."`
}

// Run plays the seeds, and fails with the first that finds something.
func (a *configurationsCommand) Run() error {
	program, err := programOr(a.Program)
	if err != nil {
		return err
	}
	if a.Previous != "" {
		if a.Previous, err = filepath.Abs(a.Previous); err != nil {
			return err
		}
	}
	var failed error
	for i := range a.Seeds {
		err := fleetdemo.PlayConfigurations(program, fleetdemo.ConfigOptions{
			Seed: a.Seed + uint64(i), Length: a.Length, LeastGap: a.LeastGap, Controllers: a.Controllers, Fronts: a.Fronts, Previous: a.Previous, Plain: a.Plain, Keep: a.Keep,
		}, os.Stdout)
		if failed == nil {
			failed = err
		}
	}
	return failed
}
