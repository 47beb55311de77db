package main

import (
	"os"

	"nettlefold/internal/lab/fleetdemo"
)

type streamsCommand struct {
	Program string `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold; the one beside this program if none is named."`
	Seed    uint64 `default:"1" help:"Streams and how they end are drawn from it."`
	Seeds   int    `default:"1" help:"How many seeds are played, one after the other."`
	Streams int    `default:"600" help:"Of each seed."`
	Clients int    `default:"40" help:"How many read at the same time."`
}

// Run plays the seeds, and fails with the first that finds something.
func (a *streamsCommand) Run() error {
	program, err := programOr(a.Program)
	if err != nil {
		return err
	}
	var failed error
	for i := range a.Seeds {
		err := fleetdemo.PlayStreams(program, fleetdemo.StreamOptions{Seed: a.Seed + uint64(i), Streams: a.Streams, Clients: a.Clients}, os.Stdout)
		if failed == nil {
			failed = err
		}
	}
	return failed
}
