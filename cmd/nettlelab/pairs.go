package main

import (
	"fmt"
	"os"
	"path/filepath"

	"nettlefold/internal/lab/pairs"
	"nettlefold/internal/trial"
)

type pairsCommand struct {
	Bench   string   `arg:"" type:"existingfile" help:"The operators' bench."`
	Site    []string `required:"" type:"existingfile" help:"Site files."`
	Day     []string `default:"calm,scale-1,trouble-1" help:"Days of the sites; calm is the first day of high load without its troubles."`
	Seed    []int    `default:"7101,7102,7103" help:"Seeds that each day is played with."`
	Off     []string `help:"Mechanisms to switch off, one at a time; without it all of them."`
	Scale   []string `help:"Constants to multiply in place of that, as NAME=FACTOR."`
	Small   bool     `help:"Days at their small size."`
	Charged bool     `help:"Processor time is charged, so that plays differ by more."`
	Jobs    int      `default:"4" help:"Plays at a time."`
	Work    string   `required:"" type:"path" help:"Folder for sources and reports; what was played there before is not played again."`
	Why     string   `default:"paired trial" help:"For the bench's journal."`
}

// Run plays the pairs and prints the tables.
func (a *pairsCommand) Run() error {
	bench, err := filepath.Abs(a.Bench)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(a.Work, 0o755); err != nil {
		return err
	}
	plan := &pairs.Plan{
		Bench: bench, Sites: a.Site, Days: a.Day, Seeds: a.Seed, Variants: a.variants(),
		Small: a.Small, Charged: a.Charged, Jobs: a.Jobs, Work: a.Work, Why: a.Why,
	}
	for i, site := range plan.Sites {
		if plan.Sites[i], err = filepath.Abs(site); err != nil {
			return err
		}
	}
	plays, err := plan.Run(func(p pairs.Play) {
		fmt.Printf("%s %s %s %d %.4f\n", p.Variant.Name, p.Site, p.Day, p.Seed, p.Result.Worth)
	})
	for _, day := range append([]string{""}, a.Day...) {
		pairs.WriteTable(os.Stdout, plays, day)
	}
	fmt.Println("\nplays with a fault or a broken rule:", pairs.WriteBroken(os.Stdout, plays))
	return err
}

// variants gives the builds that are played beside the baseline.
func (a *pairsCommand) variants() (variants []pairs.Variant) {
	for _, scaled := range a.Scale {
		variants = append(variants, pairs.Variant{Name: scaled, Switches: scaled})
	}
	if len(variants) > 0 && len(a.Off) == 0 {
		return variants
	}
	off := a.Off
	if len(off) == 0 {
		for _, m := range trial.Mechanisms {
			off = append(off, string(m))
		}
	}
	for _, name := range off {
		variants = append(variants, pairs.Variant{Name: name, Switches: name})
	}
	return variants
}
