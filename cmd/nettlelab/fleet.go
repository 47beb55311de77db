package main

import (
	"os"
	"path/filepath"

	"nettlefold/internal/lab/fleetdemo"
)

type fleetCommand struct {
	Program string `type:"existingfile" placeholder:"PROGRAM" help:"A build of nettlefold; the one beside this program if none is named."`
}

// Run plays the fleet.
func (a *fleetCommand) Run() error {
	program, err := programOr(a.Program)
	if err != nil {
		return err
	}
	return fleetdemo.Play(program, os.Stdout)
}

// programOr gives the program that was named, or the one beside this program.
func programOr(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), "nettlefold"), err
}
