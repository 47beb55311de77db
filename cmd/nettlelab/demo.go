package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"nettlefold/internal/lab/demo"
)

type demoCommand struct {
	Mixer string `help:"The mixer's program; the one beside this one if not set." placeholder:"FILE"`
}

// Run demonstrates.
func (a *demoCommand) Run() error {
	program, err := beside(a.Mixer)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return demo.Run(ctx, program, os.Stdout)
}

// beside gives the path of the mixer's program, which stands beside this one if none is told.
func beside(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "nettlefold")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the mixer's program: %w", err)
	}
	return path, nil
}
