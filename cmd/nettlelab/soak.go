package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"nettlefold/internal/lab/fleetdemo"
)

type soakCommand struct {
	Program     string        `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold, whose machines cannot be cut off from each other; built with cuts from the sources here if none is named."`
	Seed        uint64        `default:"1" help:"The plan is drawn from it."`
	Seeds       int           `default:"1" help:"How many seeds are played, one after the other."`
	Length      time.Duration `default:"30s" help:"Of each, in traffic."`
	Controllers int           `default:"3" help:"How many there are."`
	Fronts      int           `default:"3" help:"How many there are, each of an agent and a proxy."`
	Engines     int           `default:"5" help:"Stand-ins of model engines."`
	LongestCut  time.Duration `default:"4s" help:"Of the cuts between machines, which take 0.3 s and more."`
	Keep        bool          `help:"Keep the programs' logs where something is found."`
}

// Run plays the seeds, and fails with the first that finds something.
func (a *soakCommand) Run() error {
	if a.LongestCut <= fleetdemo.LeastCut {
		return fmt.Errorf("--longest-cut %v, want more than %v", a.LongestCut, fleetdemo.LeastCut)
	}
	if a.Program == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		a.Program = filepath.Join(folder, "nettlefold")
		if err := fleetdemo.Build(a.Program); err != nil {
			return err
		}
	}
	var failed error
	for i := range a.Seeds {
		err := fleetdemo.Soak(a.Program, fleetdemo.SoakOptions{
			Seed: a.Seed + uint64(i), Length: a.Length, Controllers: a.Controllers, Fronts: a.Fronts, Engine: a.Engines, LongestCut: a.LongestCut, Keep: a.Keep,
		}, os.Stdout)
		if failed == nil {
			failed = err
		}
	}
	return failed
}
