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
	if a.Mixer == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		a.Mixer = filepath.Join(filepath.Dir(self), "nettlefold")
	}
	if _, err := os.Stat(a.Mixer); err != nil {
		return fmt.Errorf("the mixer's program: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return demo.Run(ctx, a.Mixer, os.Stdout)
}
