package main

import (
	"fmt"
	"os"
	"time"

	"nettlefold/internal/lab/fleetdemo"
)

type startsCommand struct {
	Program string          `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold; the one beside this program if none is named."`
	Hangups []time.Duration `placeholder:"DELAY" help:"Instead of the play: how many of 20 starts of each role end by SIGHUP so long after them."`
}

// hangupStarts is how many starts are tried for each delay.
const hangupStarts = 20

// Run plays the hindrances, or counts what SIGHUP ends.
func (a *startsCommand) Run() error {
	program, err := programOr(a.Program)
	if err != nil {
		return err
	}
	if len(a.Hangups) == 0 {
		return fleetdemo.PlayStarts(program, os.Stdout)
	}
	for _, role := range []string{"controller", "agent", "proxy"} {
		for _, delay := range a.Hangups {
			ended, err := fleetdemo.HangupsAfter(program, role, delay, hangupStarts)
			if err != nil {
				return err
			}
			fmt.Printf("%s, SIGHUP %v after the start: %d of %d ended\n", role, delay, ended, hangupStarts)
		}
	}
	return nil
}
