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
	program := a.Program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "nettlefold")
	}
	return fleetdemo.Play(program, os.Stdout)
}
