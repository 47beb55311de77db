package main

type demoCommand struct{}

// Run demonstrates.
func (demoCommand) Run() error { return nil }
